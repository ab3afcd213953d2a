"""Proxies through which a hop is measured."""

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
    """A running proxy in front of one backend server."""

    @property
    @abc.abstractmethod
    def pid(self) -> int:
        """Return the process's id."""

    @property
    @abc.abstractmethod
    def port(self) -> int:
        """Return the port for callers."""

    @abc.abstractmethod
    def renew_lease(self) -> None:
        """Renew the backend server's lease for another window, if it needs one."""


class ProxyStarter(abc.ABC):
    """Start one kind of proxy in front of a backend server."""

    name: str

    @abc.abstractmethod
    def start(
        self, backend_port: int
    ) -> contextlib.AbstractContextManager[RunningProxy]:
        """Start the proxy, and stop it at the end of the context."""


class _LibraryProxy(RunningProxy):
    """The minimal proxy of the libraries."""

    def __init__(self, process: BenchProcess) -> None:
        self._process = process
        self._port = int(process.read_line())

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def port(self) -> int:
        return self._port

    def renew_lease(self) -> None:
        """Do nothing: the backend server is fixed at the start."""


class LibraryStarter(ProxyStarter):
    """Start the minimal proxy of the WSGI server and an urllib3 pool."""

    name = "libraries alone"

    @contextlib.contextmanager
    def start(self, backend_port: int) -> Iterator[RunningProxy]:
        """Start the proxy, and stop it at the end of the context."""
        module = "pimentobend_bench._internal.capacity.hop.library_proxy"
        with BenchProcess([module, str(backend_port)]) as process:
            yield _LibraryProxy(process)


class _DaemonProxy(RunningProxy):
    """A real daemon with one backend server."""

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

    def renew_lease(self) -> None:
        """Announce the backend server."""
        self._daemon.announce(self._server)


class DaemonStarter(ProxyStarter):
    """Start a daemon of all roles whose tables hold ``routes`` routes.

    The route of the measured requests is one of them.
    """

    def __init__(self, name: str, routes: int) -> None:
        self.name = name
        self._routes = routes

    @contextlib.contextmanager
    def start(self, backend_port: int) -> Iterator[RunningProxy]:
        """Start the proxy, and stop it at the end of the context."""
        with BenchDaemon("hop", ["instance", "control"]) as daemon:
            daemon.apply_tables(
                (_HOP_ROUTE, *make_routes(self._routes - 1)), (_HOP_POOL, *make_pools())
            )
            proxy = _DaemonProxy(daemon, backend_port)
            proxy.renew_lease()
            yield proxy


STARTERS: dict[str, ProxyStarter] = {
    starter.name: starter
    for starter in (
        LibraryStarter(),
        DaemonStarter("pimentobendd, whole table", ROUTES),
    )
}
