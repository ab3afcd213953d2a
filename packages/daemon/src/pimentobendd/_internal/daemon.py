"""Run the roles of one process until a stop signal."""

import sys
import time
from collections.abc import Mapping
from typing import Any

import eventlet
import eventlet.event

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.ledger import KIND_REPLY
from pimentobend_adapters._internal.ledger import LedgerTasks
from pimentobend_adapters._internal.links.link import Link
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.logs import LossyStream
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.metrics import Metrics
from pimentobend_adapters._internal.metrics import RequestMetrics
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_core._internal.exceptions import PimentobendError
from pimentobend_core._internal.ledger.client import LedgerClient
from pimentobend_core._internal.models.events import RequestEnded
from pimentobendd._internal.control.role import ControlRole
from pimentobendd._internal.control.spread import KINDS as SPREAD_KINDS
from pimentobendd._internal.control.spread import TablesSpread
from pimentobendd._internal.control_port import Version
from pimentobendd._internal.evidence import KIND_GRANTS
from pimentobendd._internal.instance_role import InstanceRole
from pimentobendd._internal.instance_role import SharedParts
from pimentobendd._internal.interfaces.operators import OperatorsInterface
from pimentobendd._internal.interfaces.operators import OperatorsPorts
from pimentobendd._internal.interfaces.operators import QueryHandler
from pimentobendd._internal.interfaces.operators import format_dump
from pimentobendd._internal.keys import read_key
from pimentobendd._internal.keys import read_token
from pimentobendd._internal.ledger_role import LEDGER_GROUPS
from pimentobendd._internal.membership_role import KIND_SPREAD
from pimentobendd._internal.membership_role import MembershipRole
from pimentobendd._internal.sections import Sections
from pimentobendd._internal.settings import Settings
from pimentobendd._internal.signals import SignalActions
from pimentobendd._internal.signals import ignore_signals
from pimentobendd._internal.signals import install_handlers
from pimentobendd._internal.tables import TablesInForce

DRAIN_POLL_S = 0.05
# Requests still in flight this long before the end of the grace time are ended, so that
# their callers get answers.
END_MARGIN_S = 0.4
# Longest wait at shutdown until the ledger has recorded the outcomes of claims.
CLAIM_TIMEOUT_S = 5.0


