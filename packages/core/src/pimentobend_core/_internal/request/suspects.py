"""Requests that may crash servers, where nothing looks for them."""

from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import SuspectsPort


class NoSuspects(SuspectsPort):
    """Blocks no request."""

    def find_block(self, fingerprint: str) -> Block | None:
        """Return None."""
        return None

    def note_refused(self, request_id: str, block: Block) -> None:
        """Ignore the refusal."""

    def started(self, run: Run, head: RequestHead) -> None:
        """Ignore the attempt."""

    def ended(self, run: Run, result: AttemptResult) -> None:
        """Ignore the attempt."""


NO_SUSPECTS = NoSuspects()
