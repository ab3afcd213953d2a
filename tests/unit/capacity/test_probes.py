"""Check that every probe can be fitted and shown."""

import pytest

from pimentobend_bench._internal.capacity.catalogue import PROBES
from pimentobend_bench._internal.capacity.probe import Probe

MIN_SIZES = 4


@pytest.mark.parametrize("probe", PROBES.values(), ids=PROBES.keys())
def test_probe_has_sizes_and_labels(probe: Probe) -> None:
    assert len(set(probe.sizes)) >= MIN_SIZES
    assert all((probe.name, probe.sized_by, probe.reads, probe.mechanism))


@pytest.mark.parametrize("probe", PROBES.values(), ids=PROBES.keys())
def test_probe_reads_its_least_size(probe: Probe) -> None:
    assert probe.measure(min(probe.sizes)) >= 0
