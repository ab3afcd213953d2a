"""Messages on crashed servers and on the requests that may have crashed them.

An observer is one life of a daemon that saw its server crash. A request is named by its
fingerprint.
"""

import enum
from typing import NamedTuple


class CrashReport(NamedTuple):
    """What one crash says against a fingerprint, as daemons pass it on.

    A weight of 0 is a clearance: the request ran to its answer after this crash.
    """

    crash_id: str  # the observer, or the server's life, and a number
    fingerprint: str
    weight: int
    left_s: int  # time until the report is forgotten


class Block(NamedTuple):
    """A fingerprint whose requests are refused until a clock time, in seconds."""

    fingerprint: str
    weight: int
    crashes: int
    observers: int
    until: float


class ServerCrashed(NamedTuple):
    """Report that a server crashed, and the fingerprints of what ran on it.

    They come in the order in which they started; a request without a fingerprint is
    listed as an empty text. ``crash_id`` is set where several daemons may report the
    same crash, which then counts once; requests of the others may have run as well.
    """

    server_id: str
    running: tuple[str, ...]
    crash_id: str = ""


class RunSucceeded(NamedTuple):
    """Report that a server answered a request, and so survived it."""

    fingerprint: str


class ReportsReceived(NamedTuple):
    """Deliver reports that another daemon published or returned."""

    reports: tuple[CrashReport, ...]


class EarlierReportsSeen(NamedTuple):
    """Deliver the reports that this daemon published before a restart."""

    reports: tuple[CrashReport, ...]


class CrashTick(NamedTuple):
    """Periodic tick: ends blocks and forgets old reports."""


CrashInput = (
    ServerCrashed | RunSucceeded | ReportsReceived | EarlierReportsSeen | CrashTick
)


class ReportsChanged(NamedTuple):
    """Publish these reports in place of the earlier ones."""

    reports: tuple[CrashReport, ...]


class FingerprintBlocked(NamedTuple):
    """Report that a block began, or that one more crash extended it."""

    block: Block
    remaining_s: float = 0.0


class ReleaseReason(enum.Enum):
    """Why a block ended."""

    EXPIRED = "expired"
    CLEARED = "cleared"  # the request ran to its answer
    EVICTED = "evicted"  # too many fingerprints are suspected


class FingerprintReleased(NamedTuple):
    """Report that a block ended."""

    fingerprint: str
    reason: ReleaseReason


CrashOutput = ReportsChanged | FingerprintBlocked | FingerprintReleased
