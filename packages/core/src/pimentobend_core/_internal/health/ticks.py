"""Distribution of a bounded number of ticks to the health tasks of many pools."""

from collections.abc import Collection
from collections.abc import Sequence

TICKS_PER_ROUND = 50  # a round is due every ``TICK_S`` seconds


class TickRounds:
    """Tick urgent pools in every round and the others in turn (round-robin)."""

    def __init__(self, ticks_per_round: int = TICKS_PER_ROUND) -> None:
        self._ticks_per_round = ticks_per_round
        self._position = 0

    def next_round(
        self, pools: Sequence[str], urgent: Collection[str]
    ) -> tuple[str, ...]:
        """Return the pools to tick; all urgent ones, even beyond the limit."""
        other = [pool for pool in pools if pool not in urgent]
        chosen = [pool for pool in pools if pool in urgent]
        spare = min(len(other), max(1, self._ticks_per_round - len(chosen)))
        for _ in range(spare):
            self._position = (self._position + 1) % len(other)
            chosen.append(other[self._position])
        return tuple(chosen)
