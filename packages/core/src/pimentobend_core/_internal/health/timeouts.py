"""Raise the time out of servers that flap."""

from typing import NamedTuple


class _History(NamedTuple):
    ejections: int  # that are not forgiven
    returned_at: float


class Timeouts:
    """Own how often each server was ejected of late."""

    FIRST_S = 10.0
    DOUBLINGS = 6
    FORGIVE_S = 300.0  # in use, for each ejection

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    def begin(self, server_id: str, now: float) -> float:
        """Return the time out of a new ejection in seconds, and count it."""
        count = self._count(server_id, now)
        self._histories[server_id] = _History(count + 1, now)
        return self.FIRST_S * 2.0 ** min(count, self.DOUBLINGS)

    def note_return(self, server_id: str, now: float) -> None:
        """Start to forgive a server that is in use again."""
        if server_id in self._histories:
            history = self._histories[server_id]
            self._histories[server_id] = history._replace(returned_at=now)

    def _count(self, server_id: str, now: float) -> int:
        if server_id not in self._histories:
            return 0
        history = self._histories[server_id]
        forgiven = int((now - history.returned_at) / self.FORGIVE_S)
        return max(0, history.ejections - forgiven)
