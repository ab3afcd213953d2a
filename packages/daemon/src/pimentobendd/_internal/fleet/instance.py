"""Run the role instance: callers, forwarded requests and the local servers."""

import itertools
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.bid_collector import KIND_ASK
from pimentobend_adapters._internal.forwarding.bid_collector import KIND_BIDS
from pimentobend_adapters._internal.forwarding.bid_collector import BidCollector
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.delivery import DeliveryFilter
from pimentobend_adapters._internal.forwarding.delivery import DeliveryPorts
from pimentobend_adapters._internal.forwarding.host import HostOptions
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.peer_front import PeerFront
from pimentobend_adapters._internal.forwarding.peers import KIND_WITHDRAW
from pimentobend_adapters._internal.forwarding.peers import PeerClient
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.front import FrontOptions
from pimentobend_adapters._internal.http.heads import MAX_HEAD_BYTES
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.forwarding.delivery_messages import FinishBy
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.gossip.published import PublishedServers
from pimentobend_core._internal.gossip.rows import HostedServer
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import ProofPort
from pimentobend_core._internal.request.call_routes import CallRouteFilter
from pimentobend_core._internal.request.crash_guard import CrashGuardFilter
from pimentobend_core._internal.request.deadline import DeadlineFilter
from pimentobend_core._internal.request.limit import LimitFilter
from pimentobend_core._internal.request.organisation import OrganisationFilter
from pimentobend_core._internal.request.route import RouteFilter
from pimentobend_core._internal.request.sender import SenderFilter
from pimentobend_core._internal.request.stages import Received
from pimentobend_core._internal.request.stages import Routed
from pimentobend_core._internal.request.tables_proof import TablesProofFilter
from pimentobend_core._internal.traffic.shared_budget import OriginBudget
from pimentobendd._internal.fleet.dialect import Dialect
from pimentobendd._internal.fleet.limits import DaemonLimits
from pimentobendd._internal.fleet.local_servers import LocalServers
from pimentobendd._internal.fleet.settings import FleetSettings
from pimentobendd._internal.fleet.stop_plan import StopPlan
from pimentobendd._internal.tables import TablesInForce

SERVER_ERROR = 500
# Daemons add headers to the requests that they pass on.
MAX_HOP_HEAD_BYTES = 2 * MAX_HEAD_BYTES


class InstancePorts(NamedTuple):
    """Values, tasks and functions of the process that the role instance uses."""

    dialect: Dialect
    process_id: int
    link: Transport
    tables: TablesInForce
    own_row: Callable[[], PeerRow]
    on_servers_changed: Callable[[tuple[HostedServer, ...]], None]
    on_reports_changed: Callable[[tuple[CrashReport, ...]], None]
    on_unreachable: Callable[[str], None]
    forwarding: Outlet[ForwardingEvent]
    requests: Outlet[RequestEnded]
    on_connect: Callable[[], None]
    on_refused: Callable[[str, tuple[str, ...]], None]  # a server's announcement
    limits: DaemonLimits
    memory: MemoryOwner
    proof: ProofPort | None = None  # None if keyed requests need no proof of the tables


