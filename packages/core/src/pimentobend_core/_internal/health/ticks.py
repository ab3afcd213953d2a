"""Share a bounded number of ticks between the health tasks of many pools."""

from collections.abc import Collection
from collections.abc import Sequence

TICKS_A_ROUND = 50  # a round is due every ``TICK_S`` seconds


class TickRounds:
    """Give urgent pools a tick in each round, and the others one in turn."""

    def __init__(self, ticks_a_round: int = TICKS_A_ROUND) -> None:
        self._ticks_a_round = ticks_a_round
        self._turn = 0

    def next_round(
        self, pools: Sequence[str], urgent: Collection[str]
    ) -> tuple[str, ...]:
        """Return the pools that are due; urgent ones whatever their number."""
        calm = [pool for pool in pools if pool not in urgent]
        chosen = [pool for pool in pools if pool in urgent]
        spare = min(len(calm), max(1, self._ticks_a_round - len(chosen)))
        for _ in range(spare):
            self._turn = (self._turn + 1) % len(calm)
            chosen.append(calm[self._turn])
        return tuple(chosen)
