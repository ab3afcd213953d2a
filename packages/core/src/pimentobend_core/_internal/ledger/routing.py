"""Choose the replica of a group that a daemon asks."""

from collections.abc import Mapping

CLOSED_S = 0.5  # after a failure claims are refused at once for so long


class GroupRoute:
    """Hold which replica of a group is asked next, and whether it is worth it."""

    def __init__(self, replicas: tuple[str, ...]) -> None:
        self._replicas = replicas
        self._position = 0
        self._closed_until: float | None = None

    @property
    def replica_id(self) -> str:
        """Return the replica to ask."""
        return self._replicas[self._position]

    def is_open(self, now: float) -> bool:
        """Say whether claims may be tried; past a closed span one probes."""
        if self._closed_until is None:
            return True
        if now < self._closed_until:
            return False
        self._closed_until = now + CLOSED_S
        return True

    def follow(self, leader_id: str | None) -> None:
        """Ask the named leader next, if it is of this group."""
        if leader_id in self._replicas:
            self._position = self._replicas.index(leader_id)
        else:
            self.skip()

    def skip(self) -> None:
        """Ask another replica next."""
        self._position = (self._position + 1) % len(self._replicas)

    def succeed(self) -> None:
        """Note that a majority answered."""
        self._closed_until = None

    def fail(self, now: float) -> None:
        """Note that no majority answered."""
        self._closed_until = now + CLOSED_S
        self.skip()

    def dump(self) -> Mapping[str, object]:
        """Return the route as JSON-compatible values."""
        return {"replica": self.replica_id, "closed_until": self._closed_until}
