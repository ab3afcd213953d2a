"""Order the control instances by their distance from a daemon."""

import hashlib

from pimentobend_core._internal.gossip.rows import PeerRow


def order_control_instances(
    own: PeerRow, peers: tuple[PeerRow, ...]
) -> tuple[str, ...]:
    """Return their addresses: those of the own data centre, then region, then others.

    Equally near ones are in an order of each daemon's own, which spreads the daemons
    over them. The own process is listed if it is a control instance.
    """
    rows = [row for row in (own, *peers) if row.is_control and not row.is_leaving]
    return tuple(row.address for row in sorted(rows, key=lambda row: _key(own, row)))


def _key(own: PeerRow, row: PeerRow) -> tuple[bool, bool, bytes]:
    # A linear checksum such as CRC-32 would prefer some of the addresses.
    pair = f"{own.address} {row.address}".encode()
    mixed = hashlib.blake2b(pair, digest_size=8).digest()
    return (row.data_centre != own.data_centre, row.region != own.region, mixed)
