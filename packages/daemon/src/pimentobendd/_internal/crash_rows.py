"""Exchange reports on crashes with the other instances, through the spread tree."""

from collections.abc import Callable

from pimentobend_adapters._internal.logs import get_log
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.wire import create_reports_row
from pimentobend_core._internal.crashes.wire import read_reports_row
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.ports import ClockPort

NS_PER_S = 1_000_000_000


class CrashRows:
    """Publishes this instance's reports as one row, and reads those of the others.

    A row that this instance published before a restart comes back from its parent, as
    ``epoch`` (ns since 1970) grows at each start.
    """

    def __init__(
        self,
        author: str,
        epoch: int,
        clock: ClockPort,
        publish_row: Callable[[Row], None],
    ) -> None:
        self._author = author
        self._epoch = epoch
        self._clock = clock
        self._publish_row = publish_row
        self._started_at = clock.now()
        self._sequence = 0
        self._log = get_log()

    def publish(self, reports: tuple[CrashReport, ...]) -> None:
        """Replace the reports that this instance publishes."""
        self._sequence += 1
        rank = Rank(self._epoch, self._sequence)
        row = create_reports_row(self._author, rank, reports, self._unix_time())
        self._publish_row(row)

    def is_own(self, row: Row) -> bool:
        """Return whether this instance published a row, in any of its lives."""
        return row.row_id.author == self._author

    def read(self, row: Row) -> tuple[CrashReport, ...]:
        """Return a row's reports; none for one of this instance's present life."""
        if self.is_own(row) and row.rank.epoch == self._epoch:
            return ()
        try:
            return read_reports_row(row, self._unix_time())
        except CodecError as error:
            self._log.warning("crash-row-refused", error=str(error))
            return ()

    def _unix_time(self) -> float:
        """Return the time of day, by the steady clock since the start."""
        return self._epoch / NS_PER_S + self._clock.now() - self._started_at
