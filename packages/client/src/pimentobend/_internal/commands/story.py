"""The command ``story``: show what log files record of a request.

The story of a request is its log lines from several daemons.
"""

from collections.abc import Iterator

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.exceptions import ClientError
from pimentobend._internal.status import Status
from pimentobend._internal.stories import find_story
from pimentobend._internal.stories import format_line

MAX_FILES = 10_000


class StoryCommand(Command):
    """Merges the log lines of a request from several daemons, sorted by time."""

    usage = "pimentobend story [--json] REQUEST_ID FILE..."
    summary = "show what the logs record of a request"
    min_arguments = 2
    max_arguments = MAX_FILES

    def execute(self, context: Context) -> Status:
        """Print the lines of the request; return ERROR if there are none."""
        request_id, *paths = context.arguments
        story = find_story(_read(paths), request_id)
        lines = [format_line(line) for line in story.lines]
        if story.bad_lines:
            lines.append(
                f"{story.bad_lines} lines of the files are truncated or not log lines"
            )
        if not story.lines:
            lines.append(f"no log line of request {request_id!r}")
        document = {
            "request_id": request_id,
            "bad_lines": story.bad_lines,
            "lines": [line._asdict() for line in story.lines],
        }
        print_result(context, document, lines)
        return Status.SUCCESS if story.lines else Status.ERROR


def _read(paths: list[str]) -> Iterator[str]:
    """Yield the lines of all files; bytes that are not UTF-8 are replaced."""
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise ClientError(
                "cannot read the log file", context=f"{path}: {error.strerror}"
            ) from error
