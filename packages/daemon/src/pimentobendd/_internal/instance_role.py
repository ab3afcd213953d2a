"""Run the role instance: callers' requests and announcements of servers."""

import zlib
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.health import HealthTasks
from pimentobend_adapters._internal.http.backend import BackendClient
from pimentobend_adapters._internal.http.front import CallerFront
from pimentobend_adapters._internal.http.front import FrontOptions
from pimentobend_adapters._internal.http.headers import OWN_NAMES
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.metrics import AttemptMetrics
from pimentobend_adapters._internal.metrics import Metrics
from pimentobend_adapters._internal.observers import AttemptObservers
from pimentobend_adapters._internal.retries import WaitingRetries
from pimentobend_adapters._internal.suspects import SuspectsTask
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_adapters._internal.traffic import TrafficTasks
from pimentobend_core._internal.membership.messages import DrainReplied
from pimentobend_core._internal.membership.messages import DrainServer
from pimentobend_core._internal.membership.messages import RegistryInput
from pimentobend_core._internal.membership.messages import RegistryOutput
from pimentobend_core._internal.membership.messages import RegistryTick
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import UnknownServerLeft
from pimentobend_core._internal.membership.pools import PoolServersChanged
from pimentobend_core._internal.membership.registry import ServerRegistry
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.models.events import RequestEnded
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import LedgerPort
from pimentobend_core._internal.request.organisation import name_sender
from pimentobend_core._internal.request.pipe import RequestPorts
from pimentobend_core._internal.request.pipe import build_request_pipe
from pimentobend_core._internal.traffic.pool import PoolTraffic
from pimentobendd._internal.crash_rows import CrashRows
from pimentobendd._internal.evidence import EvidenceReports
from pimentobendd._internal.interfaces.operators import Query
from pimentobendd._internal.interfaces.replies import Reply
from pimentobendd._internal.interfaces.replies import make_error
from pimentobendd._internal.interfaces.servers import ANSWER_TIMEOUT_S
from pimentobendd._internal.interfaces.servers import RegistryReply
from pimentobendd._internal.interfaces.servers import ServersInterface
from pimentobendd._internal.membership_role import MembershipRole
from pimentobendd._internal.settings import Settings
from pimentobendd._internal.tables import TablesInForce

REGISTRY_TICK_S = 0.5
SHOWN_CHARACTERS = 200  # of each value that a server sent, in a log line


class SharedParts(NamedTuple):
    """Parts of a process that its roles share.

    ``epoch`` must grow at each start of the process.
    """

    link: Transport
    membership: MembershipRole
    metrics: Metrics
    epoch: int


