"""Log and count how proofs of the tables are lost and regained."""

from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_adapters._internal.logs import get_log
from pimentobend_core._internal.configuration.proof_messages import ProofLost
from pimentobend_core._internal.configuration.proof_messages import ProofRegained

COUNTER = "table_proofs"


class ProofLog:
    """Writes a line for each change, and counts the changes and the renewals."""

    def __init__(self, counters: CounterTable) -> None:
        self._counters = counters
        self._log = get_log()

    def count_renewal(self) -> None:
        """Count a proof that replaces an older one."""
        self._counters.count(COUNTER, "renewed")

    def record(self, change: ProofLost | ProofRegained) -> None:
        """Record that there is no valid proof any more, or one again."""
        kind = "lost" if isinstance(change, ProofLost) else "regained"
        self._counters.count(COUNTER, kind)
        age_s = round(change.age_s, 3)
        self._log.info(f"tables-proof-{kind}", age_s=age_s, source=change.source)
