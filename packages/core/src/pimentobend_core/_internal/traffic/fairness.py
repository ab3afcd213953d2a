"""Detect organisations that use more than their share of a pool."""

import array
import zlib

ROWS = 2  # rows of counters in the sketch, each with its own hash function
BUCKETS = 1024  # counters per row
HALF_LIFE_S = 2.0  # of the counters
# An organisation's share is this multiple of the mean use of the active ones.
SHARE_MULTIPLE = 1.5
USAGE_FLOOR = 8.0  # an organisation with at most this use is never over its share
EMPTY_BELOW = 0.1  # a counter that decays to this or less is reset to 0


class FairShares:
    """Estimate each organisation's recent use with a count-min sketch.

    The counters decay exponentially and take constant memory. An estimate is
    never below the true use; two organisations that hash to the same counter
    in both rows are counted as one.
    """

    def __init__(self, seed: int) -> None:
        self._seeds = tuple(zlib.crc32(f"{seed}/{row}".encode()) for row in range(ROWS))
        self._rows = tuple(array.array("f", bytes(4 * BUCKETS)) for _ in range(ROWS))
        self._total = 0.0
        self._active = 0  # non-zero counters in the first row
        self._halved_at = 0.0

    @property
    def active(self) -> int:
        """Return the approximate number of recently active organisations."""
        return self._active

    def charge(self, organisation: str, now: float) -> None:
        """Count one request of an organisation."""
        self._decay(now)
        first, *others = self._buckets(organisation)
        if self._rows[0][first] < EMPTY_BELOW:
            self._active += 1
        self._rows[0][first] += 1.0
        for row, bucket in zip(self._rows[1:], others, strict=True):
            row[bucket] += 1.0
        self._total += 1.0

    def is_over_share(self, organisation: str, now: float) -> bool:
        """Return whether an organisation uses more than its share."""
        self._decay(now)
        use = min(
            row[bucket]
            for row, bucket in zip(self._rows, self._buckets(organisation), strict=True)
        )
        share = SHARE_MULTIPLE * self._total / max(1, self._active)
        return use > max(USAGE_FLOOR, share)

    def _buckets(self, organisation: str) -> list[int]:
        name = organisation.encode()
        return [zlib.crc32(name, seed) % BUCKETS for seed in self._seeds]

    def _decay(self, now: float) -> None:
        halvings = int((now - self._halved_at) / HALF_LIFE_S)
        if halvings <= 0:
            return
        self._halved_at += halvings * HALF_LIFE_S
        factor = 0.5 ** min(halvings, 64)
        for row in self._rows:
            for bucket, use in enumerate(row):
                if use:
                    row[bucket] = use * factor if use * factor > EMPTY_BELOW else 0.0
        self._total = sum(self._rows[0])
        self._active = sum(1 for use in self._rows[0] if use)
