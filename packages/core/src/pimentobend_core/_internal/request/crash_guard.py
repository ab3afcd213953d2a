"""Refuse requests that are blocked because they crash servers."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.crashes.fingerprint import find_fingerprint
from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import BlocksPort
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.request.stages import Routed


class CrashGuardFilter(Filter[Routed, Routed]):
    """Finds the fingerprint of each request and refuses the blocked ones.

    With ``uses_route_host``, the host counts only where the route names one, as callers
    may name each instance by an address of its own.
    """

    def __init__(
        self, blocks: BlocksPort, clock: ClockPort, *, uses_route_host: bool = False
    ) -> None:
        self._blocks = blocks
        self._clock = clock
        self._uses_route_host = uses_route_host

    def apply(self, value: Routed) -> Result[Routed, Refusal]:
        """Return the request with its fingerprint, or a refusal if it is blocked."""
        head = value.head
        if self._uses_route_host:
            head = head._replace(host=value.route.host)
        fingerprint = find_fingerprint(head, value.body)
        block = self._blocks.find_block(fingerprint) if fingerprint else None
        if block is None:
            return Success(value._replace(fingerprint=fingerprint))
        self._blocks.note_refused(value.head.request_id, block)
        return Failure(refuse_blocked(block, self._clock.now()))


def refuse_blocked(block: Block, now: float) -> Refusal:
    """Return the refusal of a request that did not run because of its block."""
    return Refusal(
        status=503,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.CRASHES_SERVERS,
        detail=(
            f"requests with the fingerprint {block.fingerprint} crashed servers"
            f" {block.crashes} times"
        ),
        retry_after_s=round(max(0.0, block.until - now), 2),
    )
