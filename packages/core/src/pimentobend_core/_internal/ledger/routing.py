"""Choose the replica of a group to which a daemon sends its commands."""

from collections.abc import Mapping

CLOSED_S = 0.5  # after a failure, claims are refused at once for this long


class GroupRoute:
    """Chooses a replica of a group, and refuses claims while none has a majority.

    After a failure the route is closed for ``CLOSED_S``.
    """

    def __init__(self, replicas: tuple[str, ...]) -> None:
        self._replicas = replicas
        self._position = 0
        self._closed_until: float | None = None

    @property
    def replica_id(self) -> str:
        """Return the replica to ask."""
        return self._replicas[self._position]

    def allows_claim(self, now: float) -> bool:
        """Return whether a claim may be sent.

        When the closed time ends, one claim is let through as a probe and the
        route closes again until a majority answers.
        """
        if self._closed_until is None:
            return True
        if now < self._closed_until:
            return False
        self._closed_until = now + CLOSED_S
        return True

    def follow(self, leader_id: str | None) -> None:
        """Ask the given leader next, or another replica if it is not in this group."""
        if leader_id in self._replicas:
            self._position = self._replicas.index(leader_id)
        else:
            self.skip()

    def skip(self) -> None:
        """Ask another replica next."""
        self._position = (self._position + 1) % len(self._replicas)

    def succeed(self) -> None:
        """Open the route: a majority answered."""
        self._closed_until = None

    def fail(self, now: float) -> None:
        """Close the route and ask another replica next: no majority answered."""
        self._closed_until = now + CLOSED_S
        self.skip()

    def dump(self) -> Mapping[str, object]:
        """Return the route as JSON-compatible values."""
        return {"replica": self.replica_id, "closed_until": self._closed_until}
