"""Let faults from outside meet a fleet of real processes, and check its promises.

Run by hand: ``python tests/lib/fleet_soak.py --seed=1 --seconds=20``. The same
seed gives the same schedule. Ends with code 1 where a promise was broken; the
logs and what callers and servers saw then stay in the folder that it names.
"""

import argparse
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from typing import NamedTuple

from platform_fleet import ROUTES
from platform_fleet import Fleet
from platform_fleet import Process
from platform_fleet import until

FAULTS = ("kill", "stop", "pause", "wipe")
PAUSES_S = (0.3, 0.8, 2.0)  # between faults
DOWN_S = (0.2, 1.0, 3.0)
CLIENTS = 3  # an instance
NOT_RUN = 503


class Step(NamedTuple):
    """Hold one fault: what, to which process, when, and for how long."""

    at_s: float
    fault: str
    process: int  # its place in the fleet's list
    down_s: float


class Sent(NamedTuple):
    """Hold what a caller saw of one booking."""

    request_id: str
    status: int
    ran: str


def make_schedule(seed: int, seconds: float, processes: int) -> tuple[Step, ...]:
    """Return the faults of a seed, with time between those of one process."""
    rng = random.Random(seed)
    steps: list[Step] = []
    free_at = [0.0] * processes
    now = 0.0
    while True:
        now += rng.choice(PAUSES_S)
        if now >= seconds:
            return tuple(steps)
        process = rng.randrange(processes)
        step = Step(now, rng.choice(FAULTS), process, rng.choice(DOWN_S))
        if now >= free_at[process]:
            free_at[process] = now + step.down_s + 2.0
            steps.append(step)


class Soak:
    """Own a fleet, its callers, its operator and what they saw."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.fleet = Fleet(folder)
        self.sent: list[Sent] = []
        self.acknowledged = 0
        self._stopping = threading.Event()
        self._wiped = False

    def run(self, schedule: tuple[Step, ...], seconds: float) -> list[str]:
        """Play a schedule and return the promises that were broken."""
        self.fleet.start()
        threads = [
            threading.Thread(target=self._call, args=(process, number))
            for process in self.fleet.instances
            for number in range(CLIENTS)
        ]
        threads.append(threading.Thread(target=self._operate))
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
            self._apply(step, process)

    def _apply(self, step: Step, process: Process) -> None:
        match step.fault:
            case "pause":
                process.signal(signal.SIGSTOP)
                time.sleep(step.down_s)
                process.signal(signal.SIGCONT)
                return
            case "stop":
                process.signal(signal.SIGTERM)
                process.wait()
            case _:
                process.kill()
        if step.fault == "wipe" and process.is_control and not self._wiped:
            self._wiped = True  # one disk is what the settings allow to be lost
            shutil.rmtree(process.folder / "data", ignore_errors=True)
        time.sleep(step.down_s)
        process.start()

    def _call(self, process: Process, number: int) -> None:
        count = 0
        while not self._stopping.is_set():
            count += 1
            request_id = f"{process.ip}-{number}-{count}"
            answer = process.request("/book/1", "POST", request_id)
            ran = answer.headers.get("pimentobend-ran", "")
            self.sent.append(Sent(request_id, answer.status, ran))
            if answer.status == 0:
                time.sleep(0.1)

    def _operate(self) -> None:
        while not self._stopping.is_set():
            if self.fleet.put(ROUTES) == 200:
                self.acknowledged = self.fleet.label
            time.sleep(0.5)

    def _check(self) -> list[str]:
        for process in self.fleet.instances:
            until(process.is_ready, "every instance is ready again")
            until(lambda p=process: p.request().status == 200, "and serves")  # type: ignore[misc]
        broken: list[str] = []
        runs: dict[str, int] = {}
        for process in self.fleet.instances:
            assert process.server is not None
            for request_id in process.server.ran:
                runs[request_id] = runs.get(request_id, 0) + 1
        for sent in self.sent:
            ran = runs.get(sent.request_id, 0)
            if ran > 1:
                broken.append(f"{sent} ran {ran} times")
            if ran and (sent.status == NOT_RUN or sent.ran == "not-run"):
                broken.append(f"{sent} ran, and was refused as not run")
            if not ran and sent.status == 200:
                broken.append(f"{sent} was answered and did not run")
        until(self.fleet.read, "the configuration is read")
        if min(self.fleet.read()) < self.acknowledged:
            broken.append(f"version {self.acknowledged} was acknowledged and is gone")
        return broken


def main() -> int:
    """Play one seed and return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    soak = Soak(folder)
    schedule = make_schedule(options.seed, options.seconds, len(soak.fleet.processes))
    for step in schedule:
        print(*step)
    try:
        broken = soak.run(schedule, options.seconds)
    except AssertionError as error:
        broken = [str(error)]
    finally:
        soak.fleet.stop()
    statuses = [sent.status for sent in soak.sent]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(f"seed {options.seed}: {len(statuses)} bookings {counts}")
    print(f"acknowledged up to {soak.acknowledged}; broken: {len(broken)}")
    for line in broken[:20]:
        print(line)
    if broken:
        print(f"logs in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
