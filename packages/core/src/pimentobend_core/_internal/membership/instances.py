"""Count the instances of the fleet, to divide limits that hold for all of them."""

from collections.abc import Mapping

from pimentobend_core._internal.membership.messages import InstanceCountInput
from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import InstancesCounted
from pimentobend_core._internal.pipes import StatefulFilter

# A lost instance may be cut off from the fleet and still send requests to servers.
LOST_COUNTS_S = 3_600.0
SETTLE_S = 10.0  # the first count needs this time without a new instance


class InstanceCount(StatefulFilter[InstanceCountInput, InstancesCounted]):
    """Count the instances that are live, or were within ``LOST_COUNTS_S``.

    There is no count until the fleet lists this instance with the ``epoch`` of its
    latest start. The ``configured`` instances always count.
    """

    def __init__(
        self, instance_id: str, epoch: int, configured: tuple[str, ...] = ()
    ) -> None:
        self._instance_id = instance_id
        self._epoch = epoch
        self._always = frozenset((instance_id, *configured))
        self._others: set[str] = set()
        self._lost_at: dict[str, float] = {}  # time by instance
        self._listed_at: float | None = None
        self._grown_at = 0.0
        self._counted: int | None = None

    def handle(
        self, message: InstanceCountInput, now: float
    ) -> tuple[InstancesCounted, ...]:
        """Handle a found or lost instance or a tick; return the count if it changed."""
        match message:
            case InstanceFound(instance_id, epoch):
                self._add(instance_id, now)
                self._lost_at.pop(instance_id, None)
                is_own = (instance_id, epoch) == (self._instance_id, self._epoch)
                if is_own and self._listed_at is None:
                    self._listed_at = now
            case InstanceLost(instance_id):
                self._add(instance_id, now)
                self._lost_at.setdefault(instance_id, now)
            case _:
                self._forget(now)
        return self._publish_count(now)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "instances": len(self._always) + len(self._others),
            "counted": self._counted,
            "lost": len(self._lost_at),
        }

    def _add(self, instance_id: str, now: float) -> None:
        if instance_id not in self._always and instance_id not in self._others:
            self._others.add(instance_id)
            self._grown_at = now

    def _forget(self, now: float) -> None:
        for instance_id, lost_at in tuple(self._lost_at.items()):
            if now - lost_at >= LOST_COUNTS_S:
                del self._lost_at[instance_id]
                self._others.discard(instance_id)

    def _publish_count(self, now: float) -> tuple[InstancesCounted, ...]:
        if self._counted is None and not self._has_settled(now):
            return ()
        count = len(self._always) + len(self._others)
        if count == self._counted:
            return ()
        self._counted = count
        return (InstancesCounted(count),)

    def _has_settled(self, now: float) -> bool:
        if self._listed_at is None:
            return False
        return now - max(self._listed_at, self._grown_at) >= SETTLE_S
