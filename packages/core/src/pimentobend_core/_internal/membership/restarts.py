"""Find out what an instance had said of its servers before it restarted."""

from collections.abc import Iterable

from pimentobend_core._internal.membership.messages import EarlierDrains
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.models.server import ServerState


def find_earlier_drains(
    events: Iterable[ServerEvent], instance_id: str, epoch: int
) -> EarlierDrains:
    """Return the servers that left an instance, or were draining, before ``epoch``."""
    return EarlierDrains(
        tuple(
            (event.server.server_id, event.server.incarnation)
            for event in events
            if event.instance_id == instance_id
            and event.rank.epoch < epoch
            and _is_leaving(event)
        )
    )


def _is_leaving(event: ServerEvent) -> bool:
    is_draining = event.server.state is ServerState.DRAINING
    return event.presence is Presence.WITHDRAWN or is_draining
