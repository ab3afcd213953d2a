"""Parse the daemon's command line and run it."""

import sys
from typing import Any

from absl import flags

from pimentobend_adapters._internal.logs import configure_logs
from pimentobend_core._internal.exceptions import PimentobendError
from pimentobendd._internal.daemon import Daemon
from pimentobendd._internal.exceptions import SettingsError
from pimentobendd._internal.settings import load_settings
from pimentobendd._internal.status import Status


def run(argv: list[str]) -> Status:
    """Read the settings, serve until a stop signal, and return the exit code."""
    values: Any = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        "settings", None, "path of the settings file", flag_values=values
    )
    flags.DEFINE_boolean(
        "check", False, "check the settings and exit", flag_values=values
    )
    try:
        values(argv)
    except flags.Error as error:
        print(f"pimentobendd: {error}", file=sys.stderr)
        return Status.USAGE
    if values.settings is None:
        print("usage: pimentobendd --settings=FILE [--check]", file=sys.stderr)
        return Status.USAGE
    return _serve(values.settings, values.check)


def _serve(path: str, check_only: bool) -> Status:
    try:
        settings = load_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            print(f"pimentobendd: {path}: {fault}", file=sys.stderr)
        return Status.USAGE
    if check_only:
        print(f"{path}: no faults")
        return Status.SUCCESS
    configure_logs(settings.instance)
    try:
        Daemon(settings).run()
    except PimentobendError as error:
        print(f"pimentobendd: {error}", file=sys.stderr)
        return Status.ERROR
    return Status.SUCCESS
