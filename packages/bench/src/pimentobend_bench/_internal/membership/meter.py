"""Count the bytes that instances send and take, with the real encoder."""

import collections

from pimentobend_bench._internal.membership.fleet import Fleet
from pimentobend_core._internal.membership.spread.codec import encode_message
from pimentobend_core._internal.membership.spread.messages import PeerMessage
from pimentobend_core._internal.membership.spread.plan import TreeRole

FRAME_BYTES = 66 + 8  # TCP over IPv4 on Ethernet, and the length of a message


class Meter:
    """Observe a fleet's messages."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.taken: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()
        self.across = 0
        fleet.observers.append(self.observe)

    def observe(
        self, sender: str, recipients: tuple[str, ...], message: PeerMessage
    ) -> None:
        """Count one message for its sender and each recipient."""
        size = len(encode_message(message)) + FRAME_BYTES
        region = self._fleet.places[sender].region
        for recipient in recipients:
            self.sent[sender] += size
            self.taken[recipient] += size
            if self._fleet.places[recipient].region != region:
                self.across += size

    def reset(self) -> None:
        """Begin again at nothing."""
        self.taken.clear()
        self.sent.clear()
        self.across = 0

    def mean(self, role: TreeRole) -> float:
        """Return the bytes that an instance of a role sent and took."""
        names = self._fleet.names(role)
        total = sum(self.taken[name] + self.sent[name] for name in names)
        return total / max(1, len(names))

    def most(self, *roles: TreeRole) -> int:
        """Return the bytes of the busiest instance of some roles."""
        names = [name for role in roles for name in self._fleet.names(role)]
        return max((self.taken[name] + self.sent[name] for name in names), default=0)
