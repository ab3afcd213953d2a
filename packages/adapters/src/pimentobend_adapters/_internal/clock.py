"""Clock of the eventlet runtime."""

import eventlet.hubs

from pimentobend_core._internal.ports import ClockPort


class HubClock(ClockPort):
    """Read the clock of eventlet's hub, which tests pause and advance."""

    def now(self) -> float:
        """Return the time of the hub's clock in seconds."""
        seconds: float = eventlet.hubs.get_hub().clock()
        return seconds
