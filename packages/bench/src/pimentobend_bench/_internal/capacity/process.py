"""Child processes of the bench, and the memory and CPU time that they use."""

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
# Positions in /proc/<pid>/stat, counted from after the command's closing bracket.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12
_STOP_TIMEOUT_S = 10.0
_ERROR_CHARACTERS = 2_000


class Usage(NamedTuple):
    """Private memory of a process, and its CPU time since its start."""

    private_bytes: int
    cpu_s: float


def private_bytes(pid: int | None = None) -> int:
    """Return the private memory of a process (by default this one) in bytes."""
    path = pathlib.Path("/proc", str(pid or "self"), "smaps_rollup")
    total_kib = 0
    for line in path.read_text().splitlines():
        if line.startswith(("Private_Clean:", "Private_Dirty:")):
            total_kib += int(line.split()[1])
    return total_kib * _KIB


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    stat = pathlib.Path("/proc", str(pid), "stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _CLOCK_TICKS_PER_S


def read_usage(pid: int) -> Usage:
    """Return the current resource usage of a process."""
    return Usage(private_bytes(pid), cpu_seconds(pid))


class BenchProcess:
    """Run a Python module in a child process, and stop it at the end."""

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
        """Return the next line of standard output, or "" at its end."""
        assert self._process.stdout is not None
        return self._process.stdout.readline().strip()

    def output(self, timeout_s: float) -> str:
        """Wait for the process to exit and return its standard output."""
        output, _ = self._process.communicate(timeout=timeout_s)
        if self._process.returncode:
            raise RuntimeError(
                f"bench process exited with status {self._process.returncode}:"
                f" {self.errors()}"
            )
        return output

    def errors(self) -> str:
        """Return the last 2,000 characters of standard error."""
        self._errors.seek(0)
        return self._errors.read()[-_ERROR_CHARACTERS:]

    def stop(self) -> None:
        """Terminate the process if it still runs; kill it after 10 s."""
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
