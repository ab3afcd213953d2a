"""Handle the signals of a daemon."""

import signal
from collections.abc import Callable
from typing import NamedTuple

import eventlet


class SignalActions(NamedTuple):
    """What a daemon does on its signals."""

    stop: Callable[[], None]  # on SIGTERM and SIGINT
    reload: Callable[[], None]  # on SIGHUP
    dump: Callable[[], None]  # on SIGUSR1


def install_handlers(actions: SignalActions) -> None:
    """Run the action of each signal as a task of its own."""
    _install(signal.SIGTERM, actions.stop)
    _install(signal.SIGINT, actions.stop)
    _install(signal.SIGHUP, actions.reload)
    _install(signal.SIGUSR1, actions.dump)


def ignore_signals() -> None:
    """Let no signal change how the process ends.

    The interpreter restores default actions as it shuts down, but keeps ``SIG_IGN``.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)


def _install(number: signal.Signals, action: Callable[[], None]) -> None:
    # A handler may interrupt another one, so it only schedules the action.
    signal.signal(number, lambda *_: eventlet.spawn_n(action))
