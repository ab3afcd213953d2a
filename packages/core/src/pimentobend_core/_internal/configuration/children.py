"""Track the daemons that poll this one for new versions of the tables."""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version

CHILD_LEASE_S = 10.0  # a daemon that has not polled for so long is dropped
MAX_CHILDREN = 256


class Child(NamedTuple):
    """The version that a daemon last reported, and when it did."""

    version: Version
    renewed_at: float


class Children:
    """Lease table of the daemons that poll this one, by address."""

    def __init__(self) -> None:
        self._children: dict[str, Child] = {}

    def renew(self, address: str, version: Version, now: float) -> None:
        """Renew a daemon's lease; ignore a new daemon when the table is full."""
        if address in self._children or len(self._children) < MAX_CHILDREN:
            self._children[address] = Child(version, now)

    def expire(self, now: float) -> None:
        """Drop the daemons that have not polled for ``CHILD_LEASE_S``."""
        self._children = {
            address: child
            for address, child in self._children.items()
            if now - child.renewed_at < CHILD_LEASE_S
        }

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the daemons whose lease is current."""
        return tuple(self._children)

    def versions(self) -> dict[str, str]:
        """Return the version that each daemon last reported, by address."""
        return {address: str(each.version) for address, each in self._children.items()}
