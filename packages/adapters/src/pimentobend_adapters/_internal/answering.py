"""Start tasks that owe an answer, and let their owner give one for those that fail."""

import pathlib
import traceback
from collections.abc import Callable
from typing import Any

import eventlet

SHOWN_CHARACTERS = 200  # of an error, in a log line


def spawn_answering(
    function: Callable[..., None],
    *args: Any,
    on_error: Callable[[Exception], None],
) -> Any:
    """Run a function in a greenlet; ``on_error`` answers where it raises an exception.

    Nobody waits for the answer of a greenlet that is killed.
    """
    return eventlet.spawn(_run, function, args, on_error)


def describe_error(error: BaseException) -> str:
    """Return an error with the file and line that raised it, for a log line."""
    frames = traceback.extract_tb(error.__traceback__)
    text = repr(error)[:SHOWN_CHARACTERS]
    if not frames:
        return text
    return f"{text} at {pathlib.PurePath(frames[-1].filename).name}:{frames[-1].lineno}"


def _run(
    function: Callable[..., None],
    args: tuple[Any, ...],
    on_error: Callable[[Exception], None],
) -> None:
    try:
        function(*args)
    except Exception as error:
        on_error(error)
