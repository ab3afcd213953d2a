"""Soak test: inject faults into a fleet of real processes and check its guarantees.

Run it by hand with ``python tests/lib/fleet_soak.py --seed=1 --seconds=20``, and
with ``--kind=series --instances=12`` for planned work that comes in series, or with
``--kind=keys`` for organisations whose API keys and limits change. The same seed
gives the same schedule of faults. It exits with code 1 if a guarantee was violated,
and then keeps the logs in a folder whose path it prints.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager
from contextlib import nullcontext
from typing import Any

from platform_fleet import Fleet
from platform_process import Process
from platform_process import wait_until
from platform_server import PREFIX
from platform_server import Run
from soak_checks import NOT_RUN_STATUSES
from soak_checks import check_ends
from soak_faults import Fault
from soak_faults import FaultInterval
from soak_faults import ScheduledFault
from soak_faults import Scope
from soak_keys import KeyChanges
from soak_kinds import Evidence
from soak_kinds import SeriesOfLongRequests
from soak_kinds import SeriesOfStops
from soak_kinds import SingleFaults
from soak_kinds import SoakKind
from soak_traffic import Operator
from soak_traffic import RequestRecord

STALL_POLL_S = 0.05
KINDS: dict[str, Callable[[int, int], SoakKind]] = {
    "single": SingleFaults,
    "series": SeriesOfStops,
    "long-series": SeriesOfLongRequests,
    "keys": KeyChanges,
}


class Soak:
    """Run a fleet with callers, an operator and faults, and check the guarantees."""

    def __init__(
        self, folder: pathlib.Path, seed: int = 1, kind: SoakKind | None = None
    ) -> None:
        self._kind = kind or SingleFaults()
        self.fleet = Fleet(folder, self._kind.shape)
        self.operator = Operator(
            self.fleet, seed, self._kind.make_routes, self._kind.make_tenants
        )
        self.callers = self._kind.make_callers(self.fleet, seed)
        self.fault_intervals: list[FaultInterval] = []
        self._faults = self._kind.make_faults()
        self._errors: list[str] = []  # faults that could not be injected or undone
        self._stopping = threading.Event()
        self.longest_stall_s = 0.0  # for which the machine did not run this process

    @property
    def records(self) -> list[RequestRecord]:
        """Return the requests of all callers."""
        return [record for caller in self.callers for record in caller.records]

    def run(self, schedule: tuple[ScheduledFault, ...], seconds: float) -> list[str]:
        """Run a schedule and return the violations of the guarantees."""
        self.fleet.start(self._kind.make_routes(0), self._kind.make_tenants(1))
        tasks = [caller.run for caller in self.callers]
        tasks += [self.operator.update, self.operator.read, self._measure_stalls]
        traffic_threads = [
            threading.Thread(target=task, args=(self._stopping,)) for task in tasks
        ]
        for thread in traffic_threads:
            thread.start()
        started_at = time.monotonic()
        fault_threads = [
            threading.Thread(target=self._inject, args=(scheduled, started_at))
            for scheduled in schedule
        ]
        for thread in fault_threads:
            thread.start()
        for thread in fault_threads:
            thread.join()
        time.sleep(max(0.0, seconds - (time.monotonic() - started_at)))
        self._stopping.set()
        for thread in traffic_threads:
            thread.join()
        return self._check()

    def _measure_stalls(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            started_at = time.monotonic()
            stopping.wait(STALL_POLL_S)
            stall_s = time.monotonic() - started_at - STALL_POLL_S
            self.longest_stall_s = max(self.longest_stall_s, stall_s)

    def _inject(self, scheduled: ScheduledFault, schedule_started_at: float) -> None:
        time.sleep(
            max(0.0, scheduled.start_s - (time.monotonic() - schedule_started_at))
        )
        process = self.fleet.processes[scheduled.process_index]
        fault = self._faults[scheduled.fault]
        try:
            # A shutdown may last into the next fault of the same process.
            with _lock(process, fault.scope):
                self._apply(fault, scheduled, process)
        except (AssertionError, OSError, subprocess.SubprocessError) as error:
            self._errors.append(f"{process.ip}: {scheduled.fault}: {error!r}")

    def _apply(self, fault: Fault, scheduled: ScheduledFault, process: Process) -> None:
        started_at = time.monotonic()
        fault.apply(process, scheduled.duration_s)
        self.fault_intervals.append(
            FaultInterval(scheduled.fault, process, started_at, time.monotonic())
        )

    def _check(self) -> list[str]:
        for process in self.fleet.instances:
            wait_until(process.is_ready, "every instance is ready again")
            wait_until(
                lambda p=process: p.request().status == 200, "a request is served"
            )  # type: ignore[misc]
        wait_until(self.fleet.read, "a control instance returns the configuration")
        runs: dict[str, list[Run]] = {}
        for process in self.fleet.instances:
            for run in process.server.runs if process.server else ():
                runs.setdefault(run.request_id, []).append(run)
        counts = Counter({request_id: len(each) for request_id, each in runs.items()})
        evidence = Evidence(
            self.records, runs, tuple(self.fault_intervals), self.operator.changes
        )
        grace_s = self.fleet.shape.grace_s
        return [
            *self._errors,
            *(
                violation
                for record in self.records
                for violation in self._check_request(record, counts)
            ),
            *self._kind.check_answers(evidence, self.fleet),
            *self._check_configuration(),
            *self._check_drains(),
            *self._check_retry_budget(counts),
            *(
                violation
                for process in self.fleet.processes
                for violation in check_ends(
                    process.ip, process.signals, process.ends, grace_s
                )
            ),
        ]

    def _check_request(self, record: RequestRecord, runs: Counter[str]) -> list[str]:
        run_count = runs[record.request_id]
        status, headers, _ = record.answer
        violations: list[str] = []
        if run_count > 1 and not record.is_safe:
            violations.append(f"unsafe request ran {run_count} times: {record}")
        says_not_run = headers.get("pimentobend-ran") == "not-run"
        if run_count and (status in NOT_RUN_STATUSES or says_not_run):
            violations.append(f"request ran but was refused as not run: {record}")
        if not run_count and status == 200:
            violations.append(f"request was answered with 200 but never ran: {record}")
        answered_id = headers.get(f"{PREFIX}Request-Id".lower(), record.request_id)
        if answered_id != record.request_id:
            violations.append(f"request got the response to {answered_id}: {record}")
        return violations

    def _check_configuration(self) -> list[str]:
        violations = [
            f"read version {read.version} after {read.acknowledged} was acknowledged"
            for read in self.operator.reads
            if read.version < read.acknowledged
        ]
        if min(self.fleet.read()) < self.operator.acknowledged:
            violations.append(
                f"version {self.operator.acknowledged} was acknowledged but is lost"
            )
        return violations

    def _check_drains(self) -> list[str]:
        return [
            f"{process.ip}: server got a request over 2.5 s after it reported draining"
            for process in self.fleet.instances
            if process.server is not None
            for started_at, ended_at in process.server.drained
            if any(started_at < at < ended_at for at in process.server.arrived_at)
        ]

    def _check_retry_budget(self, runs: Counter[str]) -> list[str]:
        retries = sum(count - 1 for count in runs.values())
        limit = self._kind.retry_limit(self.records)
        return [f"{retries} retries ran, limit {limit}"] if retries > limit else []


def _lock(process: Process, scope: Scope) -> AbstractContextManager[Any]:
    match scope:
        case Scope.PROCESS:
            return process.lock
        case Scope.SERVER:
            return process.server_lock
        case Scope.NONE:
            return nullcontext()


def run_soak(
    seed: int, seconds: float, folder: pathlib.Path, kind: SoakKind | None = None
) -> list[str]:
    """Run one seed, print a summary, and return the violations."""
    kind = kind or SingleFaults()
    soak = Soak(folder, seed, kind)
    schedule = kind.make_schedule(seed, seconds, soak.fleet)
    for scheduled in schedule:
        print(*scheduled)
    try:
        violations = soak.run(schedule, seconds)
    except AssertionError as error:
        violations = [str(error)]
    finally:
        soak.fleet.stop()
    statuses = sorted(Counter(record.answer.status for record in soak.records).items())
    # The logs have the time of day, the records the monotonic clock.
    clock_offset_s = time.time() - time.monotonic()
    print(f"seed {seed}: 0 s of the monotonic clock is {clock_offset_s:.3f}")
    print(f"seed {seed}: {len(soak.records)} requests by status {dict(statuses)}")
    print(
        f"{len(soak.operator.reads)} configuration reads,"
        f" last acknowledged version {soak.operator.acknowledged},"
        f" longest stall of the callers' process {soak.longest_stall_s:.2f} s"
    )
    for violation in violations[:20]:
        print("violation:", violation)
    return violations


def main() -> int:
    """Run the seed given on the command line and return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--kind", choices=sorted(KINDS), default="single")
    parser.add_argument("--instances", type=int, default=2)
    parser.add_argument(
        "--servers", type=int, default=2, help="servers of each service"
    )
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    kind = KINDS[options.kind](options.instances, options.servers)
    if run_soak(options.seed, options.seconds, folder, kind):
        print(f"logs kept in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
