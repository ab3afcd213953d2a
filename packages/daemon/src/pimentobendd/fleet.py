"""Run a daemon that discovers its fleet from seeds, with a platform's dialect."""

import sys

import eventlet

from pimentobend_adapters._internal.logs import configure_bounded_logs
from pimentobend_core._internal.exceptions import PimentobendError
from pimentobendd._internal.exceptions import SettingsError
from pimentobendd._internal.fleet.daemon import FleetDaemon
from pimentobendd._internal.fleet.dialect import Application
from pimentobendd._internal.fleet.dialect import ConfigurationPort
from pimentobendd._internal.fleet.dialect import Dialect
from pimentobendd._internal.fleet.dialect import LabelledChange
from pimentobendd._internal.fleet.dialect import ServersPort
from pimentobendd._internal.fleet.settings_file import SettingsFile
from pimentobendd._internal.status import Status

__all__ = [
    "Application",
    "ConfigurationPort",
    "Dialect",
    "LabelledChange",
    "ServersPort",
    "run_fleet_daemon",
]


def run_fleet_daemon(path: str, dialect: Dialect) -> int:
    """Read the settings, serve until a stop signal, and return the exit code."""
    file = SettingsFile(path)
    try:
        settings = file.load()
    except SettingsError as error:
        for fault in error.faults:
            print(f"pimentobendd: {path}: {fault}", file=sys.stderr)
        return Status.USAGE
    limit = configure_bounded_logs(settings.instance)
    eventlet.spawn_n(limit.report)
    try:
        FleetDaemon(file, settings, dialect).run()
    except PimentobendError as error:
        print(f"pimentobendd: {error}", file=sys.stderr)
        return Status.ERROR
    return Status.SUCCESS
