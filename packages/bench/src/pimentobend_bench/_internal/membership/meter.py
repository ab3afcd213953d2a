"""Counter of the bytes that instances send and receive, as encoded."""

import collections

from pimentobend_bench._internal.membership.fleet import Fleet
from pimentobend_core._internal.membership.spread.codec import encode_message
from pimentobend_core._internal.membership.spread.messages import PeerMessage
from pimentobend_core._internal.membership.spread.plan import TreeRole

FRAME_BYTES = 66 + 8  # headers of TCP, IPv4 and Ethernet, and the length prefix


class Meter:
    """Counts the bytes of a fleet's messages by instance."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.received: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()
        self.across = 0  # bytes between regions
        fleet.observers.append(self.observe)

    def observe(
        self, sender: str, recipients: tuple[str, ...], message: PeerMessage
    ) -> None:
        """Add the size of one message to its sender and to each recipient."""
        size = len(encode_message(message)) + FRAME_BYTES
        region = self._fleet.places[sender].region
        for recipient in recipients:
            self.sent[sender] += size
            self.received[recipient] += size
            if self._fleet.places[recipient].region != region:
                self.across += size

    def reset(self) -> None:
        """Set all counters to zero."""
        self.received.clear()
        self.sent.clear()
        self.across = 0

    def mean(self, role: TreeRole) -> float:
        """Return the mean bytes that an instance of a role sent and received."""
        names = self._fleet.names(role)
        total = sum(self.received[name] + self.sent[name] for name in names)
        return total / max(1, len(names))

    def maximum(self, *roles: TreeRole) -> int:
        """Return the bytes of the instance with the most traffic among the roles."""
        names = [name for role in roles for name in self._fleet.names(role)]
        return max((self.received[name] + self.sent[name] for name in names), default=0)
