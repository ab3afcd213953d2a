"""Load the daemon's parts one after the other and print the memory after each."""

import gc
import importlib

from pimentobend_bench._internal.capacity.process import private_bytes


def _print_memory(part: str) -> None:
    gc.collect()
    print(f"{private_bytes()}\t{part}", flush=True)


def main() -> None:
    """Print the private bytes of this process after each part is loaded."""
    import warnings

    warnings.simplefilter("ignore")
    _print_memory("bench and interpreter")
    import eventlet

    eventlet.monkey_patch()
    _print_memory("eventlet, patched")
    for name in ("eventlet.wsgi", "urllib3", "structlog", "absl.flags", "statsd"):
        importlib.import_module(name)
    _print_memory("HTTP, logs, flags, metrics libraries")
    importlib.import_module("msgspec")
    importlib.import_module("returns.result")
    _print_memory("codec and result libraries")
    pynng = importlib.import_module("pynng")
    socket = pynng.Pull0()
    _print_memory("pynng and a socket")
    importlib.import_module("pimentobendd._internal.daemon")
    _print_memory("the daemon's code")
    _load_tables()
    socket.close()


def _load_tables() -> None:
    from pimentobend_bench._internal.capacity.configuration_probes import make_tables
    from pimentobend_bench._internal.capacity.membership_probes import fill_view
    from pimentobend_bench._internal.capacity.row_probes import fill_store
    from pimentobend_bench._internal.capacity.rows import make_organisation
    from pimentobend_bench._internal.capacity.target import ORGANISATIONS
    from pimentobend_bench._internal.capacity.target import ROUTES
    from pimentobend_bench._internal.capacity.target import SERVERS
    from pimentobend_core._internal.health.observer import PoolHealth
    from pimentobend_core._internal.traffic.messages import ServersChanged
    from pimentobend_core._internal.traffic.pool import PoolTraffic
    from pimentobend_core._internal.traffic.routing import RouteMatcher

    _print_memory("code that fills the tables")
    tables = make_tables(ROUTES)
    matcher = RouteMatcher(tables)
    _print_memory("9,000 routes and 580 pools, matched")
    view = fill_view(SERVERS)
    _print_memory("20,000 servers in the view")
    store = fill_store(SERVERS)
    _print_memory("20,000 rows of servers for the tree")
    pools = [PoolTraffic(pool, "dc-0", "region-0", 1) for pool in tables.pools]
    for pool, traffic in zip(tables.pools, pools, strict=True):
        traffic.handle(ServersChanged(view.servers(pool.service)), 0.0)
    _print_memory("580 pools' traffic with their servers")
    observers = [PoolHealth(pool, "instance-0001") for pool in tables.pools]
    for pool, observer in zip(tables.pools, observers, strict=True):
        observer.handle(ServersChanged(view.servers(pool.service)), 0.0)
    _print_memory("580 pools' health with their servers")
    for number in range(ORGANISATIONS):
        traffic = pools[number % len(pools)]
        traffic._shares.charge(make_organisation(number), 0.0)
    _print_memory("85,000 organisations")
    del tables, matcher, view, store, pools, observers


if __name__ == "__main__":
    main()
