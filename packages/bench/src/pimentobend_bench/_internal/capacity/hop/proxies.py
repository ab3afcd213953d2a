"""Start the proxies that the hop is measured through."""

import abc
import contextlib
from collections.abc import Iterator

from pimentobend_bench._internal.capacity.daemons import BenchDaemon
from pimentobend_bench._internal.capacity.process import BenchProcess
from pimentobend_bench._internal.capacity.rows import make_pools
from pimentobend_bench._internal.capacity.rows import make_routes
from pimentobend_bench._internal.capacity.target import ROUTES
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

_SLOTS = 64
_TIMEOUT_MS = 10_000
_QUEUE_LIMIT = 1_000


_HOP_ROUTE = Route(
    name="hop",
    host="hop.example",
    path="/v1",
    methods=("GET",),
    pool="hop",
    repeatable=True,
    timeout_ms=_TIMEOUT_MS,
)
_HOP_POOL = Pool(
    name="hop", service="hop", floor=0.5, queue_limit=_QUEUE_LIMIT, hedge=False
)


class RunningProxy(abc.ABC):
    """Stand before one backend server."""

    @property
    @abc.abstractmethod
    def pid(self) -> int:
        """Return the process's id."""

    @property
    @abc.abstractmethod
    def port(self) -> int:
        """Return the port for callers."""

    @abc.abstractmethod
    def renew(self) -> None:
        """Keep the backend server known for another window."""


class ProxyStarter(abc.ABC):
    """Start one kind of proxy before a backend server's port."""

    name: str

    @abc.abstractmethod
    def start(
        self, backend_port: int
    ) -> contextlib.AbstractContextManager[RunningProxy]:
        """Start the proxy; the end of the context ends it."""


class _Library(RunningProxy):
    """Hold the least proxy that the libraries allow."""

    def __init__(self, process: BenchProcess) -> None:
        self._process = process
        self._port = int(process.read_line())

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def port(self) -> int:
        return self._port

    def renew(self) -> None:
        """Know the backend server by its port alone."""


class LibraryStarter(ProxyStarter):
    """Start the least proxy of the WSGI server and an urllib3 pool."""

    name = "libraries alone"

    @contextlib.contextmanager
    def start(self, backend_port: int) -> Iterator[RunningProxy]:
        """Start the proxy; the end of the context ends it."""
        module = "pimentobend_bench._internal.capacity.hop.library_proxy"
        with BenchProcess([module, str(backend_port)]) as process:
            yield _Library(process)


class _Daemon(RunningProxy):
    """Hold a real daemon that knows one backend server."""

    def __init__(self, daemon: BenchDaemon, backend_port: int) -> None:
        self._daemon = daemon
        self._server = Server(
            server_id="server-0",
            service="hop",
            host="127.0.0.1",
            port=backend_port,
            slots=_SLOTS,
            data_centre="dc-0",
            region="region-0",
            state=ServerState.READY,
            incarnation=1,
        )

    @property
    def pid(self) -> int:
        return self._daemon.process.pid

    @property
    def port(self) -> int:
        return int(self._daemon.listen["callers"].rpartition(":")[2])

    def renew(self) -> None:
        """Announce the backend server."""
        self._daemon.announce(self._server)


class DaemonStarter(ProxyStarter):
    """Start a daemon of all roles with the hop's route among others."""

    def __init__(self, name: str, routes: int) -> None:
        self.name = name
        self._routes = routes

    @contextlib.contextmanager
    def start(self, backend_port: int) -> Iterator[RunningProxy]:
        """Start the proxy; the end of the context ends it."""
        with BenchDaemon("hop", ["instance", "control"]) as daemon:
            daemon.apply_tables(
                (_HOP_ROUTE, *make_routes(self._routes - 1)), (_HOP_POOL, *make_pools())
            )
            proxy = _Daemon(daemon, backend_port)
            proxy.renew()
            yield proxy


STARTERS: dict[str, ProxyStarter] = {
    starter.name: starter
    for starter in (
        LibraryStarter(),
        DaemonStarter("pimentobendd, whole table", ROUTES),
    )
}
