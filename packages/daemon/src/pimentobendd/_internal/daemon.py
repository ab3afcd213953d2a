"""Join the roles of one process and run it until it is told to stop."""

import signal
import sys
import time
from collections.abc import Mapping
from typing import Any
from typing import cast

import eventlet
import eventlet.event

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.link import Link
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.metrics import Metrics
from pimentobend_adapters._internal.metrics import RequestMetrics
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_core._internal.models.events import RequestEnded
from pimentobendd._internal.control.role import ControlRole
from pimentobendd._internal.control.spread import KINDS as SPREAD_KINDS
from pimentobendd._internal.control.spread import TablesSpread
from pimentobendd._internal.control_port import Version
from pimentobendd._internal.instance_role import InstanceRole
from pimentobendd._internal.interfaces.operators import OperatorsInterface
from pimentobendd._internal.interfaces.operators import OperatorsPorts
from pimentobendd._internal.interfaces.operators import Query
from pimentobendd._internal.interfaces.operators import dump_text
from pimentobendd._internal.interfaces.replies import Reply
from pimentobendd._internal.keys import read_key
from pimentobendd._internal.keys import read_token
from pimentobendd._internal.local_ledger import LocalLedger
from pimentobendd._internal.settings import Settings
from pimentobendd._internal.tables import TablesInForce

DRAIN_POLL_S = 0.05
SIGNALS_TO_STOP = (signal.SIGTERM, signal.SIGINT)


class Daemon:
    """Own the parts of one process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._log = get_log()
        self._clock = HubClock()
        self._stopping: Any = eventlet.event.Event()
        self._metrics = Metrics(settings.statsd, settings.instance)
        self._tables = TablesInForce()
        self._link = Link(
            str(settings.link),
            read_key(settings.link_key_file),
            CallOutlet(self._take_frame),
            self._report_frame_fault,
        )
        self._spread = TablesSpread(
            self._link, self._sources(), self._tables.put, self._clock
        )
        self._control = self._create_control()
        self._instance = self._create_instance()
        self._operators = HttpServer(settings.operators, self._create_operators())
        self._tables.follow(
            lambda tables: self._log.info(
                "tables-in-force", version=str(Version(*tables[:2]))
            )
        )

    def start(self) -> None:
        """Start all tasks and listen."""
        self._link.start()
        self._spread.task.start()
        if self._control is not None:
            self._control.start()
        if self._instance is not None:
            self._instance.start()
        self._operators.start()
        self._log.info("started", roles=",".join(sorted(self._settings.roles)))

    def run(self) -> None:
        """Serve until a signal to stop, then finish what is in flight."""
        for number in SIGNALS_TO_STOP:
            signal.signal(number, lambda *_: self._request_stop())
        signal.signal(signal.SIGUSR1, lambda *_: self._print_dump())
        self.start()
        self._stopping.wait()
        self.stop()

    def stop(self) -> None:
        """Take no new work, wait for requests in flight, then close."""
        if self._instance is not None:
            self._instance.stop_listening()
            self._finish_requests(self._instance)
        self._operators.close()
        if self._control is not None:
            self._control.stop()
        self._link.close()
        self._log.info("stopped")

    def dump(self) -> Mapping[str, object]:
        """Return the state of the process, a section for each task."""
        current = self._tables.current()
        state: dict[str, object] = {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "region": self._settings.region,
            "roles": sorted(self._settings.roles),
            "tables": {
                "version": str(Version(*current[:2])),
                "routes": len(current.routes),
                "pools": len(current.pools),
            },
            "link": {
                "bytes_sent": self._link.bytes_sent,
                "bytes_received": self._link.bytes_received,
                "dropped_frames": self._link.dropped_frames,
            },
        }
        state["spread"] = self._spread.task.dump()
        if self._control is not None:
            state.update(self._control.dump())
        if self._instance is not None:
            state.update(self._instance.dump())
        return state

    def _sources(self) -> tuple[str, ...]:
        """Return where the tables come from, relays first."""
        settings = self._settings
        sources = (*settings.relays, *settings.control)
        return tuple(each for each in sources if each != self._link.address)

    def _create_control(self) -> ControlRole | None:
        settings = self._settings
        if "control" not in settings.roles or settings.data_folder is None:
            return None
        return ControlRole(
            self._link,
            settings.control,
            settings.data_folder,
            self._spread.task.put,
            self._clock,
            seed=time.time_ns(),
        )

    def _create_instance(self) -> InstanceRole | None:
        if "instance" not in self._settings.roles:
            return None
        return InstanceRole(
            settings=self._settings,
            link=self._link,
            tables=self._tables,
            ledger=LocalLedger(),
            metrics=self._metrics,
            events=CallOutlet(self._record),
            epoch=time.time_ns(),
        )

    def _create_operators(self) -> OperatorsInterface:
        control = self._control
        ports = OperatorsPorts(
            control=control.changes if control else None,
            tables=self._tables.current,
            sections={
                "/v1/status": self._status,
                "/v1/dump": self._give_dump,
                "/v1/servers": self._give_servers,
                "/v1/ejections": self._give_ejections,
            },
            actions=control.members.actions if control else {},
        )
        return OperatorsInterface(ports, read_token(self._settings.operator_token_file))

    def _status(self, query: Query) -> Reply:
        current = self._tables.current()
        state: dict[str, object] = {
            "instance": self._settings.instance,
            "roles": sorted(self._settings.roles),
            "version": str(Version(*current[:2])),
            "followers": self._spread.task.dump().get("children", {}),
        }
        if self._control is not None:
            state["control"] = self._control.status()
        return Reply(200, state)

    def _give_dump(self, query: Query) -> Reply:
        return Reply(200, self.dump())

    def _give_servers(self, query: Query) -> Reply:
        rows: list[object] = []
        if self._instance is not None:
            for servers in self._instance.pools.dump().values():
                rows.extend(cast(list[object], servers))
        return Reply(200, {"servers": rows})

    def _give_ejections(self, query: Query) -> Reply:
        rows = [] if self._instance is None else self._instance.ejections()
        return Reply(200, {"ejections": rows})

    def _take_frame(self, frame: Frame) -> None:
        try:
            if frame.kind in SPREAD_KINDS:
                self._spread.take(frame)
            elif self._control is not None and frame.kind in self._control.kinds:
                self._control.take(frame)
        except FrameError as error:
            self._report_frame_fault(error)

    def _report_frame_fault(self, error: FrameError) -> None:
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

    def _print_dump(self) -> None:
        eventlet.spawn_n(
            lambda: print(dump_text(self.dump()), file=sys.stdout, flush=True)
        )

    def _finish_requests(self, instance: InstanceRole) -> None:
        grace_s = self._settings.shutdown_grace_s
        until = self._clock.now() + grace_s
        while instance.front.in_flight and self._clock.now() < until:
            eventlet.sleep(DRAIN_POLL_S)
        if instance.front.in_flight:
            self._log.error(
                "shutdown-cut", in_flight=instance.front.in_flight, grace_s=grace_s
            )
