"""Join the tasks of the role instance."""

import zlib
from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.health import HealthTasks
from pimentobend_adapters._internal.http.backend import BackendClient
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.links.link import Link
from pimentobend_adapters._internal.metrics import AttemptMetrics
from pimentobend_adapters._internal.metrics import Metrics
from pimentobend_adapters._internal.observers import AttemptObservers
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_adapters._internal.tasks import Ticking
from pimentobend_adapters._internal.traffic import TrafficTasks
from pimentobend_core._internal.membership.messages import RegistryInput
from pimentobend_core._internal.membership.messages import RegistryOutput
from pimentobend_core._internal.membership.messages import RegistryTick
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import ServiceChanged
from pimentobend_core._internal.membership.messages import ViewInput
from pimentobend_core._internal.membership.messages import ViewTick
from pimentobend_core._internal.membership.pools import PoolServers
from pimentobend_core._internal.membership.pools import PoolServersChanged
from pimentobend_core._internal.membership.pools import PoolServersInput
from pimentobend_core._internal.membership.registry import ServerRegistry
from pimentobend_core._internal.membership.view import MembershipView
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import LedgerPort
from pimentobend_core._internal.request.pipe import RequestPorts
from pimentobend_core._internal.request.pipe import build_request_pipe
from pimentobend_core._internal.traffic.policy import BudgetedRetries
from pimentobend_core._internal.traffic.pool import PoolTraffic
from pimentobendd._internal.evidence import EvidenceReports
from pimentobendd._internal.interfaces.servers import RegistryReply
from pimentobendd._internal.interfaces.servers import ServersInterface
from pimentobendd._internal.settings import Settings
from pimentobendd._internal.tables import TablesInForce

REGISTRY_TICK_S = 0.5
VIEW_TICK_S = 1.0


class InstanceRole:
    """Take callers' requests and the announcements of backend servers.

    The flow of servers is a pipe of tasks: registry, view, pools, traffic.
    """

    def __init__(
        self,
        settings: Settings,
        link: Link,
        tables: TablesInForce,
        ledger: LedgerPort,
        metrics: Metrics,
        events: Outlet[RequestEnded],
        epoch: int,
    ) -> None:
        assert settings.callers is not None and settings.servers is not None
        self._settings = settings
        self._followers: list[Callable[[ServiceChanged], None]] = []
        clock = HubClock()
        self.evidence = EvidenceReports(
            link, settings.control, clock, lambda grant: self.health.granted(grant)
        )
        self.health = HealthTasks(
            settings.instance,
            clock,
            lambda pool, weights: self.traffic.put(pool, weights),
            self.evidence,
        )
        self.traffic = TrafficTasks(
            self._create_traffic,
            clock,
            AttemptObservers(self.health, AttemptMetrics(metrics)),
        )
        self.pools: FilterTask[PoolServersInput, PoolServersChanged] = FilterTask(
            "pools", PoolServers(), CallOutlet(self._give_servers), clock
        )
        self.view: FilterTask[ViewInput, ServiceChanged] = FilterTask(
            "view",
            MembershipView(),
            CallOutlet(self._give_service),
            clock,
            Ticking(VIEW_TICK_S, ViewTick()),
        )
        self._replies: Replies[RegistryReply] = Replies(lambda reply: reply.server_id)
        self.registry: FilterTask[RegistryInput, RegistryOutput] = FilterTask(
            "registry",
            ServerRegistry(settings.instance, epoch),
            CallOutlet(self._take_registry_output),
            clock,
            Ticking(REGISTRY_TICK_S, RegistryTick()),
        )
        pipe = build_request_pipe(
            RequestPorts(
                clock=clock,
                tables=tables,
                traffic=self.traffic,
                ledger=ledger,
                backend=BackendClient(clock),
                retries=BudgetedRetries(),
            )
        )
        self.front = CallerFront(pipe, clock, events)
        self._callers = HttpServer(settings.callers, self.front)
        self._servers = HttpServer(
            settings.servers,
            ServersInterface(self.registry, self._replies, settings.announce_from),
        )
        tables.follow(self._follow_tables)

    def start(self) -> None:
        """Start the tasks, then listen."""
        for task in (self.pools, self.view, self.registry):
            task.start()
        self._callers.start()
        self._servers.start()

    def stop_listening(self) -> None:
        """Take no new connections."""
        self._callers.close()
        self._servers.close()

    def dump(self) -> Mapping[str, object]:
        """Return the state of the role's tasks."""
        state: dict[str, object] = {
            "registry": self.registry.dump(),
            "view": self.view.dump(),
            "pools": self.pools.dump(),
        }
        state.update({task.name: task.dump() for task in self.traffic.tasks})
        state.update({task.name: task.dump() for task in self.health.tasks})
        state["requests"] = {"in_flight": self.front.in_flight}
        return state

    def ejections(self) -> list[Mapping[str, object]]:
        """Return a row for each backend server that is ejected here."""
        return self.health.ejections()

    def _create_traffic(self, pool: Pool) -> PoolTraffic:
        settings = self._settings
        seed = zlib.crc32(f"{settings.instance}/{pool.name}".encode())
        return PoolTraffic(pool, settings.data_centre, settings.region, seed)

    def _follow_tables(self, tables: Tables) -> None:
        self.traffic.configure(tables.pools)
        self.health.configure(tables.pools)
        self.pools.put(tables)

    def follow_services(self, function: Callable[[ServiceChanged], None]) -> None:
        """Call a function with each change of a service's live servers."""
        self._followers.append(function)

    def _give_service(self, message: ServiceChanged) -> None:
        self.pools.put(message)
        for function in self._followers:
            function(message)

    def _give_servers(self, message: PoolServersChanged) -> None:
        self.traffic.servers_changed(message.pool, message.change)
        self.health.servers_changed(message.pool, message.change)

    def _take_registry_output(self, message: RegistryOutput) -> None:
        if isinstance(message, ServerEvent):
            self.view.put(message)
            return
        self._replies.put(message)
