"""Run the roles of one process that discovers its fleet from seed addresses."""

import pathlib
import secrets
import sys
import time
from collections.abc import Mapping
from typing import Any

import eventlet
import eventlet.event

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_adapters._internal.exposition import create_metrics_application
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.links.datagrams import DatagramLink
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.logs import LossyStream
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.exceptions import PimentobendError
from pimentobend_core._internal.gossip.codec import decode_message
from pimentobend_core._internal.gossip.codec import encode_message
from pimentobend_core._internal.gossip.messages import EarlierRowSeen
from pimentobend_core._internal.gossip.messages import GossipInput
from pimentobend_core._internal.gossip.messages import GossipOutput
from pimentobend_core._internal.gossip.messages import GossipReceived
from pimentobend_core._internal.gossip.messages import GossipTick
from pimentobend_core._internal.gossip.messages import NewerTablesSeen
from pimentobend_core._internal.gossip.messages import OwnRowChanged
from pimentobend_core._internal.gossip.messages import PeersChanged
from pimentobend_core._internal.gossip.messages import PeerUnreachable
from pimentobend_core._internal.gossip.messages import ReachabilityChanged
from pimentobend_core._internal.gossip.messages import SeedsChanged
from pimentobend_core._internal.gossip.messages import SendGossip
from pimentobend_core._internal.gossip.messages import TablesChanged
from pimentobend_core._internal.gossip.node import TICK_S
from pimentobend_core._internal.gossip.node import GossipNode
from pimentobend_core._internal.gossip.rows import HostedServer
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.models.tables import Tables
from pimentobendd._internal.exceptions import SettingsError
from pimentobendd._internal.fleet.control import FleetControl
from pimentobendd._internal.fleet.dialect import Dialect
from pimentobendd._internal.fleet.events import ForwardingLog
from pimentobendd._internal.fleet.events import RequestLog
from pimentobendd._internal.fleet.instance import FleetInstance
from pimentobendd._internal.fleet.instance import InstancePorts
from pimentobendd._internal.fleet.limits import DaemonLimits
from pimentobendd._internal.fleet.proofs import FleetProofs
from pimentobendd._internal.fleet.proofs import ProofPorts
from pimentobendd._internal.fleet.settings import FleetSettings
from pimentobendd._internal.fleet.settings_file import SettingsFile
from pimentobendd._internal.fleet.stop_plan import StopPlan
from pimentobendd._internal.fleet.stop_plan import plan_stop
from pimentobendd._internal.fleet.tables import FleetTables
from pimentobendd._internal.fleet.token_control import TokenControl
from pimentobendd._internal.interfaces.operators import format_dump
from pimentobendd._internal.keys import LOOPBACK_KEY
from pimentobendd._internal.signals import SignalActions
from pimentobendd._internal.signals import ignore_signals
from pimentobendd._internal.signals import install_handlers
from pimentobendd._internal.tables import TablesInForce

KIND_GOSSIP = "gossip"
SETTINGS_POLL_S = 1.0  # a changed file is reloaded even without SIGHUP
DRAIN_POLL_S = 0.05
SHOWN_CHARACTERS = 200  # of each value that another process sent, in a log line
FAREWELL_S = 0.1  # for the last answers to be written


