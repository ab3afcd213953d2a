"""Write one line of key=value pairs for each event."""

import logging
import sys
from typing import Any
from typing import TextIO

import structlog


def configure_logs(
    instance: str, stream: TextIO | None = None, level: int = logging.INFO
) -> None:
    """Set the format of all log lines, which name the instance.

    They go to standard error unless another stream is given.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event", "instance"],
                drop_missing=True,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(instance=instance)


def get_log() -> Any:
    """Return the process's logger."""
    return structlog.get_logger()
