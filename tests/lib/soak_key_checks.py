"""Check requests with API keys against the versions of the organisations."""

import math
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from platform_server import PREFIX
from soak_faults import FaultInterval
from soak_traffic import ConfigurationChange
from soak_traffic import RequestRecord

TENANT = f"{PREFIX}Tenant-Id".lower()
LIMITED = "limited"  # the organisation that has a limit
LIMITS = {"window_s": 3.0, "over": 0.1, "slack": 5.0}
BURST = 5.0
APPLIED_S = 2.5  # after its acknowledgement, connected daemons have applied a change


class Version(NamedTuple):
    """Version of the organisations; times are of the monotonic clock."""

    change: ConfigurationChange
    holders: Mapping[str, str]  # organisation by key
    rate_per_s: float  # of the limited organisation

    @property
    def allowed(self) -> float:
        """Return the requests of the limited organisation that a window may hold."""
        base = self.rate_per_s * LIMITS["window_s"] + BURST
        return base * (1 + LIMITS["over"]) + LIMITS["slack"]


class KeyHistory:
    """Versions of the organisations, in order, and when each may be in force."""

    def __init__(self, versions: Sequence[Version], revoke_s: float) -> None:
        self._versions, self._revoke_s = versions, revoke_s
        acknowledged_at = [each.change.acknowledged_at for each in versions]
        self._replaced_at = [
            min(acknowledged_at[number:], default=math.inf)
            for number in range(1, len(versions) + 1)
        ]

    def holders(
        self, record: RequestRecord, until: float, after_s: float
    ) -> set[str | None]:
        """Return who holds a request's key by the versions that may judge it.

        A version may do so for ``after_s`` after the acknowledgement of its successor.
        """
        return {
            version.holders.get(record.api_key or "")
            for version, at in zip(self._versions, self._replaced_at, strict=True)
            if version.change.began_at <= until and record.started_at <= at + after_s
        }

    def check_run(
        self, record: RequestRecord, began_at: float, head: Mapping[str, str]
    ) -> list[str]:
        """Return the violations by what a server saw of a request."""
        seen = head.get(TENANT)
        holders = self.holders(record, began_at, self._revoke_s) - {None}
        is_proper = seen is None if record.api_key is None else seen in holders
        if is_proper and "authorization" not in head:
            return []
        return [f"request ran at {began_at:.3f} for {seen}, head {head}: {record}"]

    def check_answer(
        self, record: RequestRecord, faults: Sequence[FaultInterval]
    ) -> list[str]:
        """Return the violations by the answer to a request.

        A daemon is in touch if it and two control instances have been sound.
        """
        status = record.answer.status
        holders = self.holders(record, record.ended_at, APPLIED_S)
        if status == 429 and LIMITED not in holders:
            return [f"request without a limit was refused by one: {record}"]
        since = record.started_at - APPLIED_S
        disturbed = {
            each.process.ip: each.process.is_control
            for each in faults
            if each.started_at < record.ended_at and each.ended_at > since
        }
        is_in_touch = record.process.ip not in disturbed and sum(disturbed.values()) < 2
        is_proper = record.api_key is None or None not in holders
        if status == 401 and is_proper and is_in_touch:
            return [f"request with a proper key was denied: {record}"]
        return []

    def check_limit(self, began_at: Iterable[float]) -> list[str]:
        """Return the violation by the runs of the limited organisation, if any.

        A lowered limit binds the windows that begin a window after all daemons have it.
        """
        first, last = self._versions[0], self._versions[-1]
        lowered = [v.change for v in self._versions if v.rate_per_s < first.rate_per_s]
        lowered_at = min((each.acknowledged_at for each in lowered), default=math.inf)
        binding_at = lowered_at + APPLIED_S + LIMITS["window_s"]
        times, start = sorted(began_at), 0
        for end, at in enumerate(times):
            while at - times[start] > LIMITS["window_s"]:
                start += 1
            allowed = (last if times[start] > binding_at else first).allowed
            if (count := end - start + 1) > allowed:
                window = f"{count} requests ran from {times[start]:.3f} to {at:.3f}"
                return [f"{window} for {LIMITED}, allowed are {allowed:.1f}"]
        return []
