"""Observer of attempts for tests that need none."""

from pimentobend_adapters._internal.traffic import AttemptObserver
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded


class NullObserver(AttemptObserver):
    """Ignores all attempts."""

    def started(self, pool: str, message: AttemptStarted) -> None:
        """Ignore the attempt."""

    def ended(self, message: AttemptEnded) -> None:
        """Ignore the attempt."""
