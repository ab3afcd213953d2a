"""Define what is replicated by means of the log."""

import abc
import enum

import msgspec

from pimentobend_core._internal.consensus.exceptions import ConsensusError


class StateMachine(abc.ABC):
    """Apply committed commands.

    Implementations depend on nothing but the commands and their order, so
    that each replica reaches the same state; time comes in the commands.
    """

    @abc.abstractmethod
    def apply(self, command: bytes, term: int, log_index: int) -> bytes:
        """Apply one command and return its encoded result."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    @abc.abstractmethod
    def restore(self, state: bytes) -> None:
        """Replace the whole state by an encoded one."""


class MachineTag(enum.IntEnum):
    """Name the state machine that a command is for; its first byte."""

    CONFIGURATION = 1
    LEDGER = 2
    MEMBERSHIP = 3


def tag_command(tag: MachineTag, command: bytes) -> bytes:
    """Return the command as the log carries it."""
    return bytes((tag,)) + command


class TaggedMachines(StateMachine):
    """Pass each command to the state machine that its tag names."""

    def __init__(self, machines: dict[MachineTag, StateMachine]) -> None:
        self._machines = machines

    def apply(self, command: bytes, term: int, log_index: int) -> bytes:
        """Apply one tagged command; one for an unknown machine has no effect."""
        machine = self._machines.get(command[0])  # type: ignore[call-overload]
        if machine is None:
            return b""
        result: bytes = machine.apply(command[1:], term, log_index)
        return result

    def snapshot(self) -> bytes:
        """Return the states of all machines."""
        states = {int(tag): each.snapshot() for tag, each in self._machines.items()}
        return msgspec.msgpack.encode(states)

    def restore(self, state: bytes) -> None:
        """Replace the states of all machines; raise ``ConsensusError``."""
        try:
            states = msgspec.msgpack.decode(state, type=dict[int, bytes])
        except msgspec.MsgspecError as error:
            raise ConsensusError("a snapshot does not decode") from error
        for tag, machine in self._machines.items():
            if tag in states:
                machine.restore(states[tag])
