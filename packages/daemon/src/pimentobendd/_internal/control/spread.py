"""Spread the tables from the control instances to all daemons."""

from collections.abc import Callable

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.follower import TICK_S
from pimentobend_core._internal.configuration.follower import TablesFollower
from pimentobend_core._internal.configuration.follower_messages import CatchUp
from pimentobend_core._internal.configuration.follower_messages import Current
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import FollowerInput
from pimentobend_core._internal.configuration.follower_messages import FollowerOutput
from pimentobend_core._internal.configuration.follower_messages import FollowerTick
from pimentobend_core._internal.configuration.follower_messages import SpreadMessage
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import SpreadSent
from pimentobend_core._internal.configuration.follower_messages import TablesSnapshot
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import ClockPort

MESSAGE_TYPES: dict[str, type[SpreadMessage]] = {
    "tables.catch-up": CatchUp,
    "tables.deltas": Deltas,
    "tables.whole": TablesSnapshot,
    "tables.current": Current,
}
_KINDS_BY_TYPE = {message_type: kind for kind, message_type in MESSAGE_TYPES.items()}
KINDS = frozenset(MESSAGE_TYPES)  # of the frames that ``handle_frame`` accepts


def frame_kind(message: SpreadMessage) -> str:
    """Return the kind of the frame that carries a message."""
    return _KINDS_BY_TYPE[type(message)]


class TablesSpread:
    """Receives the tables from their sources and passes them on to other daemons.

    Frames from other daemons go to the follower task, which requests missing
    changes. Its messages are sent over the link, and each newer version of the
    tables is passed to ``activate``, so that requests are routed by it.
    """

    def __init__(
        self,
        link: Transport,
        sources: tuple[str, ...],
        activate: Callable[[Tables], object],
        clock: ClockPort,
    ) -> None:
        self._link = link
        self._sources = frozenset(sources)
        self._activate = activate
        self.task: FilterTask[FollowerInput, FollowerOutput] = FilterTask(
            "tables",
            TablesFollower(sources, clock.now()),
            CallOutlet(self._handle_output),
            clock,
            PeriodicMessage(TICK_S, FollowerTick()),
        )

    def handle_frame(self, frame: Frame) -> None:
        """Handle another daemon's frame; raise ``FrameError`` if it is refused.

        Malformed frames are refused, and so are tables from a daemon that is not a
        source.
        """
        try:
            message = decode(frame.payload, MESSAGE_TYPES[frame.kind])
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        if not isinstance(message, CatchUp) and frame.sender not in self._sources:
            raise FrameError(
                "the sender is not a source of the tables", context=frame.sender
            )
        self.task.put(SpreadReceived(frame.sender, message))

    def _handle_output(self, output: FollowerOutput) -> None:
        if isinstance(output, SpreadSent):
            kind = frame_kind(output.message)
            self._link.send(output.recipient, kind, encode(output.message))
        else:
            self._activate(output.tables)
