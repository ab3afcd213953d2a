"""Simulated network paths between processes: delay, loss and partitions."""

import random


class Paths:
    """Network paths between processes; each direction can be cut on its own."""

    def __init__(self, seed: int, delay_s: float = 0.002) -> None:
        self._rng = random.Random(seed)
        self._delay_s = delay_s
        self._cut: set[tuple[str, str]] = set()
        self.loss = 0.0  # share of the messages that are lost
        self.duplication = 0.0  # share of the messages that arrive twice
        self.extra_delay_s = 0.0  # upper bound of a random delay

    def cut(self, sender: str, receiver: str) -> None:
        """Lose all messages from the sender to the receiver."""
        self._cut.add((sender, receiver))

    def heal(self, sender: str, receiver: str) -> None:
        """Carry messages from the sender to the receiver again."""
        self._cut.discard((sender, receiver))

    def heal_all(self) -> None:
        """Carry messages on all paths again."""
        self._cut.clear()

    def carries(self, sender: str, receiver: str) -> bool:
        """Return whether messages pass from the sender to the receiver."""
        return (sender, receiver) not in self._cut

    def is_connected(self, first: str, second: str) -> bool:
        """Return whether messages pass in both directions, as a connection needs."""
        return self.carries(first, second) and self.carries(second, first)

    def delays(self, sender: str, receiver: str) -> tuple[float, ...]:
        """Return the delay in seconds of each copy of a message; none if it is lost."""
        if not self.carries(sender, receiver) or self._rng.random() < self.loss:
            return ()
        copies = 2 if self._rng.random() < self.duplication else 1
        return tuple(
            self._delay_s + self._rng.random() * self.extra_delay_s
            for _ in range(copies)
        )
