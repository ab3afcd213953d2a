"""Report attempts to several observers."""

from pimentobend_adapters._internal.health import HealthTasks
from pimentobend_adapters._internal.metrics import AttemptMetrics
from pimentobend_adapters._internal.traffic import AttemptObserver
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded


class AttemptObservers(AttemptObserver):
    """Report attempts to the health tasks and the metrics."""

    def __init__(self, health: HealthTasks, metrics: AttemptMetrics) -> None:
        self._health = health
        self._metrics = metrics

    def started(self, pool: str, message: AttemptStarted) -> None:
        """Report an attempt that starts; the metrics count only ended ones."""
        self._health.started(pool, message)

    def ended(self, message: AttemptEnded) -> None:
        """Report an attempt that ended."""
        self._health.ended(message)
        self._metrics.put(message)
