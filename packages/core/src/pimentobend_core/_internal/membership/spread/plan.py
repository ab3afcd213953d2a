"""Arrange control instances and daemons in a tree."""

import enum
from typing import NamedTuple


class TreeRole(enum.Enum):
    """Name what an instance does in the tree."""

    REPLICA = "replica"
    RELAY = "relay"
    DAEMON = "daemon"


class Place(NamedTuple):
    """Say where an instance stands."""

    instance_id: str
    region: str
    data_centre: str
    role: TreeRole


def plan_parents(
    place: Place, control: tuple[Place, ...], leader_id: str | None
) -> tuple[str, ...]:
    """Return whom an instance follows, in the order of preference.

    ``control`` lists replicas and relays. The first replica of each region
    follows the leader, all others of the region follow within it, so that the
    link between regions carries each row once.
    """
    replicas = [one for one in control if one.role is TreeRole.REPLICA]
    if place.role is TreeRole.DAEMON:
        return _plan_daemon(place, control)
    near = [one for one in replicas if one.region == place.region]
    far = [one for one in replicas if one.region != place.region]
    leading = [one for one in replicas if one.instance_id == leader_id]
    if place.role is TreeRole.RELAY:
        ordered = _rotate(near, place.instance_id) + far
    elif near and near[0].instance_id == place.instance_id:
        ordered = leading + far + near
    elif leading and leading[0].region == place.region:
        ordered = leading + near + far
    else:
        ordered = near + leading + far
    names = (one.instance_id for one in ordered)
    return tuple(dict.fromkeys(name for name in names if name != place.instance_id))


def plan_siblings(place: Place, control: tuple[Place, ...]) -> tuple[str, ...]:
    """Return the control instances that carry echoes within the region."""
    return tuple(
        one.instance_id
        for one in control
        if one.region == place.region and one.instance_id != place.instance_id
    )


def _plan_daemon(place: Place, control: tuple[Place, ...]) -> tuple[str, ...]:
    relays = [one for one in control if one.role is TreeRole.RELAY]
    own = [one for one in relays if one.data_centre == place.data_centre]
    near = [one for one in control if one.region == place.region]
    ordered = _rotate(own, place.instance_id) + _rotate(near, place.instance_id)
    return tuple(dict.fromkeys(one.instance_id for one in ordered))


def _rotate(places: list[Place], instance_id: str) -> list[Place]:
    """Share the followers among places by a stable hash of their names."""
    if not places:
        return places
    first = sum(instance_id.encode()) % len(places)
    return places[first:] + places[:first]
