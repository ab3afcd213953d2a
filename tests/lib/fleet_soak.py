"""Let faults from outside meet a fleet of real processes, and check its promises.

Run by hand: ``python tests/lib/fleet_soak.py --seed=1 --seconds=20``. The same
seed gives the same schedule. Ends with code 1 where a promise was broken; the
logs and what callers and servers saw then stay in the folder that it names.
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
from platform_fleet import wait_until
from platform_server import PREFIX
from soak_faults import Span
from soak_faults import Step
from soak_faults import make_faults
from soak_faults import make_schedule
from soak_traffic import Caller
from soak_traffic import Operator
from soak_traffic import Sent

CALLERS = 3  # an instance
CALM_S = 2.0  # before a request, without which a cut is no shutdown's
NOT_RUN = (408, 421, 429, 503)  # statuses that promise it
BUDGET_RATIO = 0.2  # the default of the settings, as is the next
BUDGET_ALLOWANCE = 60


class Soak:
    """Own a fleet, its callers, its operator and what they saw."""

    def __init__(self, folder: pathlib.Path, seed: int = 1) -> None:
        self.fleet = Fleet(folder)
        self.operator = Operator(self.fleet, seed)
        self.callers = [
            Caller(process, number, seed)
            for process in self.fleet.instances
            for number in range(CALLERS)
        ]
        self.spans: list[Span] = []
        self._faults = make_faults()
        self._stopping = threading.Event()

    @property
    def sent(self) -> list[Sent]:
        """Return what all callers saw."""
        return [sent for caller in self.callers for sent in caller.sent]

    def run(self, schedule: tuple[Step, ...], seconds: float) -> list[str]:
        """Play a schedule and return the promises that were broken."""
        self.fleet.start()
        tasks = [caller.run for caller in self.callers]
        tasks += [self.operator.order, self.operator.read]
        threads = [
            threading.Thread(target=task, args=(self._stopping,)) for task in tasks
        ]
        for thread in threads:
            thread.start()
        began = time.monotonic()
        faults = [
            threading.Thread(target=self._play, args=(s, began)) for s in schedule
        ]
        for fault in faults:
            fault.start()
        for fault in faults:
            fault.join()
        time.sleep(max(0.0, seconds - (time.monotonic() - began)))
        self._stopping.set()
        for thread in threads:
            thread.join()
        return self._check()

    def _play(self, step: Step, began: float) -> None:
        time.sleep(max(0.0, step.at_s - (time.monotonic() - began)))
        process = self.fleet.processes[step.process]
        with process.lock:  # a stop may take longer than its schedule
            came = time.monotonic()
            self._faults[step.fault].apply(process, step.down_s)
            self.spans.append(Span(step.fault, process, came, time.monotonic()))

    def _check(self) -> list[str]:
        for process in self.fleet.instances:
            wait_until(process.is_ready, "every instance is ready again")
            wait_until(lambda p=process: p.request().status == 200, "and serves")  # type: ignore[misc]
        wait_until(self.fleet.read, "the configuration is read")
        runs = Counter(
            request_id
            for process in self.fleet.instances
            if process.server is not None
            for request_id in process.server.ran
        )
        return [
            *(fault for sent in self.sent for fault in self._check_request(sent, runs)),
            *self._check_configuration(),
            *self._check_drains(),
            *self._check_budget(runs),
        ]

    def _check_request(self, sent: Sent, runs: Counter[str]) -> list[str]:
        ran = runs[sent.request_id]
        status, headers, _ = sent.answer
        broken: list[str] = []
        if ran > 1 and not sent.is_safe:
            broken.append(f"{sent} ran {ran} times")
        says_not_run = headers.get("pimentobend-ran") == "not-run"
        if ran and (status in NOT_RUN or says_not_run):
            broken.append(f"{sent} ran, and was refused as not run")
        if not ran and status == 200:
            broken.append(f"{sent} was answered and did not run")
        echoed = headers.get(f"{PREFIX}Request-Id".lower(), sent.request_id)
        if echoed != sent.request_id:
            broken.append(f"{sent} got the answer of another request")
        if status == 0 and ran and self._is_cut_by_stop(sent):
            broken.append(f"{sent} was cut by a shutdown")
        return broken

    def _is_cut_by_stop(self, sent: Sent) -> bool:
        """Say whether a stop of its process is all that met a request."""
        since = sent.began - CALM_S
        met = [s for s in self.spans if s.began < sent.ended and s.ended > since]
        return (
            sent.is_direct
            and len(met) == 1
            and met[0].fault == "stop"
            and met[0].process is sent.process
            and sent.began < met[0].began
        )

    def _check_configuration(self) -> list[str]:
        broken = [
            f"read {read.label} after {read.acknowledged} was acknowledged"
            for read in self.operator.reads
            if read.label < read.acknowledged
        ]
        if min(self.fleet.read()) < self.operator.acknowledged:
            broken.append(f"{self.operator.acknowledged} was acknowledged and is gone")
        return broken

    def _check_drains(self) -> list[str]:
        return [
            f"{process.ip}: work reached a server that had left for 2.5 s"
            for process in self.fleet.instances
            if process.server is not None
            for began, ended in process.server.drained
            if any(began < at < ended for at in process.server.arrived_at)
        ]

    def _check_budget(self, runs: Counter[str]) -> list[str]:
        repeats = sum(count - 1 for count in runs.values())
        limit = BUDGET_ALLOWANCE + BUDGET_RATIO * len(self.sent)
        return [f"{repeats} repeats ran"] if repeats > limit else []


def play(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Play one seed, print what was seen, and return the broken promises."""
    soak = Soak(folder, seed)
    are_control = tuple(process.is_control for process in soak.fleet.processes)
    schedule = make_schedule(seed, seconds, are_control)
    for step in schedule:
        print(*step)
    try:
        broken = soak.run(schedule, seconds)
    except AssertionError as error:
        broken = [str(error)]
    finally:
        soak.fleet.stop()
    statuses = sorted(Counter(sent.answer.status for sent in soak.sent).items())
    print(f"seed {seed}: {len(soak.sent)} requests {dict(statuses)}")
    print(f"{len(soak.operator.reads)} reads, up to {soak.operator.acknowledged}")
    for line in broken[:20]:
        print("broken:", line)
    return broken


def main() -> int:
    """Play one seed and return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    if play(options.seed, options.seconds, folder):
        print(f"logs in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
