"""All probes by name."""

from pimentobend_bench._internal.capacity import configuration_probes
from pimentobend_bench._internal.capacity import health_probes
from pimentobend_bench._internal.capacity import ledger_probes
from pimentobend_bench._internal.capacity import link_probes
from pimentobend_bench._internal.capacity import membership_probes
from pimentobend_bench._internal.capacity import row_probes
from pimentobend_bench._internal.capacity import spread_probes
from pimentobend_bench._internal.capacity import storage_probes
from pimentobend_bench._internal.capacity import traffic_probes
from pimentobend_bench._internal.capacity.probe import Probe

PROBES: dict[str, Probe] = {
    probe.name: probe
    for probe in (
        *row_probes.PROBES,
        *spread_probes.PROBES,
        *storage_probes.PROBES,
        *traffic_probes.PROBES,
        *membership_probes.PROBES,
        *configuration_probes.PROBES,
        *health_probes.PROBES,
        *ledger_probes.PROBES,
        *link_probes.PROBES,
    )
}