class InstanceRole:
    """Serves callers' requests and the announcements of backend servers.

    Changes of servers pass through a pipe of tasks: the registry of announcements,
    the spread tree, the view of the fleet's servers, the pools, and the traffic
    of each pool.
    """

    def __init__(
        self,
        settings: Settings,
        parts: SharedParts,
        tables: TablesInForce,
        ledger: LedgerPort,
        events: Outlet[RequestEnded],
    ) -> None:
        link, membership, metrics, epoch = parts
        assert settings.callers is not None and settings.servers is not None
        self._settings = settings
        self._membership = membership
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
        self._replies: Replies[RegistryReply] = Replies(lambda reply: reply.server_id)
        self.registry: FilterTask[RegistryInput, RegistryOutput] = FilterTask(
            "registry",
            ServerRegistry(link.address, epoch),
            CallOutlet(self._handle_registry_output),
            clock,
            PeriodicMessage(REGISTRY_TICK_S, RegistryTick()),
        )
        self._backend = BackendClient(clock)
        self._crash_rows = CrashRows(link.address, epoch, clock, membership.publish_row)
        self.suspects = SuspectsTask(
            f"{settings.instance}.{epoch}", clock, metrics, self._crash_rows.publish
        )
        membership.subscribe_to_crashes(self._receive_crashes)
        membership.subscribe_to_earlier_drains(self.registry.put)
        retries = WaitingRetries(clock)
        membership.subscribe_to_instances(
            lambda message: retries.update_instances(message.instances, clock.now())
        )
        pipe = build_request_pipe(
            RequestPorts(
                clock=clock,
                tables=tables,
                traffic=self.traffic,
                ledger=ledger,
                backend=self._backend,
                retries=retries,
                organisation_header=OWN_NAMES.organisation,
                suspects=self.suspects,
            )
        )
        options = FrontOptions(name_sender=lambda head: name_sender(tables, head))
        self.front = CallerFront(pipe, clock, events, options)
        self._callers = HttpServer(settings.callers, self.front)
        self._servers = HttpServer(
            settings.servers,
            ServersInterface(
                self.registry,
                self._replies,
                settings.announce_from,
                lambda server_id, faults: _report_refused(metrics, server_id, faults),
            ),
        )
        membership.subscribe_to_pools(self._update_servers)
        tables.subscribe(self._update_tables)

    def start(self) -> None:
        """Start the tasks, then the listeners."""
        self.registry.start()
        self.suspects.start()
        self._callers.start()
        self._servers.start()

    def stop_listening(self) -> None:
        """Close the listeners, idle connections, and others after their answers."""
        self.front.stop()
        self._callers.close()
        self._servers.close()

    def refuse_later_than(self, ends_at: float) -> None:
        """Refuse requests that no server has got and that need not end by then."""
        self.traffic.refuse_later_than(ends_at)

    def end_requests(self) -> None:
        """Answer the requests in flight: unsent ones as not run, others as unknown."""
        self.front.refuse_unread()
        self.traffic.end_requests()
        self._backend.end_attempts()

    def dump(self) -> Mapping[str, object]:
        """Return the state of the role's tasks."""
        state: dict[str, object] = {
            "registry": self.registry.dump(),
        }
        state.update({task.name: task.dump() for task in self.traffic.tasks})
        state.update({task.name: task.dump() for task in self.health.tasks})
        state["suspects"] = self.suspects.dump()
        state["requests"] = {"in_flight": self.front.in_flight}
        return state

    def drain(self, query: Query) -> Reply:
        """Drain a server that announces itself to this instance."""
        server_id = query.get("server", "")
        reply = self._replies.ask(
            server_id,
            lambda: self.registry.put(DrainServer(server_id)),
            ANSWER_TIMEOUT_S,
        )
        if isinstance(reply, DrainReplied) and reply.is_known:
            return Reply(200, {"server": server_id, "state": "draining"})
        hint = "ask the instance to which the server announces itself"
        return make_error(
            404, f"no server {server_id!r} announces itself to this instance", hint=hint
        )

    def ejections(self) -> list[Mapping[str, object]]:
        """Return a row for each backend server that this instance ejects."""
        return self.health.ejections()

    def _create_traffic(self, pool: Pool) -> PoolTraffic:
        settings = self._settings
        seed = zlib.crc32(f"{settings.instance}/{pool.name}".encode())
        return PoolTraffic(pool, settings.data_centre, settings.region, seed)

    def _update_tables(self, tables: Tables) -> None:
        self.traffic.configure(tables.pools)
        self.health.configure(tables.pools)

    def _update_servers(self, message: PoolServersChanged) -> None:
        self.traffic.servers_changed(message.pool, message.change)
        self.health.servers_changed(message.pool, message.change)
        self.suspects.update_servers(message)

    def _receive_crashes(self, row: Row) -> None:
        reports = self._crash_rows.read(row)
        if reports:
            self.suspects.receive(reports, is_own=self._crash_rows.is_own(row))

    def _handle_registry_output(self, message: RegistryOutput) -> None:
        match message:
            case ServerEvent():
                self._membership.publish(message)
            case UnknownServerLeft():
                # Rows describe whole servers: this one is remembered here only.
                get_log().info("unknown-server-left", **message._asdict())
            case _:
                self._replies.put(message)


def _report_refused(metrics: Metrics, server_id: str, faults: tuple[str, ...]) -> None:
    metrics.count("announcements.refused")
    get_log().warning(
        "announcement-refused",
        server=server_id[:SHOWN_CHARACTERS],
        faults="; ".join(faults)[:SHOWN_CHARACTERS],
    )
