"""Separate disk writes from the outputs that must wait until they are synced."""

from collections.abc import Iterable
from typing import NamedTuple

from pimentobend_core._internal.consensus.messages import Persist
from pimentobend_core._internal.consensus.messages import PersistSnapshot
from pimentobend_core._internal.consensus.messages import ReplicaOutput


class Batch(NamedTuple):
    """Disk writes, in order, and the outputs to release once they are synced."""

    writes: tuple[Persist | PersistSnapshot, ...]
    released: tuple[ReplicaOutput, ...]


def batch_outputs(outputs: Iterable[ReplicaOutput]) -> Batch:
    """Separate writes from other outputs, merging writes to share one sync."""
    writes: list[Persist | PersistSnapshot] = []
    released: list[ReplicaOutput] = []
    for output in outputs:
        last = writes[-1] if writes else None
        if isinstance(output, Persist) and isinstance(last, Persist):
            writes[-1] = Persist(last.records + output.records)
        elif isinstance(output, Persist | PersistSnapshot):
            writes.append(output)
        else:
            released.append(output)
    return Batch(tuple(writes), tuple(released))
