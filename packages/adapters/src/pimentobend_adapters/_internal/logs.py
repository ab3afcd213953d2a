"""Write one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(instance: str, level: int = logging.INFO) -> None:
    """Set the format of all log lines, which name the instance."""
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(instance=instance)


def get_log() -> Any:
    """Return the process's logger."""
    return structlog.get_logger()
