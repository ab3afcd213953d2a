"""Confirm at intervals that this replica leads the configuration log."""

from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import TimedTask
from pimentobend_core._internal.configuration.confirmation import LeadershipConfirmation
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationInput,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationOutput,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationTick,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.service_messages import VersionRead
from pimentobend_core._internal.configuration.service_messages import VersionReadRequest
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.ports import ClockPort


class LeaderConfirmations:
    """Passes each confirmation of this replica's leadership to its subscribers.

    It asks for none unless a subscriber needs them. ``clock`` must count suspensions;
    ``send_local`` passes reads to the local configuration service.
    """

    def __init__(
        self,
        replica_id: str,
        send_local: Callable[[VersionReadRequest], None],
        clock: ClockPort,
    ) -> None:
        self._send_local = send_local
        self._subscribers: list[Callable[[LeadershipConfirmed], None]] = []
        self._needs: list[Callable[[], bool]] = []
        self._task: TimedTask[ConfirmationInput, ConfirmationOutput] = TimedTask(
            "confirmation",
            LeadershipConfirmation(replica_id),
            CallOutlet(self._handle_output),
            clock,
            ConfirmationTick(),
        )

    def subscribe(
        self,
        function: Callable[[LeadershipConfirmed], None],
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        """Call ``function`` with each confirmation; only before ``start``.

        ``is_needed`` returns whether it needs any now.
        """
        self._subscribers.append(function)
        self._needs.append(is_needed)

    def start(self) -> None:
        """Start asking, if there is a subscriber."""
        if self._subscribers:
            self._task.start()

    def stop(self) -> None:
        """Stop asking."""
        self._task.stop()

    def put(self, message: LeaderChanged | VersionRead) -> None:
        """Handle a change of the leader, or a reply of the local service."""
        if self._subscribers:
            self._task.put(message)

    def dump(self) -> Mapping[str, object]:
        """Return the state, one section; empty without a subscriber."""
        return {self._task.name: self._task.dump()} if self._subscribers else {}

    def _handle_output(self, output: ConfirmationOutput) -> None:
        if isinstance(output, VersionReadRequest):
            if any(is_needed() for is_needed in self._needs):
                self._send_local(output)
            else:
                self._task.put(VersionRead(output.token, None))
            return
        for function in self._subscribers:
            function(output)
