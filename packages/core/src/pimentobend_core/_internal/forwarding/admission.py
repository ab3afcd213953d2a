"""Draw which requests are admitted where the calls of their runs lack room.

A call is a request that a backend server makes while it runs another one. Bids state
the share of the requests whose calls the services behind the server can run.
"""

import zlib
from collections.abc import Iterable

from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.messages import CallRoomSeen
from pimentobend_core._internal.models.request import Sender

LEAST_SHARE = 0.02  # as a request stands for at most 50
_DRAWS = 0x100000000  # number of values of a checksum


class Admission:
    """Admission of one request, drawn once.

    Calls are not drawn, as their runs already hold a slot. ``demand`` is the number
    of requests that an admitted one stands for, those that were refused included.
    """

    def __init__(self, request_id: str, sender: Sender) -> None:
        self._request_id = request_id
        self._is_drawn = sender.is_call
        self.demand = sender.demand

    def refuses(self, bids: Iterable[Bid], now: float) -> bool:
        """Return whether the request is refused; only the first bids are considered.

        The draw depends on the time too, so that a caller that returns with the same
        request id is not refused for good.
        """
        shares = [bid.admit_share for bid in bids]
        if self._is_drawn or not shares:
            return False
        self._is_drawn = True
        share = max(LEAST_SHARE, sum(shares) / len(shares))
        if share >= 1.0:
            return False
        self.demand = 1.0 / share
        checksum = zlib.crc32(f"{self._request_id} {now:.1f}".encode())
        return checksum >= share * _DRAWS


def find_room(service: str, bids: Iterable[Bid]) -> CallRoomSeen | None:
    """Return the room that bids state for calls, or None without bids.

    Calls that are made behind the called servers lack room too if these admit less.
    """
    made = tuple(bids)
    if not made:
        return None
    rooms = (
        min(bid.call_room, bid.admit_share * bid.call_demand)
        if bid.admit_share < 1.0
        else bid.call_room
        for bid in made
    )
    return CallRoomSeen(service, sum(rooms), sum(bid.call_demand for bid in made))
