"""Remember which daemons follow this one."""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version

CHILD_LEASE_S = 10.0
MAX_CHILDREN = 256


class Child(NamedTuple):
    """Hold what a following daemon last said."""

    version: Version
    heard_at: float


class Children:
    """Own the leases of the daemons that ask here."""

    def __init__(self) -> None:
        self._children: dict[str, Child] = {}

    def hear(self, address: str, version: Version, now: float) -> None:
        """Renew a daemon's lease; a full table takes no new daemon."""
        if address in self._children or len(self._children) < MAX_CHILDREN:
            self._children[address] = Child(version, now)

    def expire(self, now: float) -> None:
        """Forget the daemons that asked too long ago."""
        self._children = {
            address: child
            for address, child in self._children.items()
            if now - child.heard_at < CHILD_LEASE_S
        }

    def addresses(self) -> tuple[str, ...]:
        """Return the daemons that follow this one."""
        return tuple(self._children)

    def versions(self) -> dict[str, str]:
        """Return the version that each daemon last named."""
        return {address: str(each.version) for address, each in self._children.items()}
