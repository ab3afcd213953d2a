"""Ask a majority at intervals to confirm the leader of the configuration log."""

from collections.abc import Mapping

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
from pimentobend_core._internal.pipes import TimedFilter

# Below the leader's heartbeat interval of 0.25 s: a read sends the next heartbeat at
# once, so that the confirmations take the place of heartbeats.
INTERVAL_S = 0.24


class LeadershipConfirmation(TimedFilter[ConfirmationInput, ConfirmationOutput]):
    """Read the newest version at intervals while this replica leads.

    ``now`` is in seconds of the clock that counts suspensions. A confirmation counts
    from the moment before its read began, so a process that is frozen or suspended
    on the way gets an older one.
    """

    def __init__(self, replica_id: str) -> None:
        self._replica_id = replica_id
        self._is_leading = False
        self._due_at = 0.0  # the next read, while this replica leads
        self._next_token = 1
        self._asked_at: dict[int, float] = {}  # reads without a reply, by token
        self._last: LeadershipConfirmed | None = None

    @property
    def due_at(self) -> float | None:
        """Return when the next read is due; None while this replica does not lead."""
        return self._due_at if self._is_leading else None

    def handle(
        self, message: ConfirmationInput, now: float
    ) -> tuple[ConfirmationOutput, ...]:
        """Handle a tick, a change of the leader or the reply to a read."""
        match message:
            case ConfirmationTick():
                return self._ask(now)
            case LeaderChanged():
                self._is_leading = message.leader_id == self._replica_id
                self._asked_at.clear()
                self._due_at = now
            case VersionRead():
                return self._confirm(message)
        return ()

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        last = self._last
        return {
            "is_leading": self._is_leading,
            "unanswered": len(self._asked_at),
            "confirmed_at": None if last is None else round(last.asked_at, 3),
            "version": None if last is None else str(last.version),
        }

    def _ask(self, now: float) -> tuple[ConfirmationOutput, ...]:
        if not self._is_leading:
            return ()
        token = self._next_token
        self._next_token += 1
        self._asked_at[token] = now
        self._due_at = now + INTERVAL_S
        return (VersionReadRequest(token),)

    def _confirm(self, reply: VersionRead) -> tuple[ConfirmationOutput, ...]:
        asked_at = self._asked_at.pop(reply.token, None)
        if asked_at is None or reply.version is None:
            return ()
        self._last = LeadershipConfirmed(asked_at, reply.version)
        return (self._last,)
