"""Soak test: inject faults into a fleet of real processes and check its guarantees.

Run it by hand with ``python tests/lib/fleet_soak.py --seed=1 --seconds=20``. The
same seed gives the same schedule of faults. It exits with code 1 if a guarantee
was violated, and then keeps the logs in a folder whose path it prints.
"""

import argparse
import pathlib
import shutil
import sys
import tempfile
import threading
import time
from collections import Counter

from platform_fleet import Fleet
from platform_process import wait_until
from platform_server import PREFIX
from soak_faults import FaultInterval
from soak_faults import ScheduledFault
from soak_faults import make_faults
from soak_faults import make_schedule
from soak_traffic import Caller
from soak_traffic import Operator
from soak_traffic import RequestRecord

CALLERS_PER_INSTANCE = 3
# Faults that ended less than this before a request may still have cut it off.
FAULT_AFTERMATH_S = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)  # guarantee that no server ran the request
REPEATS_EVERY = 40  # answers of a server after which it repeats an earlier one
RETRY_BUDGET_RATIO = 0.2  # the default of the daemon's settings
RETRY_BUDGET_ALLOWANCE = 60  # retries; the daemon's default is 50 in 10 s


class Soak:
    """Run a fleet with callers, an operator and faults, and check the guarantees."""

    def __init__(self, folder: pathlib.Path, seed: int = 1) -> None:
        self.fleet = Fleet(folder)
        self.operator = Operator(self.fleet, seed)
        self.callers = [
            Caller(process, number, seed)
            for process in self.fleet.instances
            for number in range(CALLERS_PER_INSTANCE)
        ]
        for process in self.fleet.instances:
            if process.server is not None:
                process.server.repeats_every = REPEATS_EVERY
        self.fault_intervals: list[FaultInterval] = []
        self._faults = make_faults()
        self._stopping = threading.Event()

    @property
    def records(self) -> list[RequestRecord]:
        """Return the requests of all callers."""
        return [record for caller in self.callers for record in caller.records]

    def run(self, schedule: tuple[ScheduledFault, ...], seconds: float) -> list[str]:
        """Run a schedule and return the violations of the guarantees."""
        self.fleet.start()
        tasks = [caller.run for caller in self.callers]
        tasks += [self.operator.update, self.operator.read]
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

    def _inject(self, scheduled: ScheduledFault, schedule_started_at: float) -> None:
        time.sleep(
            max(0.0, scheduled.start_s - (time.monotonic() - schedule_started_at))
        )
        process = self.fleet.processes[scheduled.process_index]
        # A shutdown may last into the next fault of the same process.
        with process.lock:
            started_at = time.monotonic()
            self._faults[scheduled.fault].apply(process, scheduled.duration_s)
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
        runs = Counter(
            request_id
            for process in self.fleet.instances
            if process.server is not None
            for request_id in process.server.ran
        )
        return [
            *(
                violation
                for record in self.records
                for violation in self._check_request(record, runs)
            ),
            *self._check_configuration(),
            *self._check_drains(),
            *self._check_retry_budget(runs),
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
        if status == 0 and run_count and self._is_cut_by_stop(record):
            violations.append(f"request ran but a shutdown cut it off: {record}")
        return violations

    def _is_cut_by_stop(self, record: RequestRecord) -> bool:
        """Return whether only a shutdown of its process can have cut a request off.

        This needs a direct connection, and no other fault during the request or
        shortly before it.
        """
        since = record.started_at - FAULT_AFTERMATH_S
        overlapping = [
            interval
            for interval in self.fault_intervals
            if interval.started_at < record.ended_at and interval.ended_at > since
        ]
        return (
            record.is_direct
            and len(overlapping) == 1
            and overlapping[0].fault == "stop"
            and overlapping[0].process is record.process
            and record.started_at < overlapping[0].started_at
        )

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
        limit = RETRY_BUDGET_ALLOWANCE + RETRY_BUDGET_RATIO * len(self.records)
        return [f"{retries} retries ran, limit {limit}"] if retries > limit else []


def run_soak(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Run one seed, print a summary, and return the violations."""
    soak = Soak(folder, seed)
    are_control = tuple(process.is_control for process in soak.fleet.processes)
    schedule = make_schedule(seed, seconds, are_control)
    for scheduled in schedule:
        print(*scheduled)
    try:
        violations = soak.run(schedule, seconds)
    except AssertionError as error:
        violations = [str(error)]
    finally:
        soak.fleet.stop()
    statuses = sorted(Counter(record.answer.status for record in soak.records).items())
    print(f"seed {seed}: {len(soak.records)} requests by status {dict(statuses)}")
    print(
        f"{len(soak.operator.reads)} configuration reads,"
        f" last acknowledged version {soak.operator.acknowledged}"
    )
    for violation in violations[:20]:
        print("violation:", violation)
    return violations


def main() -> int:
    """Run the seed given on the command line and return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    if run_soak(options.seed, options.seconds, folder):
        print(f"logs kept in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
