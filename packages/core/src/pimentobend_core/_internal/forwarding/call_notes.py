"""Take over what a host's daemon reports of the calls that local runs make."""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.forwarding.calls_behind import CallsBehind
from pimentobend_core._internal.forwarding.hosted_server import AttemptRecord
from pimentobend_core._internal.forwarding.hosted_server import HostedServer
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import CallNote
from pimentobend_core._internal.forwarding.messages import CallReturned


class HostView(NamedTuple):
    """What a host has: its attempts, its servers and what their runs call."""

    records: Mapping[str, AttemptRecord]
    servers: Mapping[str, HostedServer]
    calls: CallsBehind


def note_call(message: CallNote, host: HostView, now: float) -> None:
    """Record a call, its end or the room for it; a run that waits does not hang."""
    if not isinstance(message, CallReturned):
        host.calls.note(message, now)
    if not isinstance(message, CallMade | CallReturned):
        return
    for attempt_id in message.runs:
        record = host.records.get(attempt_id)
        server = host.servers.get(record.submit.server_id) if record else None
        if server is None:
            continue
        if isinstance(message, CallMade):
            server.liveness.pause(attempt_id)
        else:
            server.liveness.resume(attempt_id, now)
