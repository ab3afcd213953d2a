"""Track the children that are attached to a relay."""

from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.membership.messages import Rank

CHILD_TIMEOUT_S = 5.0  # a child that has not answered a beacon for so long is lost


class _Child(NamedTuple):
    """State of one child; ``heard_at`` is when it last answered a beacon."""

    attachment: Rank
    heard_at: float
    is_synced: bool  # it was sent all rows up to the latest flush
    is_confirmed: bool  # it has answered a beacon, so the link works both ways


class Children:
    """Children of one relay by instance id: their attachments and last answers."""

    def __init__(self) -> None:
        self._children: dict[str, _Child] = {}

    def __len__(self) -> int:
        return len(self._children)

    def __iter__(self) -> Iterator[str]:
        return iter(self._children)

    @property
    def synced(self) -> tuple[str, ...]:
        """Return the children that have caught up and receive deltas."""
        return tuple(name for name, c in self._children.items() if c.is_synced)

    def attach(self, name: str, attachment: Rank, now: float) -> bool:
        """Attach a child; return False if a later attachment is known."""
        known = self._children.get(name)
        if known is None or attachment.epoch > known.attachment.epoch:
            self._children[name] = _Child(attachment, now, False, False)
            return True
        if attachment < known.attachment:
            return False
        self._children[name] = known._replace(attachment=attachment, is_synced=False)
        return True

    def sync(self, name: str) -> None:
        """Mark a child as caught up."""
        self._children[name] = self._children[name]._replace(is_synced=True)

    def record_answer(self, name: str, attachment: Rank, now: float) -> Rank | None:
        """Record an answer to a beacon; return the child's current attachment.

        None if the child is unknown or has another epoch.
        """
        known = self._children.get(name)
        if known is None or known.attachment.epoch != attachment.epoch:
            return None
        self._children[name] = known._replace(heard_at=now, is_confirmed=True)
        return known.attachment

    def remove_lost(self, now: float) -> tuple[tuple[str, Rank], ...]:
        """Drop children that timed out; return those that had answered a beacon."""
        silent = [
            (name, child)
            for name, child in self._children.items()
            if now - child.heard_at >= CHILD_TIMEOUT_S
        ]
        for name, _ in silent:
            del self._children[name]
        return tuple(
            (name, child.attachment) for name, child in silent if child.is_confirmed
        )
