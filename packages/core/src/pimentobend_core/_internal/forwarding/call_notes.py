"""Take over what a host's daemon reports of the calls that local runs make."""

from collections.abc import Mapping

from pimentobend_core._internal.forwarding.hosted_server import AttemptRecord
from pimentobend_core._internal.forwarding.hosted_server import HostedServer
from pimentobend_core._internal.forwarding.liveness import Liveness
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import CallReturned


class CallWaits:
    """The runs that wait for a call, whose age is no evidence against their server.

    Of the runs that may have made a call, the one that has run longest is taken.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, list[str]] = {}  # attempt ids by the call's request id

    def note(
        self,
        message: CallMade | CallReturned,
        records: Mapping[str, AttemptRecord],
        servers: Mapping[str, HostedServer],
        now: float,
    ) -> None:
        """Record at ``now`` (seconds) that a call begins or ended."""

        def find(attempt_id: str) -> Liveness | None:
            record = records.get(attempt_id)
            server = servers.get(record.submit.server_id) if record else None
            return server.liveness if server else None

        if isinstance(message, CallReturned):
            for attempt_id in self._waiting.pop(message.request_id, ()):
                liveness = find(attempt_id)
                if liveness is not None:
                    liveness.resume(attempt_id, now)
            return
        chosen = self._waiting.setdefault(message.request_id, [])
        for attempt_id in message.runs:
            liveness = find(attempt_id)
            if liveness is None:
                continue
            if message.is_run_known or not liveness.is_paused(attempt_id):
                liveness.pause(attempt_id)
                chosen.append(attempt_id)
            if chosen and not message.is_run_known:
                return
