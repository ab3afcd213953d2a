"""Keep the registry of the backend servers on a daemon's machine."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.membership.messages import AnnouncementAccepted
from pimentobend_core._internal.membership.messages import AnnouncementRefused
from pimentobend_core._internal.membership.messages import RegistryInput
from pimentobend_core._internal.membership.messages import RegistryOutput
from pimentobend_core._internal.membership.messages import RegistryTick
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.membership.messages import WithdrawalAccepted
from pimentobend_core._internal.membership.registry import ServerRegistry
from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Withdrawal
from pimentobendd._internal.fleet.dialect import ServersPort

REGISTRY_TICK_S = 0.5
ANSWER_TIMEOUT_S = 0.8  # servers try another daemon after 1 s

RegistryReply = AnnouncementAccepted | AnnouncementRefused | WithdrawalAccepted


# A server that gets this sends its announcement again.
_NO_REPLY = ("the registry did not reply in time",)


class _ReplyKey(NamedTuple):
    """What a reply answers: a late announcement can arrive beside a withdrawal."""

    server_id: str
    is_withdrawal: bool


class LocalServers(ServersPort):
    """Registry of the backend servers that announce themselves to this daemon."""

    def __init__(
        self,
        address: str,
        epoch: int,
        on_change: Callable[[ServerEvent | UnknownServerLeft], None],
        on_refused: Callable[[str, tuple[str, ...]], None],
        is_service: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self._is_service = is_service
        self._on_change = on_change
        self._on_refused = on_refused
        self._replies: Replies[RegistryReply] = Replies(_key_of_reply)
        self.task: FilterTask[RegistryInput, RegistryOutput] = FilterTask(
            "registry",
            ServerRegistry(address, epoch, unique_addresses=True),
            CallOutlet(self._handle_registry_output),
            HubClock(),
            PeriodicMessage(REGISTRY_TICK_S, RegistryTick()),
        )

    def announce(self, announcement: Announcement) -> Result[None, tuple[str, ...]]:
        """Register or renew a server, or return the faults of the announcement.

        One of a service that is not known comes from another writer, and must not take
        the place of the server at its address.
        """
        server_id, service = announcement.server[:2]
        if not self._is_service(service):
            fault = f"service: {service!r} is named neither here nor in the tables"
            self.report_refused(server_id, (fault,))
            return Failure((fault,))
        reply = self._replies.ask(
            _ReplyKey(announcement.server.server_id, is_withdrawal=False),
            lambda: self.task.put(announcement),
            ANSWER_TIMEOUT_S,
        )
        if isinstance(reply, AnnouncementAccepted):
            return Success(None)
        faults = reply.faults if isinstance(reply, AnnouncementRefused) else _NO_REPLY
        self.report_refused(announcement.server.server_id, faults)
        return Failure(faults)

    def withdraw(self, withdrawal: Withdrawal) -> bool:
        """Remove a server that is shutting down; return whether that is recorded."""
        key = _ReplyKey(withdrawal.server_id, is_withdrawal=True)
        reply = self._replies.ask(
            key, lambda: self.task.put(withdrawal), ANSWER_TIMEOUT_S
        )
        return reply is not None

    def report_refused(self, server_id: str, faults: tuple[str, ...]) -> None:
        """Record that an announcement was refused, and why."""
        self._on_refused(server_id, faults)

    def _handle_registry_output(self, output: RegistryOutput) -> None:
        if isinstance(output, ServerEvent | UnknownServerLeft):
            self._on_change(output)
        elif isinstance(output, RegistryReply):
            self._replies.put(output)


def _key_of_reply(reply: RegistryReply) -> _ReplyKey:
    return _ReplyKey(reply.server_id, isinstance(reply, WithdrawalAccepted))
