"""Keep what a relay knows of the instances that follow it."""

from collections.abc import Iterator
from typing import NamedTuple

from pimentobend_core._internal.membership.messages import Rank

ALIVE_S = 5.0  # without an answer to beacons a child is lost


class _Child(NamedTuple):
    """Hold one child; ``heard_at`` is in seconds of the clock."""

    life: Rank
    heard_at: float
    is_synced: bool  # it was given the rows up to the last window
    is_confirmed: bool  # it answered a beacon, so each side hears the other


class Children:
    """Own the children of one relay."""

    def __init__(self) -> None:
        self._children: dict[str, _Child] = {}

    def __len__(self) -> int:
        return len(self._children)

    def __iter__(self) -> Iterator[str]:
        return iter(self._children)

    @property
    def synced(self) -> tuple[str, ...]:
        """Return the children that deltas go to."""
        return tuple(name for name, c in self._children.items() if c.is_synced)

    def attach(self, name: str, life: Rank, now: float) -> bool:
        """Take a child; False when the message is of an earlier attachment."""
        known = self._children.get(name)
        if known is None or life.epoch > known.life.epoch:
            self._children[name] = _Child(life, now, False, False)
            return True
        if life < known.life:
            return False
        self._children[name] = known._replace(life=life, is_synced=False)
        return True

    def sync(self, name: str) -> None:
        """Note that a child was given all rows."""
        self._children[name] = self._children[name]._replace(is_synced=True)

    def hear(self, name: str, life: Rank, now: float) -> Rank | None:
        """Take an answer to a beacon; return the life that it belongs to."""
        known = self._children.get(name)
        if known is None or known.life.epoch != life.epoch:
            return None
        self._children[name] = known._replace(heard_at=now, is_confirmed=True)
        return known.life

    def remove_lost(self, now: float) -> tuple[tuple[str, Rank], ...]:
        """Drop the children that fell silent; return those once confirmed."""
        silent = [
            (name, child)
            for name, child in self._children.items()
            if now - child.heard_at >= ALIVE_S
        ]
        for name, _ in silent:
            del self._children[name]
        return tuple((name, child.life) for name, child in silent if child.is_confirmed)
