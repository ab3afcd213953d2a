"""Run the tasks that get and give proofs of the tables."""

from collections.abc import Callable

from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import TimedTask
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.proof import TablesProof
from pimentobend_core._internal.configuration.proof_messages import NewerTablesProven
from pimentobend_core._internal.configuration.proof_messages import ProofAsk
from pimentobend_core._internal.configuration.proof_messages import ProofInput
from pimentobend_core._internal.configuration.proof_messages import ProofLost
from pimentobend_core._internal.configuration.proof_messages import ProofOutput
from pimentobend_core._internal.configuration.proof_messages import ProofRegained
from pimentobend_core._internal.configuration.proof_messages import ProofSent
from pimentobend_core._internal.configuration.proof_messages import ProofTargetsChanged
from pimentobend_core._internal.configuration.proof_messages import ProofTick
from pimentobend_core._internal.configuration.proof_messages import RelayInput
from pimentobend_core._internal.configuration.proof_messages import RelayOutput
from pimentobend_core._internal.configuration.proof_messages import TablesProven
from pimentobend_core._internal.configuration.proof_relay import ProofRelay
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.fleet.proof_in_force import ProofInForce
from pimentobendd._internal.fleet.proof_log import ProofLog

KIND_ASK = "proof.ask"
KIND_REPLY = "proof.reply"


class InstanceProofs:
    """Gets proofs for the tables that requests are routed by.

    ``on_newer`` is called with tables that are known to be newer. ``clock`` must
    count suspensions.
    """

    def __init__(
        self,
        state: TablesProof,
        in_force: ProofInForce,
        link: Transport,
        log: ProofLog,
        on_newer: Callable[[NewerTablesProven], None],
        clock: ClockPort,
    ) -> None:
        self._in_force = in_force
        self._link = link
        self._log = log
        self._on_newer = on_newer
        self.task: TimedTask[ProofInput, ProofOutput] = TimedTask(
            "tables_proof",
            state,
            CallOutlet(self._handle_output),
            clock,
            ProofTick(),
        )

    def _handle_output(self, output: ProofOutput) -> None:
        match output:
            case ProofSent():
                send_proof(self._link, output)
            case TablesProven():
                self._in_force.put(output.proof)
                self._log.count_renewal()
            case NewerTablesProven():
                self._on_newer(output)
            case ProofLost() | ProofRegained():
                self._log.record(output)


class ControlProofs:
    """Gives other daemons the proof that this control instance has.

    ``clock`` must count suspensions.
    """

    def __init__(
        self, state: ProofRelay, link: Transport, log: ProofLog, clock: ClockPort
    ) -> None:
        self._link = link
        self._log = log
        self.task: TimedTask[RelayInput, RelayOutput] = TimedTask(
            "proof_relay",
            state,
            CallOutlet(self._handle_output),
            clock,
            ProofTick(),
        )

    def update_leader(self, address: str | None) -> None:
        """Ask another leader from now on; None while none is known."""
        is_peer = address is not None and address != self._link.address
        targets = (address,) if address is not None and is_peer else ()
        self.task.put(ProofTargetsChanged(targets))

    def _handle_output(self, output: RelayOutput) -> None:
        if isinstance(output, ProofSent):
            send_proof(self._link, output)
        else:
            self._log.record(output)


def send_proof(link: Transport, output: ProofSent) -> None:
    """Send a question or a reply over the link."""
    is_ask = isinstance(output.message, ProofAsk)
    kind = KIND_ASK if is_ask else KIND_REPLY
    link.send(output.recipient, kind, encode(output.message))
