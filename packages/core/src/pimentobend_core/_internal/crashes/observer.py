"""Observe the crashes of servers through a daemon's own attempts on them.

Such a daemon sees only its own requests at a server, so it can't tell whether one ran
alone there.
"""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import RunSucceeded
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.crashes.observer_messages import CrashSeen
from pimentobend_core._internal.crashes.observer_messages import EndWeighed
from pimentobend_core._internal.crashes.observer_messages import ObserverInput
from pimentobend_core._internal.crashes.observer_messages import ObserverOutput
from pimentobend_core._internal.crashes.observer_messages import ReadyServers
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.crashes.observer_messages import RunEnded
from pimentobend_core._internal.crashes.observer_messages import RunOutcome
from pimentobend_core._internal.crashes.observer_messages import RunStarted
from pimentobend_core._internal.crashes.suspects import BLOCK_WEIGHT
from pimentobend_core._internal.crashes.suspects import CrashSuspects
from pimentobend_core._internal.pipes import StatefulFilter

# Runs that one crash cuts off are noticed within this time of each other.
SAME_CRASH_S = 1.0
CRASHES_KEPT_S = 600.0  # how long the lives of crashed servers are told apart
RUNS_KEPT_S = 600.0  # runs whose end was never reported must not accumulate


class _LastCrash(NamedTuple):
    """The last crash of a server, the ``number``-th of its incarnation."""

    incarnation: int
    number: int
    at: float


class _Running(NamedTuple):
    """A run in flight, and when it started."""

    run: Run
    request: str
    started_at: float


class CrashObserver(StatefulFilter[ObserverInput, ObserverOutput]):
    """Turns the ends of runs into crashes, and weighs them by ``CrashSuspects``.

    The id of a crash names the server's incarnation, so that a crash counts once for a
    request that ran there through several daemons.
    """

    def __init__(self, observer: str) -> None:
        self._suspects = CrashSuspects(observer)
        self._running: dict[int, _Running] = {}
        self._ready: dict[str, frozenset[str]] = {}
        self._crashes: dict[str, _LastCrash] = {}
        self._blamed: dict[
            str, str
        ] = {}  # request by fingerprint, of crashes seen here

    def handle(self, message: ObserverInput, now: float) -> tuple[ObserverOutput, ...]:
        """Process one message and return what changed."""
        match message:
            case RunStarted():
                self._running[message.run.ticket] = _Running(*message, now)
                return ()
            case RunEnded():
                outputs = self._handle_end(message, now)
                self._running.pop(message.run.ticket, None)
                return outputs
            case ReadyServers():
                self._ready[message.pool] = message.server_ids
                return ()
            case CrashTick():
                outputs = self._suspects.handle(message, now)
                self._forget(now)
                return outputs
            case _:
                return self._suspects.handle(message, now)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            **self._suspects.dump(),
            "running": len(self._running),
            "requests": dict(sorted(self._blamed.items())),
        }

    def _handle_end(self, ended: RunEnded, now: float) -> tuple[ObserverOutput, ...]:
        match ended.outcome:
            case RunOutcome.SUCCEEDED:
                return self._clear(ended.run.fingerprint, now)
            case RunOutcome.SERVER_ENDED:
                reply = EndWeighed(ended.run.ticket)
                return (*self._record_crash(ended.run, now), reply)
            case RunOutcome.OTHER:
                return ()

    def _clear(self, fingerprint: str, now: float) -> tuple[CrashOutput, ...]:
        """Clear a request that this daemon blamed, or that is close to a block.

        If every daemon that answers a common request did, each crash beside it would
        make all of them publish.
        """
        is_close = self._suspects.weight_of(fingerprint) >= BLOCK_WEIGHT - 1
        if fingerprint not in self._blamed and not is_close:
            return ()
        return self._suspects.handle(RunSucceeded(fingerprint), now)

    def _record_crash(self, run: Run, now: float) -> tuple[ObserverOutput, ...]:
        server_id, incarnation = run.server.server_id, run.server.incarnation
        if not any(server_id in ready for ready in self._ready.values()):
            return ()
        last = self._crashes.get(server_id)
        if last is not None and now - last.at < SAME_CRASH_S:
            return ()
        is_again = last is not None and last.incarnation == incarnation
        number = last.number + 1 if last is not None and is_again else 1
        self._crashes[server_id] = _LastCrash(incarnation, number, now)
        crash_id = f"{server_id}.{incarnation}-{number}"
        cut = [
            each
            for each in self._running.values()
            if each.run.server.server_id == server_id
        ]
        fingerprints = tuple(dict.fromkeys(each.run.fingerprint for each in cut))
        blamed = tuple(
            each for each in fingerprints if not self._is_cleared(each, crash_id, now)
        )
        crashed = ServerCrashed(server_id, blamed, crash_id)
        outputs = self._suspects.handle(crashed, now)
        suspects = tuple(
            each for each in fingerprints if self._suspects.is_suspect(each)
        )
        requests = {each.run.fingerprint: each.request for each in cut}
        self._blamed.update({each: requests[each] for each in suspects})
        seen = CrashSeen(
            crash_id,
            server_id,
            len(cut),
            suspects,
            tuple(requests[each] for each in suspects),
        )
        return (seen, *outputs)

    def _is_cleared(self, fingerprint: str, crash_id: str, now: float) -> bool:
        """Return whether another daemon saw a crash earlier and a request survive."""
        reports = self._suspects.reports_on(fingerprint, now)
        return any(each.crash_id == crash_id and not each.weight for each in reports)

    def _forget(self, now: float) -> None:
        self._running = {
            ticket: running
            for ticket, running in self._running.items()
            if now - running.started_at < RUNS_KEPT_S
        }
        self._crashes = {
            server_id: crash
            for server_id, crash in self._crashes.items()
            if now - crash.at < CRASHES_KEPT_S
        }
        self._blamed = {
            fingerprint: request
            for fingerprint, request in self._blamed.items()
            if self._suspects.is_suspect(fingerprint)
        }
