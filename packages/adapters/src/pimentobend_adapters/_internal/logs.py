"""Configure logs with one line of key=value pairs per event."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any
from typing import TextIO

import structlog

from pimentobend_adapters._internal.log_volume import BoundedWriter
from pimentobend_adapters._internal.log_volume import VolumeLimit


class _InstanceAdder:
    """Processor of structlog that adds the instance's name to each line."""

    def __init__(self, instance: str) -> None:
        self._instance = instance

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event with the instance's name."""
        event["instance"] = self._instance
        return event


class LossyStream:
    """Text stream that drops what cannot be written, as on a full disk.

    The tasks that log would otherwise end with the error.
    """

    def __init__(self, inner: TextIO) -> None:
        self._inner = inner
        self._dropped = 0

    def write(self, text: str) -> int:
        """Write text, after a line on what was dropped before it."""
        try:
            if self._dropped:
                self._inner.write(
                    f"level='warning' event='lines-left-out' dropped={self._dropped}\n"
                )
                self._dropped = 0
            self._inner.write(text)
            self._inner.flush()
        except (OSError, ValueError):  # ValueError: the stream is closed
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; each write is flushed."""


def configure_logs(instance: str, level: int = logging.INFO) -> None:
    """Write log lines with the instance's name to standard error."""
    _configure(instance, LossyStream(sys.stderr), (), level)


def configure_bounded_logs(instance: str) -> VolumeLimit:
    """Write log lines to standard output, within a budget and without blocking.

    The caller has to run the returned object's ``report`` as a task.
    """
    writer = BoundedWriter(sys.stdout.fileno())
    limit = VolumeLimit(writer)
    _configure(instance, writer, (limit,), logging.INFO)
    return limit


def _configure(
    instance: str, stream: Any, processors: tuple[Any, ...], level: int
) -> None:
    structlog.configure(
        processors=[
            *processors,
            _InstanceAdder(instance),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event", "instance"],
                drop_missing=True,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=True,
    )


def get_log() -> Any:
    """Return the process's logger."""
    return structlog.get_logger()
