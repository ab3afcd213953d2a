"""Simulate the paths between processes: delay, loss and cuts."""

import random


class Paths:
    """Own which process hears which, one way at a time."""

    def __init__(self, seed: int, delay_s: float = 0.002) -> None:
        self._rng = random.Random(seed)
        self._delay_s = delay_s
        self._cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_s = 0.0

    def cut(self, sender: str, receiver: str) -> None:
        """Lose all messages from one process to another."""
        self._cut.add((sender, receiver))

    def heal(self, sender: str, receiver: str) -> None:
        """Carry messages again."""
        self._cut.discard((sender, receiver))

    def heal_all(self) -> None:
        """Carry all messages again."""
        self._cut.clear()

    def carries(self, sender: str, receiver: str) -> bool:
        """Say whether a path is whole in one direction."""
        return (sender, receiver) not in self._cut

    def is_whole(self, one: str, other: str) -> bool:
        """Say whether a connection between two processes can work."""
        return self.carries(one, other) and self.carries(other, one)

    def delays(self, sender: str, receiver: str) -> tuple[float, ...]:
        """Return the delay in seconds of each copy that arrives."""
        if not self.carries(sender, receiver) or self._rng.random() < self.loss:
            return ()
        copies = 2 if self._rng.random() < self.duplication else 1
        return tuple(
            self._delay_s + self._rng.random() * self.extra_delay_s
            for _ in range(copies)
        )
