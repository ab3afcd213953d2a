"""Check that every probe can be measured at enough sizes and shown."""

import pytest

from pimentobend_bench._internal.capacity.catalogue import PROBES
from pimentobend_bench._internal.capacity.probe import Probe
from pimentobend_bench._internal.capacity.process import BenchProcess

MIN_SIZES = 4


@pytest.mark.parametrize("probe", PROBES.values(), ids=PROBES.keys())
def test_probe_has_sizes_and_labels(probe: Probe) -> None:
    assert len(set(probe.sizes)) >= MIN_SIZES
    assert all((probe.name, probe.sized_by, probe.reads, probe.mechanism))


@pytest.mark.parametrize("probe", PROBES.values(), ids=PROBES.keys())
def test_probe_measures_its_smallest_size_in_a_fresh_process(probe: Probe) -> None:
    arguments = ["pimentobend_bench", "slope-point", probe.name, str(min(probe.sizes))]
    with BenchProcess(arguments) as process:
        reading = float(process.output(timeout_s=60.0))
    assert reading >= 0
