"""Bound the memory of the answers that a host keeps for repeated requests."""

MAX_KEPT_BYTES = 32 * 1024 * 1024


class KeptAnswers:
    """Sizes of the kept answers by attempt, the oldest first."""

    def __init__(self, limit_bytes: int = MAX_KEPT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._sizes: dict[str, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return the size of all kept answers."""
        return self._total_bytes

    def add(self, attempt_id: str, size_bytes: int) -> tuple[str, ...]:
        """Add an answer; return the attempts whose answers must be dropped for it."""
        self._sizes[attempt_id] = size_bytes
        self._total_bytes += size_bytes
        dropped: list[str] = []
        while self._total_bytes > self._limit_bytes:
            oldest = next(iter(self._sizes))
            self.remove(oldest)
            dropped.append(oldest)
        return tuple(dropped)

    def find_oldest(self) -> str | None:
        """Return the attempt whose answer is kept longest; None without any."""
        return next(iter(self._sizes), None)

    def remove(self, attempt_id: str) -> None:
        """Remove an answer, if it is kept."""
        self._total_bytes -= self._sizes.pop(attempt_id, 0)
