"""Exponential back-off for the ejections of flapping servers."""

from typing import NamedTuple


class _History(NamedTuple):
    ejections: int  # recent ones; those forgiven by now are not counted
    returned_at: float


class EjectionBackoff:
    """Compute how long each ejection lasts from the server's recent ejections."""

    BASE_S = 10.0
    MAX_DOUBLINGS = 6
    FORGIVENESS_S = 300.0  # after so long in use, one ejection no longer counts

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    def start_ejection(self, server_id: str, now: float) -> float:
        """Count a new ejection and return its duration in seconds."""
        count = self._recent_ejections(server_id, now)
        self._histories[server_id] = _History(count + 1, now)
        return self.BASE_S * 2.0 ** min(count, self.MAX_DOUBLINGS)

    def record_return(self, server_id: str, now: float) -> None:
        """Record a return to use, from which the time to forgive ejections counts."""
        if server_id in self._histories:
            history = self._histories[server_id]
            self._histories[server_id] = history._replace(returned_at=now)

    def _recent_ejections(self, server_id: str, now: float) -> int:
        if server_id not in self._histories:
            return 0
        history = self._histories[server_id]
        forgiven = int((now - history.returned_at) / self.FORGIVENESS_S)
        return max(0, history.ejections - forgiven)
