"""Two core machines are replaced, one after the other; the configuration is gone."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from fleet import BOUNDS, CONTROL, CannotRunError, Fleet, ask, run_case, table  # noqa: E402
from operator2 import COLUMNS, Operator, first_config  # noqa: E402

COMES_S = 2.0  # replace_core of kattevakt-mesh has x = 2
SETTLE_S = 12.0  # three times catchUpS


def change(number):
    row = (
        "r-1",
        "nony93.example",
        "/puba11/",
        "unsafe",
        4,
        1.5 + number,
        1,
        2,
        "booking",
    )
    return {"upsert": {"routes": table(COLUMNS, [row])}}


def play(record, trouble):
    fleet = Fleet([("a", "booking")], spares=2)
    operator = Operator(fleet)
    try:
        fleet.start()
        if not operator.send("PUT", first_config(["booking"]), 40.0):
            raise CannotRunError("the first configuration is not acknowledged")
        time.sleep(SETTLE_S)
        for number, spare in enumerate(fleet.spares):
            if trouble:
                replace(fleet, spare, record)
            time.sleep(SETTLE_S)
            if not operator.send("PATCH", change(number), BOUNDS["recoveryS"]):
                record(f"a change on version {operator.version} is not acknowledged")
                break
            record(f"version {operator.version} is acknowledged")
        found, statuses = operator.read(BOUNDS["recoveryS"])
        record(
            f"read back: version {found}, acknowledged {operator.version}; answers {statuses}"
        )
    finally:
        fleet.close()
    if found < operator.version:
        return (
            f"LOST, CONFIG: version {operator.version} was acknowledged; read back for"
            f" {BOUNDS['recoveryS']} s: {found or 'nothing'}"
        )
    return None


def replace(fleet, spare, record):
    """Remove a core machine for good; an empty one comes at another address."""
    removed = fleet.core[-1 - fleet.spares.index(spare)]
    record(f"{removed.ip} is removed for good")
    removed.kill()
    fleet.core.remove(removed)
    time.sleep(COMES_S)
    fleet.core.insert(0, spare)
    fleet.seeds = list(fleet.core)  # as in the operator's list
    spare.start()
    ends_at = time.monotonic() + 10
    while ask(spare.at(CONTROL), "GET", "/", timeout_s=0.5)[0] == 0:
        if time.monotonic() > ends_at:
            raise CannotRunError("the new machine does not start")
        time.sleep(0.05)
    record(f"{spare.ip} has started with an empty disk")


if __name__ == "__main__":
    run_case(FOLDER, play)
