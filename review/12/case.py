"""A server fails part of the requests that it ran with 503."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "stand3"))

from fleet import Client  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import run_case  # noqa: E402

SERVERS = 8
REQUESTS = 440
GAP_S = 0.025
FAILS_FROM_S, FAILS_FOR_S = 2.0, 6.5
FAILING = 0.7  # share of the requests of one server
PROMISES = (408, 421, 429, 503)


def case(record, is_troubled):
    """Return whether the rule was broken."""
    with Fleet(record, servers=SERVERS, work_s=0.5) as fleet:
        clients = []
        threads = []

        def play(client):
            client.send()
            client.read()

        grey = fleet.instances[0].server
        began_at = time.monotonic()
        for number in range(REQUESTS):
            since_s = time.monotonic() - began_at - FAILS_FROM_S
            fails = is_troubled and 0 <= since_s < FAILS_FOR_S
            grey.failing_share = FAILING if fails else 0.0
            address = fleet.instances[number % SERVERS].address("callers")
            client = Client(record, address, f"b-{number}", f"/book/{number}", b"visit")
            clients.append(client)
            thread = threading.Thread(target=play, args=(client,), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(GAP_S)
        for thread in threads:
            thread.join(30)
        ran = {name for each in fleet.instances for name, _ in each.server.runs}
        broken = [
            (each.request_id, each.status)
            for each in clients
            if each.status in PROMISES and each.request_id in ran
        ]
        served = sum(each.status == 200 for each in clients)
        text = (
            f"{served} of {REQUESTS} requests were served; answered with a promise"
            f" not to have run, though they ran: {len(broken)} {broken}"
        )
        record.add(text)
        print(text)
        return bool(broken)


run_case(FOLDER, case)
