"""Remember how many servers each service has had lately."""

from collections.abc import Mapping


class SizeHistory:
    """The number of servers of each service, as the daemon's list of the fleet has it.

    A list that shrinks may only have lost sight of servers, or the servers may have
    used their parts of a limit just before they left. A size therefore counts for
    ``memory_s`` seconds longer than the list has it.
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._sizes: dict[str, int] = {}
        # Larger sizes of the past, and when they cease to count.
        self._former: dict[str, list[tuple[float, int]]] = {}

    def update(self, sizes: Mapping[str, int], now: float) -> None:
        """Replace the sizes at ``now`` (seconds)."""
        for service, size in self._sizes.items():
            if sizes.get(service, 0) < size:
                former = self._former.setdefault(service, [])
                former.append((now + self._memory_s, size))
        self._sizes = dict(sizes)
        self._drop_expired(now)

    def largest(self, service: str, now: float) -> int:
        """Return the largest size that counts at ``now`` (seconds); 0 if unknown."""
        former = self._former.get(service, ())
        sizes = [size for ends_at, size in former if now < ends_at]
        return max(*sizes, self._sizes.get(service, 0), 0)

    def _drop_expired(self, now: float) -> None:
        counting = {
            service: [each for each in former if now < each[0]]
            for service, former in self._former.items()
        }
        self._former = {name: former for name, former in counting.items() if former}
