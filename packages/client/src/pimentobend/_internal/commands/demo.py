"""The command ``demo``: run and check the whole system in one process."""

import logging
import pathlib
import tempfile

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.demo.fleet import make_servers
from pimentobend._internal.demo.fleet import make_settings
from pimentobend._internal.demo.script import DemoScript
from pimentobend._internal.demo.script import Step
from pimentobend._internal.status import Status
from pimentobend_adapters._internal.logs import configure_logs
from pimentobendd._internal.daemon import Daemon


class DemoCommand(Command):
    """Runs a daemon with all roles and stand-in servers, and checks the outcome."""

    usage = "pimentobend demo [--json]"
    summary = "run and check the whole system in one process"

    def execute(self, context: Context) -> Status:
        """Print a line for each step; return ERROR if a step failed."""
        with tempfile.TemporaryDirectory(prefix="pimentobend-demo-") as folder:
            steps = _run(pathlib.Path(folder))
        lines = [
            f"{'ok  ' if step.passed else 'FAIL'} {step.name}: {step.detail}"
            for step in steps
        ]
        failed = [step.name for step in steps if not step.passed]
        lines.append(f"failed: {', '.join(failed)}" if failed else "all steps passed")
        print_result(context, [step._asdict() for step in steps], lines)
        return Status.ERROR if failed else Status.SUCCESS


def _run(folder: pathlib.Path) -> list[Step]:
    settings = make_settings(folder)
    assert settings.callers is not None and settings.servers is not None
    configure_logs(settings.instance, logging.ERROR)
    daemon = Daemon(settings)
    daemon.start()
    servers = make_servers(settings.servers)
    for server in servers:
        server.start()
    try:
        return DemoScript(settings.callers, settings.operators, servers).run()
    finally:
        for server in servers:
            server.stop()
        daemon.stop()
