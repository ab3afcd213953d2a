"""Choose the parents of control instances and daemons.

Every instance receives the replicated rows from a parent, so that the
instances form a tree; see ``spread.messages``.
"""

import enum
from typing import NamedTuple


class TreeRole(enum.Enum):
    """Role of an instance in the tree."""

    REPLICA = "replica"
    RELAY = "relay"
    DAEMON = "daemon"


class Place(NamedTuple):
    """Location and role of an instance."""

    instance_id: str
    region: str
    data_centre: str
    role: TreeRole


def plan_parents(
    place: Place, control: tuple[Place, ...], leader_id: str | None
) -> tuple[str, ...]:
    """Return the parents of an instance, in order of preference.

    ``control`` lists replicas and relays. The first replica of each region
    follows the leader, all others of the region follow within it, so that the
    link between regions carries each row once.
    """
    replicas = [each for each in control if each.role is TreeRole.REPLICA]
    if place.role is TreeRole.DAEMON:
        return _plan_daemon(place, control)
    near = [each for each in replicas if each.region == place.region]
    far = [each for each in replicas if each.region != place.region]
    leading = [each for each in replicas if each.instance_id == leader_id]
    if place.role is TreeRole.RELAY:
        ordered = _rotate(near, place.instance_id) + far
    elif near and near[0].instance_id == place.instance_id:
        ordered = leading + far + near
    elif leading and leading[0].region == place.region:
        ordered = leading + near + far
    else:
        ordered = near + leading + far
    names = (each.instance_id for each in ordered)
    return tuple(dict.fromkeys(name for name in names if name != place.instance_id))


def plan_siblings(place: Place, control: tuple[Place, ...]) -> tuple[str, ...]:
    """Return the region's other control instances.

    They pass on rows to their children while the root is unreachable.
    """
    return tuple(
        each.instance_id
        for each in control
        if each.region == place.region and each.instance_id != place.instance_id
    )


def _plan_daemon(place: Place, control: tuple[Place, ...]) -> tuple[str, ...]:
    relays = [each for each in control if each.role is TreeRole.RELAY]
    own = [each for each in relays if each.data_centre == place.data_centre]
    near = [each for each in control if each.region == place.region]
    ordered = _rotate(own, place.instance_id) + _rotate(near, place.instance_id)
    return tuple(dict.fromkeys(each.instance_id for each in ordered))


def _rotate(places: list[Place], instance_id: str) -> list[Place]:
    """Rotate places by a stable hash of the name, to balance the followers."""
    if not places:
        return places
    first = sum(instance_id.encode()) % len(places)
    return places[first:] + places[:first]
