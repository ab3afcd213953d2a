"""Clients with large bodies leave while their requests wait for a server."""

import itertools
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "stand3"))

from fleet import Client  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import run_case  # noqa: E402

USUAL_GAP_S = 1 / 6  # the two servers are then just full
BURST = 1.67  # times the usual, in the bursts
# Seconds of each phase, and whether it is a burst.
PHASES = ((5.0, True), (3.0, False)) * 2 + ((5.0, True),)
UPLOADS = 180
BODY = b"m" * 100_000
LEAVE_S = 1.0
LEAVERS = (0, 4, 7)  # of each ten clients
LATE_S = 0.5  # the rule's half a second
FEW = 5  # more requests than these break the rule


def find_gaps():
    """Return the pause after each request."""
    for length_s, is_burst in PHASES:
        gap_s = USUAL_GAP_S / BURST if is_burst else USUAL_GAP_S
        yield from [gap_s] * round(length_s / gap_s)


def case(record, is_troubled):
    """Return whether the rule was broken."""
    with Fleet(record, servers=2, slots=3, work_s=1.0) as fleet:
        clients = []
        threads = []

        def play(client, leaves):
            client.send()
            if leaves:
                time.sleep(LEAVE_S)
                client.leave()
            else:
                client.read()

        for number, gap_s in enumerate(itertools.islice(find_gaps(), UPLOADS)):
            address = fleet.instances[number % 2].address("callers")
            path = f"/load/{number}"
            client = Client(record, address, f"u-{number}", path, BODY)
            leaves = is_troubled and number % 10 in LEAVERS
            clients.append(client)
            thread = threading.Thread(target=play, args=(client, leaves), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(gap_s)
        for thread in threads:
            thread.join(30)
        time.sleep(2)
        arrived = [each for one in fleet.instances for each in one.server.arrived]
        left_at = {each.request_id: each.left_at for each in clients}
        late = [
            (request_id, round(at - left_at[request_id], 2))
            for request_id, at in arrived
            if left_at.get(request_id) is not None
            and at - left_at[request_id] > LATE_S
        ]
        leavers = sum(each.left_at is not None for each in clients)
        served = sum(each.status == 200 for each in clients)
        text = (
            f"{leavers} of {len(clients)} clients left, {served} were served; reached a"
            f" server over {LATE_S} s after their client left: {len(late)} {late}"
        )
        record.add(text)
        print(text)
        return len(late) > FEW


run_case(FOLDER, case)
