"""Share a pool between organisations in bounded memory."""

import array
import zlib

ROWS = 2
BUCKETS = 1024
HALF_LIFE_S = 2.0
SHARE_MULTIPLE = 1.5
USAGE_FLOOR = 8.0  # requests
EMPTY_BELOW = 0.1  # requests


class FairShares:
    """Estimate each organisation's recent use from hashed counters.

    An estimate is never below the true use; two organisations that share a
    counter in both rows are taken for one.
    """

    def __init__(self, seed: int) -> None:
        self._seeds = tuple(zlib.crc32(f"{seed}/{row}".encode()) for row in range(ROWS))
        self._rows = tuple(array.array("f", bytes(4 * BUCKETS)) for _ in range(ROWS))
        self._total = 0.0
        self._active = 0  # counters in use in the first row
        self._halved_at = 0.0

    @property
    def active(self) -> int:
        """Return about how many organisations used the pool lately."""
        return self._active

    def charge(self, organisation: str, now: float) -> None:
        """Count one request of an organisation."""
        self._decay(now)
        first, *others = self._slots(organisation)
        if self._rows[0][first] < EMPTY_BELOW:
            self._active += 1
        self._rows[0][first] += 1.0
        for row, slot in zip(self._rows[1:], others, strict=True):
            row[slot] += 1.0
        self._total += 1.0

    def is_over(self, organisation: str, now: float) -> bool:
        """Say whether an organisation uses more than its share."""
        self._decay(now)
        use = min(
            row[slot]
            for row, slot in zip(self._rows, self._slots(organisation), strict=True)
        )
        share = SHARE_MULTIPLE * self._total / max(1, self._active)
        return use > max(USAGE_FLOOR, share)

    def _slots(self, organisation: str) -> list[int]:
        name = organisation.encode()
        return [zlib.crc32(name, seed) % BUCKETS for seed in self._seeds]

    def _decay(self, now: float) -> None:
        halvings = int((now - self._halved_at) / HALF_LIFE_S)
        if halvings <= 0:
            return
        self._halved_at += halvings * HALF_LIFE_S
        factor = 0.5 ** min(halvings, 64)
        for row in self._rows:
            for slot, use in enumerate(row):
                if use:
                    row[slot] = use * factor if use * factor > EMPTY_BELOW else 0.0
        self._total = sum(self._rows[0])
        self._active = sum(1 for use in self._rows[0] if use)
