"""Give replicas their ids, and a new cluster its first members."""

from typing import NamedTuple

from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members

FOUNDER_TOKEN = "0"
_SEPARATOR = "/"


class Identity(NamedTuple):
    """Name a replica for as long as its data folder lasts.

    A replica that lost its folder comes back under a new id, so that it does
    not vote for what the old one may have acknowledged.
    """

    replica_id: str
    founders: tuple[str, ...]  # addresses; none for a replica that joins later


def create_identity(
    address: str, founders: tuple[str, ...], *, is_first_start: bool, token: str
) -> Identity:
    """Return the identity of a replica with an empty data folder.

    ``is_first_start`` says that the whole cluster starts for the first time;
    ``token`` must differ at each call.
    """
    if is_first_start and address in founders:
        return Identity(_make_id(address, FOUNDER_TOKEN), tuple(sorted(founders)))
    return Identity(_make_id(address, token), ())


def first_members(identity: Identity) -> Members:
    """Return the members with which an empty log begins."""
    if not identity.founders:
        return NO_MEMBERS
    return Members(
        tuple(
            Member(_make_id(address, FOUNDER_TOKEN), address)
            for address in identity.founders
        )
    )


def address_of(replica_id: str) -> str:
    """Return the address at which a replica is reached."""
    return replica_id.partition(_SEPARATOR)[0]


def _make_id(address: str, token: str) -> str:
    return f"{address}{_SEPARATOR}{token}"