class FleetDaemon:
    """Creates, starts and stops the parts of one process.

    Daemons learn of each other by gossip. Each one publishes a row that describes
    its process and its backend servers.
    """

    def __init__(
        self, file: SettingsFile, settings: FleetSettings, dialect: Dialect
    ) -> None:
        self._file = file
        self._settings = settings
        self._dialect = dialect
        self._log = get_log()
        self._clock = HubClock()
        self._process_id = secrets.randbits(62)
        self._counters = CounterTable()
        self._peer_processes: dict[str, int] = {}  # process id by address
        self._stopping: Any = eventlet.event.Event()
        self._is_stopping = False
        self._tables = TablesInForce()
        self._router = FrameRouter(self._report_frame_error)
        self._link = DatagramLink(
            settings.link,
            LOOPBACK_KEY,
            self._router,
            self._report_frame_error,
            self._count_sent,
        )
        self._own_row = self._create_own_row()
        self._gossip: FilterTask[GossipInput, GossipOutput] = FilterTask(
            "gossip",
            GossipNode(self._own_row, settings.seeds, self._process_id),
            CallOutlet(self._handle_gossip_output),
            self._clock,
            PeriodicMessage(TICK_S, GossipTick()),
        )
        self._spread = FleetTables(self._link, self._tables.put, self._clock)
        self._control = self._create_control()
        self._tokens = self._create_token_control()
        self._proofs = self._create_proofs()
        self._instance = self._create_instance()
        self._listeners = self._create_listeners()
        self._tables.subscribe(self._update_tables)
        self._register_frames()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
        install_handlers(
            SignalActions(self._request_stop, self._reload, self._print_dump)
        )
        self.start()
        self._stopping.wait()
        self.stop()
        ignore_signals()

    def start(self) -> None:
        """Start all tasks and listeners."""
        self._link.start()
        self._gossip.start()
        self._gossip.put(GossipTick())  # contact the seeds at once
        self._spread.task.start()
        if self._tokens is not None:
            self._tokens.start()
        if self._control is not None:
            self._control.start()
        if self._proofs is not None:
            self._proofs.update_peers(self._own_row, ())
            self._proofs.start()
        if self._instance is not None:
            self._instance.start()
        for listener in self._listeners:
            listener.start()
        eventlet.spawn_n(self._poll_settings)
        self._log.info(
            "started",
            roles=",".join(sorted(self._settings.roles)),
            process=f"{self._process_id:x}",
            seeds=",".join(self._settings.seeds),
        )

    def stop(self) -> None:
        """Decline new work, wait for the requests in flight, then close."""
        stop_began_at = self._clock.now()
        self._is_stopping = True
        self._log.info("stopping", grace_s=self._settings.grace_s)
        unready = () if self._instance is None else self._instance.unready_servers()
        self._update_own_row(self._own_row._replace(is_leaving=True, servers=unready))
        if self._instance is not None:
            plan = plan_stop(stop_began_at, self._settings.grace_s)
            self._instance.stop_accepting(plan)
            self._drain(self._instance, plan)
            self._instance.close()
        if self._control is not None:
            self._control.stop()
        if self._tokens is not None:
            self._tokens.stop()
        self._link.close()
        self._log.info("stopped", took_s=round(self._clock.now() - stop_began_at, 3))

    def dump(self) -> Mapping[str, object]:
        """Return the state of the process, one section per task."""
        tables = self._tables.current()
        state: dict[str, object] = {
            "instance": self._settings.instance,
            "process": f"{self._process_id:x}",
            "tables": {
                "version": str(Version(*tables[:2])),
                "label": tables.label,
                "routes": len(tables.routes),
                "pools": len(tables.pools),
            },
            "gossip": self._gossip.dump(),
            "spread": self._spread.task.dump(),
        }
        if self._control is not None:
            state.update(self._control.dump())
        if self._tokens is not None:
            state.update(self._tokens.dump())
        if self._proofs is not None:
            state.update(self._proofs.dump())
        if self._instance is not None:
            state.update(self._instance.dump())
        return state

    def _create_own_row(self) -> PeerRow:
        settings = self._settings
        return PeerRow(
            address=settings.link,
            version=RowVersion(time.time_ns() // 1_000_000, 0),
            process_id=self._process_id,
            data_centre=settings.data_centre,
            region=settings.region,
            is_control="control" in settings.roles,
            forward_port=settings.forward.port if settings.forward else 0,
            is_leaving=False,
            servers=(),
        )

    def _create_control(self) -> FleetControl | None:
        settings = self._settings
        if "control" not in settings.roles or settings.data_folder is None:
            return None
        return FleetControl(
            self._link,
            pathlib.Path(settings.data_folder),
            settings.seeds,
            settings.first_start,
            self._spread.task.put,
            self._clock,
            seed=self._process_id,
        )

    def _create_token_control(self) -> TokenControl | None:
        if self._control is None:
            return None
        tokens = TokenControl(
            self._link, self._tables, self._settings.limits, self._counters
        )
        self._control.subscribe_leader(tokens.update_leader)
        self._control.confirmations.subscribe(
            tokens.confirm, lambda: self._tables.has_limits
        )
        return tokens

    def _create_proofs(self) -> FleetProofs | None:
        """Return the tasks that prove the tables, if revoked keys are bounded."""
        settings = self._settings
        if settings.revoke_s is None:
            return None
        ports = ProofPorts(
            link=self._link,
            tables=self._tables,
            control=self._control,
            is_instance="instance" in settings.roles,
            counters=self._counters,
            on_newer=lambda newer: self._spread.handle_newer_version(*newer),
            clock=self._clock,
        )
        return FleetProofs(settings.revoke_s, ports)

    def _create_instance(self) -> FleetInstance | None:
        if "instance" not in self._settings.roles:
            return None
        ports = InstancePorts(
            dialect=self._dialect,
            process_id=self._process_id,
            link=self._link,
            tables=self._tables,
            own_row=lambda: self._own_row,
            on_servers_changed=self._update_servers,
            on_reports_changed=self._update_reports,
            on_unreachable=lambda each: self._gossip.put(PeerUnreachable(each)),
            forwarding=ForwardingLog(self._counters),
            requests=RequestLog(self._counters),
            on_connect=lambda: self._counters.count("server_connections"),
            on_refused=self._report_refused,
            limits=DaemonLimits(
                self._link, lambda: self._own_row, self._count_permission
            ),
            proof=None if self._proofs is None else self._proofs.proof,
            memory=MemoryOwner(self._settings.memory, self._counters),
        )
        return FleetInstance(self._settings, ports)

    def _create_listeners(self) -> list[HttpServer]:
        settings, dialect = self._settings, self._dialect
        listeners = []
        if settings.ready is not None:
            ready = dialect.create_ready(self._is_ready)
            listeners.append(HttpServer(settings.ready, ready))
        if settings.operators is not None and self._control is not None:
            operators = dialect.create_operators(self._control.leader_client)
            listeners.append(HttpServer(settings.operators, operators))
        if settings.metrics is not None:
            metrics = create_metrics_application(self._counters)
            listeners.append(HttpServer(settings.metrics, metrics))
        return listeners

    def _register_frames(self) -> None:
        self._router.register(KIND_GOSSIP, self._handle_gossip_frame)
        self._spread.register(self._router)
        if self._control is not None:
            self._control.register(self._router)
        if self._tokens is not None:
            self._tokens.register(self._router)
        if self._proofs is not None:
            self._proofs.register(self._router)
        if self._instance is not None:
            self._instance.register(self._router)

    def _is_ready(self) -> bool:
        if self._is_stopping or not self._tables.current().log_index:
            return False
        return self._proofs is None or self._proofs.is_ready()

    def _update_servers(self, servers: tuple[HostedServer, ...]) -> None:
        for server in servers:
            self._log.info("server-listed", **server._asdict())
        if self._is_stopping:
            # The next process learns from this row which servers have left.
            servers = tuple(each for each in servers if not each.is_ready)
        if servers != self._own_row.servers:
            self._update_own_row(self._own_row._replace(servers=servers))

    def _update_reports(self, reports: tuple[CrashReport, ...]) -> None:
        self._update_own_row(self._own_row._replace(crash_reports=reports))

    def _update_own_row(self, row: PeerRow) -> None:
        self._own_row = row
        self._gossip.put(OwnRowChanged(row))

    def _handle_gossip_frame(self, frame: Frame) -> None:
        message = decode_message(frame.payload)
        self._gossip.put(GossipReceived(frame.sender, message))

    def _handle_gossip_output(self, output: GossipOutput) -> None:
        match output:
            case SendGossip():
                payload = encode_message(output.message)
                self._link.send(output.recipient, KIND_GOSSIP, payload)
            case PeersChanged():
                self._update_peers(output.peers)
            case ReachabilityChanged():
                self._update_reachability(output)
            case NewerTablesSeen():
                self._spread.handle_newer_version(output.address, output.version)
            case EarlierRowSeen():
                if self._instance is not None:
                    self._instance.restore(output.row)

    def _update_peers(self, peers: tuple[PeerRow, ...]) -> None:
        processes = {row.address: row.process_id for row in peers}
        for address, process_id in processes.items():
            if self._peer_processes.get(address) != process_id:
                process = f"{process_id:x}"
                self._log.info("peer-joined", peer=address, process=process)
        for address in self._peer_processes.keys() - processes.keys():
            self._log.info("peer-forgotten", peer=address)
        self._peer_processes = processes
        if self._control is not None:
            self._control.update_peers(peers)
            self._spread.update_peers(self._own_row, peers)
        if self._proofs is not None:
            self._proofs.update_peers(self._own_row, peers)
        if self._instance is not None:
            self._instance.update_peers(peers)

    def _update_reachability(self, output: ReachabilityChanged) -> None:
        event = "peer-found" if output.is_reachable else "peer-lost"
        self._counters.count(event.replace("-", "_"))
        self._log.info(event, peer=output.address)
        if self._instance is not None:
            self._instance.bid_collector.update_reachability(
                output.address, is_reachable=output.is_reachable
            )

    def _update_tables(self, tables: Tables) -> None:
        version = Version(*tables[:2])
        self._gossip.put(TablesChanged(version))
        self._log.info("tables-in-force", version=str(version), label=tables.label)

    def _count_sent(self, kind: str, size_bytes: int) -> None:
        self._counters.count("sent_frames", kind)
        self._counters.count("sent_frame_bytes", kind, size_bytes)

    def _count_permission(self, verdict: Verdict) -> None:
        self._counters.count("limit_permissions", verdict.value)

    def _report_frame_error(self, error: PimentobendError) -> None:
        self._counters.count("frames_refused")
        self._log.warning("frame-refused", error=str(error))

    def _report_refused(self, server_id: str, faults: tuple[str, ...]) -> None:
        self._counters.count("announcements_refused")
        self._log.warning(
            "announcement-refused",
            server=server_id[:SHOWN_CHARACTERS],
            faults="; ".join(faults)[:SHOWN_CHARACTERS],
        )

    def _poll_settings(self) -> None:
        """Reload the settings whenever their file has changed."""
        while True:
            eventlet.sleep(SETTINGS_POLL_S)
            if self._file.has_changed():
                self._reload()

    def _reload(self) -> None:
        try:
            settings = self._file.load()
        except SettingsError as error:
            self._log.error("reload-refused", error=str(error))
            return
        if settings.seeds != self._settings.seeds:
            self._gossip.put(SeedsChanged(settings.seeds))
        self._settings = settings
        self._log.info("reloaded", seeds=",".join(settings.seeds))

    def _request_stop(self) -> None:
        if not self._stopping.ready():
            self._stopping.send(None)

    def _print_dump(self) -> None:
        LossyStream(sys.stdout).write(format_dump(self.dump()) + "\n")

    def _drain(self, instance: FleetInstance, plan: StopPlan) -> None:
        """Serve until probes have noticed the stop and no request is in flight.

        What is left at the times of the plan is ended with an answer that says
        whether it may have run.
        """
        while self._clock.now() < plan.refuse_at:
            has_noticed = self._clock.now() >= plan.noticed_at
            if has_noticed and not instance.in_flight:
                break
            eventlet.sleep(DRAIN_POLL_S)
        # Of the requests that came since the last look, none may start.
        instance.refuse_waiting()
        eventlet.sleep(FAREWELL_S)
        self._wait_until_idle(instance, plan.end_requests_at)
        if not instance.in_flight:
            return
        self._log.error("shutdown-cut", in_flight=instance.in_flight)
        instance.give_up_requests()
        self._wait_until_idle(instance, plan.end_attempts_at)
        instance.give_up_attempts()
        self._wait_until_idle(instance, self._clock.now() + FAREWELL_S)

    def _wait_until_idle(self, instance: FleetInstance, until: float) -> None:
        while instance.in_flight and (left_s := until - self._clock.now()) > 0:
            eventlet.sleep(min(DRAIN_POLL_S, left_s))