class FleetInstance:
    """Serves callers, other daemons' attempts and the local servers' announcements.

    As the origin of a caller's request, the daemon asks hosts for bids and sends
    attempts to them. As a host, it runs attempts on its local backend servers.
    """

    def __init__(self, settings: FleetSettings, ports: InstancePorts) -> None:
        assert settings.callers and settings.forward and settings.servers
        clock = HubClock()
        dialect, process_id = ports.dialect, ports.process_id
        link, tables = ports.link, ports.tables
        self._settings, self._tables = settings, tables
        names = dialect.names
        self._on_servers_changed = ports.on_servers_changed
        self._requests = ports.requests
        self._limits = ports.limits
        self._memory = ports.memory
        self._servers: dict[str, Server] = {}
        self._published = PublishedServers()
        self.host = HostTasks(
            process_id,
            settings.budget,
            ServerCalls(names, clock, ports.on_connect, ports.memory),
            clock,
            ports.forwarding,
            ports.on_reports_changed,
            HostOptions(ports.memory, settings.admission_behind_calls),
        )
        # The crash reports in each daemon's row, by its address.
        self._peer_reports: dict[str, tuple[CrashReport, ...]] = {}
        self._peer_services: Counter[str] = Counter()
        self._is_fleet_known = False
        self.bid_collector = BidCollector(
            ports.own_row, link, self.host, clock, ports.on_unreachable
        )
        self.registry = LocalServers(
            link.address,
            process_id,
            self._handle_server_change,
            ports.on_refused,
            self._is_service,
        )
        delivery = DeliveryPorts(
            process_id,
            self.bid_collector,
            self.host,
            PeerClient(clock, link, ports.memory),
            OriginBudget(limits_copies=settings.budget.copies_share is not None),
            clock,
            ports.forwarding,
            lambda: str(Version(*tables.current()[:2])),
            itertools.count(1),
        )
        self._deliveries = DeliveryFilter(delivery)
        pipe = (
            DeadlineFilter(clock)
            .then(SenderFilter(self.host.senders))
            .then(_create_routing(tables, ports.proof, clock))
            .then(CallRouteFilter())
            .then(OrganisationFilter(tables, names.organisation))
            .then(LimitFilter(tables, ports.limits, clock))
            .then(CrashGuardFilter(self.host.blocks, clock))
            .then(self._deliveries)
        )
        options = FrontOptions(
            names,
            settings.beside.service if settings.beside else "",
            lambda: tables.current().limits,
            watches_callers=True,
            memory=ports.memory,
        )
        requests = CallOutlet(self._handle_request_ended)
        self.front = CallerFront(pipe, clock, requests, options)
        self._peer_front = PeerFront(process_id, self.host, names, clock, ports.memory)
        idle_timeout_s = lambda: _idle_timeout_s(tables.current().limits)  # noqa: E731
        beside = settings.beside.address if settings.beside else ""
        self._listeners = (
            HttpServer(
                settings.callers,
                self.front,
                idle_timeout_s,
                buffer_bytes=ports.memory.socket_bytes,
            ),
            HttpServer(
                settings.forward,
                self._peer_front,
                max_head_bytes=MAX_HOP_HEAD_BYTES,
                buffer_bytes=ports.memory.socket_bytes,
            ),
            HttpServer(settings.servers, dialect.create_servers(self.registry, beside)),
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests and attempts that are not fully answered yet.

        An attempt for another daemon counts twice until it has a result.
        """
        peers = self._peer_front.in_flight
        return self.front.in_flight + peers + self.host.running

    def update_peers(self, peers: tuple[PeerRow, ...]) -> None:
        """Replace the list of known daemons and of their servers."""
        self.bid_collector.update_peers(peers)
        self._limits.update_peers(peers)
        self._peer_services = Counter(
            each.service for row in peers for each in row.servers if each.is_ready
        )
        self._is_fleet_known = bool(peers)
        self._update_service_sizes()
        for row in peers:
            # Only changes count: the row of a daemon that is gone grows no younger.
            if row.crash_reports != self._peer_reports.get(row.address, ()):
                self.host.receive_reports(row.crash_reports)
        self._peer_reports = {
            row.address: row.crash_reports for row in peers if row.crash_reports
        }

    def start(self) -> None:
        """Start the tasks, then the listeners."""
        self.registry.task.start()
        self.host.start()
        self._limits.start()
        self._memory.start()
        for listener in self._listeners:
            listener.start()

    def stop_accepting(self, plan: StopPlan) -> None:
        """Decline work for the local servers; close connections after a response.

        Attempts of the local servers' queues start only if they will probably have
        ended when probes have noticed the stop.
        """
        self.host.start_draining(plan.noticed_at)
        self.front.stop()
        self._deliveries.finish_by(
            FinishBy(plan.refuse_at, plan.noticed_at, plan.end_requests_at)
        )

    def refuse_waiting(self) -> None:
        """Refuse all requests that have not reached a server, or are not read yet."""
        self.front.refuse_unread()
        self._deliveries.cancel_unsent()

    def give_up_requests(self) -> None:
        """End the requests that are left, those of the local servers among them."""
        self._deliveries.give_up()

    def give_up_attempts(self) -> None:
        """End the attempts that local servers are still running."""
        self.host.give_up()

    def close(self) -> None:
        """Close the listeners."""
        for listener in self._listeners:
            listener.close()

    def register(self, router: FrameRouter) -> None:
        """Register the handlers of the frames between origins and hosts."""
        router.register(KIND_ASK, self.bid_collector.handle_ask)
        router.register(KIND_BIDS, self.bid_collector.handle_bids)
        router.register(KIND_WITHDRAW, self.host.handle_withdraw)
        self._limits.register(router)

    def dump(self) -> Mapping[str, object]:
        """Return the state of the role's tasks."""
        return {
            "registry": self.registry.task.dump(),
            "host": self.host.dump(),
            "requests": {"in_flight": self.front.in_flight},
            "tokens": self._limits.dump(),
            "memory": {"reserved_bytes": self._memory.reserved_bytes},
        }

    def _is_service(self, name: str) -> bool:
        """Return whether a service is the one beside, or is named in the tables."""
        beside = self._settings.beside
        if beside is None or name == beside.service:
            return True
        return any(pool.service == name for pool in self._tables.current().pools)

    def _handle_request_ended(self, event: RequestEnded) -> None:
        if event.status >= SERVER_ERROR:
            self.host.note_failed_request()
        self._requests.put(event)

    def _handle_server_change(self, change: ServerEvent | UnknownServerLeft) -> None:
        if isinstance(change, UnknownServerLeft):
            self._published.add_departure(change)
        else:
            self._update_server(change)
            self._published.update(change)
        self._on_servers_changed(self._published.all())

    def _update_server(self, event: ServerEvent) -> None:
        server = event.server
        if event.presence is Presence.LIVE:
            self._servers[server.server_id] = server
            self.host.update_server(server)
        else:
            self._servers.pop(server.server_id, None)
            self.host.remove_server(server.server_id)

        self._update_service_sizes()

    def _update_service_sizes(self) -> None:
        """Count the servers of each service, once other daemons are known."""
        if not self._is_fleet_known:
            return
        own = Counter(server.service for server in self._servers.values())
        sizes = tuple((self._peer_services + own).items())
        self.host.update_service_sizes(ServiceSizes(sizes))

    def restore(self, row: PeerRow) -> None:
        """Take over what this daemon's row said before it restarted.

        The servers that were not ready are drained.
        """
        if row.crash_reports:
            self.host.restore_reports(row.crash_reports)
        drains = self._published.restore(row.servers)
        if drains.servers:
            self.registry.task.put(drains)
            self._on_servers_changed(self._published.all())

    def unready_servers(self) -> tuple[HostedServer, ...]:
        """Return the servers that left or are leaving."""
        return self._published.unready()


def _create_routing(
    tables: TablesInForce, proof: ProofPort | None, clock: HubClock
) -> Filter[Received, Routed]:
    """Return the filter that routes requests and, with a proof, checks the tables."""
    routing = RouteFilter(tables)
    if proof is None:
        return routing
    return routing.then(TablesProofFilter(proof, tables, routing, clock))


def _idle_timeout_s(limits: ClientLimits | None) -> float | None:
    return None if limits is None else limits.idle_timeout_ms / 1000
