"""Hold the blocks in force for the requests that this daemon receives."""

from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.forwarding.events import ForwardingEvent
from pimentobend_core._internal.forwarding.events import RequestBlocked
from pimentobend_core._internal.ports import BlocksPort
from pimentobend_core._internal.ports import ClockPort


class BlocksInForce(BlocksPort):
    """The blocks that the host last reported, by fingerprint."""

    def __init__(self, clock: ClockPort, events: Outlet[ForwardingEvent]) -> None:
        self._clock = clock
        self._events = events
        self._blocks: dict[str, Block] = {}

    def update(self, change: FingerprintBlocked | FingerprintReleased) -> None:
        """Add or remove a block."""
        if isinstance(change, FingerprintBlocked):
            self._blocks[change.block.fingerprint] = change.block
        else:
            self._blocks.pop(change.fingerprint, None)

    def find_block(self, fingerprint: str) -> Block | None:
        """Return the block of a request that is in force now, or None."""
        block = self._blocks.get(fingerprint)
        is_over = block is None or self._clock.now() >= block.until
        return None if is_over else block

    def note_refused(self, request_id: str, block: Block) -> None:
        """Emit an event for a request that was refused because of its block."""
        remaining_s = block.until - self._clock.now()
        self._events.put(RequestBlocked(request_id, block, remaining_s))
