"""Choose the replica to which a daemon sends a command.

A group is the set of replicas of one replicated log.
"""

from collections.abc import Mapping

CLOSED_S = 0.5  # after a failure, claims are refused at once for this long


class GroupRoute:
    """Chooses a replica of a group, and refuses claims while none has a majority.

    After a failure the route is closed for ``CLOSED_S``: it refuses all claims.
    """

    def __init__(self, replicas: tuple[str, ...]) -> None:
        self._replicas = replicas
        self._position = 0
        self._closed_until: float | None = None

    @property
    def replica_id(self) -> str:
        """Return the id of the replica to which the next command goes."""
        return self._replicas[self._position]

    def allows_claim(self, now: float) -> bool:
        """Return whether a claim may be sent.

        Once ``CLOSED_S`` is over, one claim may be sent as a probe, and the route
        closes again until a majority answers.
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
        """Open the route, because a majority answered."""
        self._closed_until = None

    def fail(self, now: float) -> None:
        """Close the route, because no majority answered; ask another replica next."""
        self._closed_until = now + CLOSED_S
        self.skip()

    def dump(self) -> Mapping[str, object]:
        """Return the route as JSON-compatible values."""
        return {"replica": self.replica_id, "closed_until": self._closed_until}
