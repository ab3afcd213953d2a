"""The command ``stand-in``: run a stand-in backend server."""

from typing import Any

import eventlet
import eventlet.event
from absl import flags

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.demo.stand_in import Behaviour
from pimentobend._internal.demo.stand_in import Crashing
from pimentobend._internal.demo.stand_in import HalfAlive
from pimentobend._internal.demo.stand_in import Healthy
from pimentobend._internal.demo.stand_in import StandInOptions
from pimentobend._internal.demo.stand_in import StandInServer
from pimentobend._internal.exceptions import UsageError
from pimentobend._internal.status import Status
from pimentobend_adapters._internal.http.server import Address

MS_PER_S = 1000
DEFAULT_SERVICE_MS = 10
DEFAULT_SLOTS = 6
DEFAULT_DOWN_MS = 2000
DEFAULT_DAEMON = "127.0.0.1:8081"


class StandInCommand(Command):
    """Runs a stand-in server of one service until interrupted."""

    usage = "pimentobend stand-in --service=NAME [options] SERVER"
    summary = "run a stand-in backend server"
    min_arguments = 1
    max_arguments = 1

    def define_options(self, values: Any) -> None:
        """Define flags for the server's service, location, slots and behaviour."""
        string = flags.DEFINE_string
        integer = flags.DEFINE_integer
        string("service", "schedule", "service to announce", flag_values=values)
        string(
            "daemon",
            DEFAULT_DAEMON,
            "HOST:PORT of the daemon's interface for servers",
            flag_values=values,
        )
        string("data_centre", "nord-a", "data centre of the server", flag_values=values)
        string("region", "nord", "region of the server", flag_values=values)
        integer("port", 0, "port to listen on; 0 picks a free one", flag_values=values)
        integer("slots", DEFAULT_SLOTS, "requests served at a time", flag_values=values)
        integer(
            "service_ms",
            DEFAULT_SERVICE_MS,
            "service time of a request",
            flag_values=values,
        )
        flags.DEFINE_boolean(
            "half_alive",
            False,
            "fail all requests but answer probes",
            flag_values=values,
        )
        string("crash_on", None, "crash on requests of this path", flag_values=values)
        integer(
            "crash_down_ms",
            DEFAULT_DOWN_MS,
            "time after a crash until the server is back",
            flag_values=values,
        )

    def execute(self, context: Context) -> Status:
        """Serve until interrupted."""
        options = context.options
        behaviour = make_behaviour(options)
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
            behaviour,
            lambda path: print(f"crashed on {path}", flush=True),
        )
        server.start()
        print(f"serving on {server.address}", flush=True)
        try:
            eventlet.event.Event().wait()
        except KeyboardInterrupt:
            server.stop()
        return Status.SUCCESS


def make_behaviour(options: Any) -> Behaviour:
    """Return the behaviour that the flags describe; raise UsageError if they clash."""
    healthy = Healthy(options.service_ms / MS_PER_S)
    if options.crash_on is None:
        return HalfAlive() if options.half_alive else healthy
    if not options.crash_on.startswith("/"):
        raise UsageError(
            f"--crash_on={options.crash_on!r} is not a path",
            hint="give the path of a request, such as --crash_on=/look/poison",
        )
    if options.crash_down_ms <= 0:
        raise UsageError(
            f"--crash_down_ms={options.crash_down_ms} is not above 0",
            hint="give the milliseconds until the server is back",
        )
    if options.half_alive:
        raise UsageError(
            "--half_alive and --crash_on exclude each other",
            hint="a half-alive server runs no request that could crash it",
        )
    return Crashing(options.crash_on, options.crash_down_ms / MS_PER_S, healthy)
