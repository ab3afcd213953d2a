"""Tell the story of one request from log files."""

from collections.abc import Iterator

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.exceptions import ClientError
from pimentobend._internal.status import Status
from pimentobend._internal.stories import describe
from pimentobend._internal.stories import find_story

MAX_FILES = 10_000


class StoryCommand(Command):
    """Print what the logs of several daemons say of a request, in order."""

    usage = "pimentobend story [--json] REQUEST_ID FILE..."
    summary = "tell the story of a request from log files"
    arguments_least = 2
    arguments_most = MAX_FILES

    def execute(self, context: Context) -> Status:
        """Read the files; a request that none names ends with the code ERROR."""
        request_id, *paths = context.arguments
        story = find_story(_read(paths), request_id)
        lines = [describe(line) for line in story.lines]
        if story.bad_lines:
            lines.append(f"{story.bad_lines} lines could not be read")
        if not story.lines:
            lines.append(f"no line names {request_id}")
        document = {
            "request_id": request_id,
            "bad_lines": story.bad_lines,
            "lines": [line._asdict() for line in story.lines],
        }
        print_result(context, document, lines)
        return Status.SUCCESS if story.lines else Status.ERROR


def _read(paths: list[str]) -> Iterator[str]:
    """Yield the lines of files; bytes that are no text are replaced."""
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise ClientError(
                "cannot read a log", context=f"{path}: {error.strerror}"
            ) from error
