"""Run a stand-in backend server by hand."""

from typing import Any

import eventlet
import eventlet.event
from absl import flags

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.demo.stand_in import Behaviour
from pimentobend._internal.demo.stand_in import Fine
from pimentobend._internal.demo.stand_in import HalfAlive
from pimentobend._internal.demo.stand_in import StandInOptions
from pimentobend._internal.demo.stand_in import StandInServer
from pimentobend._internal.status import Status
from pimentobend_adapters._internal.http.server import Address

MS_PER_S = 1000
DEFAULT_SERVICE_MS = 10
DEFAULT_SLOTS = 6
DEFAULT_DAEMON = "127.0.0.1:8081"


class StandInCommand(Command):
    """Serve one service with a chosen behaviour until interrupted."""

    usage = "pimentobend stand-in --service=NAME [options] SERVER"
    summary = "run a stand-in backend server"
    arguments_least = 1
    arguments_most = 1

    def define_options(self, values: Any) -> None:
        """Define the server's place, size and behaviour."""
        text = flags.DEFINE_string
        whole = flags.DEFINE_integer
        text("service", "schedule", "service to announce", flag_values=values)
        text("daemon", DEFAULT_DAEMON, "the daemon to announce to", flag_values=values)
        text("data_centre", "nord-a", "data centre of the server", flag_values=values)
        text("region", "nord", "region of the server", flag_values=values)
        whole("port", 0, "port to serve on; 0 takes a free one", flag_values=values)
        whole("slots", DEFAULT_SLOTS, "requests at once", flag_values=values)
        whole(
            "service_ms", DEFAULT_SERVICE_MS, "time a request takes", flag_values=values
        )
        flags.DEFINE_boolean(
            "half_alive", False, "fail real work, answer probes", flag_values=values
        )

    def execute(self, context: Context) -> Status:
        """Serve until interrupted."""
        options = context.options
        host, _, port = options.daemon.rpartition(":")
        server = StandInServer(
            StandInOptions(
                server_id=context.arguments[0],
                service=options.service,
                slots=options.slots,
                data_centre=options.data_centre,
                region=options.region,
                daemon=Address(host, int(port)),
            ),
            Address("127.0.0.1", options.port),
            _make_behaviour(options),
        )
        server.start()
        print(f"serving on {server.address}", flush=True)
        try:
            eventlet.event.Event().wait()
        except KeyboardInterrupt:
            server.stop()
        return Status.SUCCESS


def _make_behaviour(options: Any) -> Behaviour:
    if options.half_alive:
        return HalfAlive()
    return Fine(options.service_ms / MS_PER_S)