class Daemon:
    """Creates, starts and stops the parts of one process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._log = get_log()
        self._clock = HubClock()
        self._stopping: Any = eventlet.event.Event()
        self._metrics = Metrics(settings.statsd, settings.instance)
        self._tables = TablesInForce()
        self._router = FrameRouter(self._report_frame_error)
        self._link = Link(
            str(settings.link),
            read_key(settings.link_key_file),
            self._router,
            self._report_frame_error,
        )
        self._spread = TablesSpread(
            self._link, self._sources(), self._tables.put, self._clock
        )
        self._ledger = self._create_ledger()
        self._membership = MembershipRole(
            self._link,
            time.time_ns(),
            self._sources(),
            "control" in settings.roles,
            self._clock,
            self._report_frame_error,
        )
        self._tables.subscribe(self._membership.update_tables)
        self._control = self._create_control()
        self._instance = self._create_instance()
        self._sections = Sections(
            settings,
            self._tables.current,
            self._spread,
            self._ledger,
            self._membership,
            self._control,
            self._instance,
        )
        self._register_frames()
        self._operators = HttpServer(settings.operators, self._create_operators())
        self._tables.subscribe(
            lambda tables: self._log.info(
                "tables-in-force", version=str(Version(*tables[:2]))
            )
        )

    def start(self) -> None:
        """Start all tasks and listeners."""
        self._link.start()
        self._spread.task.start()
        self._ledger.task.start()
        self._membership.start()
        if self._control is not None:
            self._control.start()
        if self._instance is not None:
            self._instance.start()
        self._operators.start()
        self._log.info("started", roles=",".join(sorted(self._settings.roles)))

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in flight."""
        install_handlers(
            SignalActions(self._request_stop, self._report_reload, self._print_dump)
        )
        self.start()
        self._stopping.wait()
        self.stop()
        ignore_signals()

    def stop(self) -> None:
        """Close the listeners, wait for the requests in flight, then stop the tasks."""
        if self._instance is not None:
            self._instance.stop_listening()
            self._wait_for_requests(self._instance)
            self._wait_for_claims()
        self._operators.close()
        if self._control is not None:
            self._control.stop()
        self._membership.stop()
        self._link.close()
        self._log.info("stopped")

    def _sources(self) -> tuple[str, ...]:
        """Return the daemons that provide the tables, relays first."""
        settings = self._settings
        sources = (*settings.relays, *settings.control)
        return tuple(source for source in sources if source != self._link.address)

    def _register_frames(self) -> None:
        for kind in SPREAD_KINDS:
            self._router.register(kind, self._spread.handle_frame)
        self._router.register(KIND_SPREAD, self._membership.handle_frame)
        self._router.register(KIND_REPLY, self._ledger.handle_frame)
        if self._control is not None:
            self._control.register(self._router)
        if self._instance is not None:
            self._router.register(KIND_GRANTS, self._instance.evidence.handle_frame)

    def _create_ledger(self) -> LedgerTasks:
        settings = self._settings
        groups = (settings.control,) * LEDGER_GROUPS
        client = LedgerClient(settings.instance, time.time_ns(), groups)
        return LedgerTasks(client, self._link, self._clock)

    def _create_control(self) -> ControlRole | None:
        settings = self._settings
        if "control" not in settings.roles or settings.data_folder is None:
            return None
        control = ControlRole(
            self._link,
            settings.control,
            settings.data_folder,
            self._spread.task.put,
            self._clock,
            seed=time.time_ns(),
        )
        self._tables.subscribe(control.floor.update_tables)
        self._membership.subscribe(control.floor.update_servers)
        control.subscribe_to_leader(self._membership.update_leader)
        return control

    def _create_instance(self) -> InstanceRole | None:
        if "instance" not in self._settings.roles:
            return None
        return InstanceRole(
            settings=self._settings,
            parts=SharedParts(
                self._link, self._membership, self._metrics, time.time_ns()
            ),
            tables=self._tables,
            ledger=self._ledger,
            events=CallOutlet(self._record),
        )

    def _create_operators(self) -> OperatorsInterface:
        control = self._control
        ports = OperatorsPorts(
            control=control.changes if control else None,
            tables=self._tables.current,
            get_handlers=self._sections.by_path,
            post_handlers=self._post_handlers(),
        )
        return OperatorsInterface(ports, read_token(self._settings.operator_token_file))

    def _post_handlers(self) -> Mapping[str, QueryHandler]:
        handlers: dict[str, QueryHandler] = {}
        if self._control is not None:
            handlers.update(self._control.members.handlers)
        if self._instance is not None:
            handlers["/v1/drain"] = self._instance.drain
        return handlers

    def _report_frame_error(self, error: PimentobendError) -> None:
        self._metrics.count("link.refused")
        self._log.warning("frame-refused", error=str(error))

    def _record(self, event: RequestEnded) -> None:
        RequestMetrics(self._metrics).put(event)
        self._log.info(
            "request",
            request_id=event.request_id,
            organisation=event.organisation,
            method=event.method,
            path=event.path,
            status=event.status,
            ran=event.ran.value,
            reason=event.reason.value if event.reason else None,
            server=event.server_id,
            duration_ms=round(event.duration_s * 1000, 1),
        )

    def _request_stop(self) -> None:
        if not self._stopping.ready():
            self._stopping.send(None)

    def _report_reload(self) -> None:
        self._log.warning(
            "reload-ignored", hint="restart the daemon to apply changed settings"
        )

    def _print_dump(self) -> None:
        LossyStream(sys.stdout).write(format_dump(self._sections.dump()) + "\n")

    def _wait_for_claims(self) -> None:
        """Wait up to ``CLAIM_TIMEOUT_S`` until the outcomes of claims are recorded."""
        deadline = self._clock.now() + CLAIM_TIMEOUT_S
        while self._ledger.task.dump().get("pending"):
            if self._clock.now() >= deadline:
                self._log.error("shutdown-unsettled")
                return
            eventlet.sleep(DRAIN_POLL_S)

    def _wait_for_requests(self, instance: InstanceRole) -> None:
        """Wait for the requests in flight; end them shortly before the grace does.

        What has no server in its second half is not begun unless it must end in time.
        """
        grace_s = self._settings.shutdown_grace_s
        deadline = self._clock.now() + grace_s
        self._await_idle(instance, deadline - grace_s / 2)
        instance.refuse_later_than(deadline - END_MARGIN_S)
        self._await_idle(instance, deadline - END_MARGIN_S)
        if instance.front.in_flight:
            self._log.warning("shutdown-ending", in_flight=instance.front.in_flight)
            instance.end_requests()
            self._await_idle(instance, deadline)
        if instance.front.in_flight:
            self._log.error(
                "shutdown-cut", in_flight=instance.front.in_flight, grace_s=grace_s
            )

    def _await_idle(self, instance: InstanceRole, deadline: float) -> None:
        while instance.front.in_flight and self._clock.now() < deadline:
            eventlet.sleep(DRAIN_POLL_S)
