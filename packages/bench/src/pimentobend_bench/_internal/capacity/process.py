"""Read what a process uses, and own the processes that a bench starts."""

import os
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from collections.abc import Sequence
from types import TracebackType
from typing import NamedTuple

_KIB = 1024
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_TIME_FIELD = 11  # counted from behind the command's closing bracket
_SYSTEM_TIME_FIELD = 12
_STOP_TIMEOUT_S = 10.0
_ERROR_CHARACTERS = 2_000


class Usage(NamedTuple):
    """Give a process's private memory and its processor time so far."""

    private_bytes: int
    cpu_s: float


def private_bytes(pid: int | None = None) -> int:
    """Return the private bytes of a process, or of this one."""
    path = pathlib.Path("/proc", str(pid or "self"), "smaps_rollup")
    total_kib = 0
    for line in path.read_text().splitlines():
        if line.startswith(("Private_Clean:", "Private_Dirty:")):
            total_kib += int(line.split()[1])
    return total_kib * _KIB


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    stat = pathlib.Path("/proc", str(pid), "stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _CLOCK_TICKS_PER_S


def read_usage(pid: int) -> Usage:
    """Return what a process uses now."""
    return Usage(private_bytes(pid), cpu_seconds(pid))


class BenchProcess:
    """Run a Python module in a process, and end it by its id."""

    def __init__(
        self, arguments: Sequence[str], environment: Mapping[str, str] | None = None
    ) -> None:
        self._errors = tempfile.TemporaryFile("w+")  # noqa: SIM115
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._errors,
            env={**os.environ, "EVENTLET_NO_GREENDNS": "yes", **(environment or {})},
            text=True,
        )

    @property
    def pid(self) -> int:
        """Return the process's id."""
        return self._process.pid

    def __enter__(self) -> "BenchProcess":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def read_line(self) -> str:
        """Return the next line that the process prints, or "" at its end."""
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()

    def output(self, timeout_s: float) -> str:
        """Wait for the process's end and return what it printed."""
        output, _ = self._process.communicate(timeout=timeout_s)
        if self._process.returncode:
            raise RuntimeError(f"bench process failed: {self.errors()}")
        return output

    def errors(self) -> str:
        """Return the last of what the process wrote to its error output."""
        self._errors.seek(0)
        return self._errors.read()[-_ERROR_CHARACTERS:]

    def stop(self) -> None:
        """End the process if it still runs."""
        if self._process.poll() is None:
            self._process.terminate()
            try:
                self._process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()
        self._errors.close()
