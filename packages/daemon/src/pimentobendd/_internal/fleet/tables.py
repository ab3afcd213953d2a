"""Receive the tables from other daemons and pass them on."""

from collections.abc import Callable

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.follower import TICK_S
from pimentobend_core._internal.configuration.follower import TablesFollower
from pimentobend_core._internal.configuration.follower_messages import FollowerInput
from pimentobend_core._internal.configuration.follower_messages import FollowerOutput
from pimentobend_core._internal.configuration.follower_messages import FollowersChanged
from pimentobend_core._internal.configuration.follower_messages import FollowerTick
from pimentobend_core._internal.configuration.follower_messages import NewerSeen
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import SpreadSent
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.control.spread import MESSAGE_TYPES
from pimentobendd._internal.control.spread import frame_kind

FOLLOWERS_MAX = 256  # daemons to which a control instance sends new versions


class FleetTables:
    """Receives the tables from control instances and sends them to followers.

    Frames from other daemons go to the follower task, which requests missing
    changes. Its messages are sent over the link, and each newer version of the
    tables is passed to ``activate``, so that requests are routed by it.
    """

    def __init__(
        self,
        link: Transport,
        activate: Callable[[Tables], object],
        clock: ClockPort,
    ) -> None:
        self._link = link
        self._activate = activate
        self._followers: tuple[str, ...] = ()
        self.task: FilterTask[FollowerInput, FollowerOutput] = FilterTask(
            "tables",
            TablesFollower((), clock.now()),
            CallOutlet(self._handle_output),
            clock,
            PeriodicMessage(TICK_S, FollowerTick()),
        )

    def register(self, router: FrameRouter) -> None:
        """Register the handlers of the frames that spread the tables."""
        for kind in MESSAGE_TYPES:
            router.register(kind, self.handle_frame)

    def handle_frame(self, frame: Frame) -> None:
        """Handle another daemon's frame; raise ``FrameError`` if it is malformed."""
        try:
            message = decode(frame.payload, MESSAGE_TYPES[frame.kind])
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        self.task.put(SpreadReceived(frame.sender, message))

    def handle_newer_version(self, address: str, version: Version) -> None:
        """Note that a daemon has a newer version in force."""
        self.task.put(NewerSeen(address, version))

    def update_peers(self, own: PeerRow, peers: tuple[PeerRow, ...]) -> None:
        """Select the daemons to which this control instance sends new versions.

        These are the daemons without the role control in its own data centre
        and in data centres without a control instance.
        """
        served = {row.data_centre for row in peers if row.is_control}
        served.discard(own.data_centre)
        followers = tuple(
            row.address
            for row in peers
            if not row.is_control and row.data_centre not in served
        )[:FOLLOWERS_MAX]
        if followers != self._followers:
            self._followers = followers
            self.task.put(FollowersChanged(followers))

    def _handle_output(self, output: FollowerOutput) -> None:
        if isinstance(output, SpreadSent):
            kind = frame_kind(output.message)
            self._link.send(output.recipient, kind, encode(output.message))
        else:
            self._activate(output.tables)
