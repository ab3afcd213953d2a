"""Create the ids of replicas and the first members of a new cluster."""

from typing import NamedTuple

from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members

# An id is the address and a token. Founders, the first replicas of a new cluster,
# share this token, so that each knows the ids of the others.
FOUNDER_TOKEN = "0"
_SEPARATOR = "/"


class Identity(NamedTuple):
    """The id of a replica, valid as long as its data folder exists.

    A replica that lost its folder gets a new id: under the old id its vote
    would count although it lost entries that it had acknowledged.
    """

    replica_id: str
    founders: tuple[str, ...]  # their addresses; empty for a replica that joins later


def create_identity(
    address: str, founders: tuple[str, ...], *, is_first_start: bool, token: str
) -> Identity:
    """Return the identity of a replica with an empty data folder.

    ``is_first_start`` means that the whole cluster starts for the first time.
    ``token`` must be different in each call.
    """
    if is_first_start and address in founders:
        return Identity(_make_id(address, FOUNDER_TOKEN), tuple(sorted(founders)))
    return Identity(_make_id(address, token), ())


def first_members(identity: Identity) -> Members:
    """Return the members at the start of an empty log."""
    if not identity.founders:
        return NO_MEMBERS
    return Members(
        tuple(
            Member(_make_id(address, FOUNDER_TOKEN), address)
            for address in identity.founders
        )
    )


def address_of(replica_id: str) -> str:
    """Return the address of a replica, which its id contains."""
    return replica_id.partition(_SEPARATOR)[0]


def _make_id(address: str, token: str) -> str:
    return f"{address}{_SEPARATOR}{token}"
