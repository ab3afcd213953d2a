"""Encode ledger commands, results and snapshots as versioned msgpack."""

from typing import NamedTuple
from typing import TypeVar

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.ledger.messages import Claimed
from pimentobend_core._internal.ledger.messages import ClaimRefused
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandBatch
from pimentobend_core._internal.ledger.messages import CommandResult
from pimentobend_core._internal.ledger.messages import LookUpWork
from pimentobend_core._internal.ledger.messages import Settled
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.messages import WorkFound
from pimentobend_core._internal.ledger.state import LedgerState
from pimentobend_core._internal.ledger.store import Generation

VERSION = 1


class _Wire(NamedTuple):
    """An encoded command or result with the number of its kind."""

    kind: int
    fields: msgspec.Raw


class _WireBatch(NamedTuple):
    """The stored form of a ``CommandBatch``."""

    version: int
    elapsed_s: float
    commands: tuple[_Wire, ...]


class _WireResults(NamedTuple):
    """The encoded results of one log entry."""

    version: int
    results: tuple[_Wire, ...]


class _WireSnapshot(NamedTuple):
    """The stored form of a ``LedgerState``."""

    version: int
    clock_s: float
    generations: tuple[Generation, ...]


# A type's position is its kind on the wire and on disk: append new types.
_COMMANDS = (ClaimWork, SettleWork, LookUpWork)
_RESULTS = (Claimed, ClaimRefused, Settled, WorkFound)
_COMMAND_DECODERS: "tuple[msgspec.msgpack.Decoder[Command], ...]" = tuple(
    msgspec.msgpack.Decoder(kind) for kind in _COMMANDS
)
_RESULT_DECODERS: "tuple[msgspec.msgpack.Decoder[CommandResult], ...]" = tuple(
    msgspec.msgpack.Decoder(kind) for kind in _RESULTS
)
_WIRE_DECODER = msgspec.msgpack.Decoder(_Wire)
_BATCH_DECODER = msgspec.msgpack.Decoder(_WireBatch)
_RESULTS_DECODER = msgspec.msgpack.Decoder(_WireResults)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_WireSnapshot)
_ENCODER = msgspec.msgpack.Encoder()

Decoded = TypeVar("Decoded")


def encode_batch(batch: CommandBatch) -> bytes:
    """Encode the payload of one log entry."""
    commands = tuple(_wrap(command, _COMMANDS) for command in batch.commands)
    return _ENCODER.encode(_WireBatch(VERSION, batch.elapsed_s, commands))


def decode_batch(payload: bytes) -> CommandBatch:
    """Decode the payload of one log entry; raise CodecError for invalid bytes."""
    wire = _decode(_BATCH_DECODER, payload)
    _check_version(wire.version)
    commands = tuple(_unwrap(command, _COMMAND_DECODERS) for command in wire.commands)
    return CommandBatch(wire.elapsed_s, commands)


def encode_command(command: Command) -> bytes:
    """Encode one command for the link between processes."""
    return _ENCODER.encode(_wrap(command, _COMMANDS))


def decode_command(payload: bytes) -> Command:
    """Decode one command; raise CodecError for invalid bytes."""
    return _unwrap(_decode(_WIRE_DECODER, payload), _COMMAND_DECODERS)


def encode_result(result: CommandResult) -> bytes:
    """Encode one result for the link between processes."""
    return _ENCODER.encode(_wrap(result, _RESULTS))


def decode_result(payload: bytes) -> CommandResult:
    """Decode one result; raise CodecError for invalid bytes."""
    return _unwrap(_decode(_WIRE_DECODER, payload), _RESULT_DECODERS)


def encode_results(results: tuple[CommandResult, ...]) -> bytes:
    """Encode the results of one log entry."""
    wrapped = tuple(_wrap(result, _RESULTS) for result in results)
    return _ENCODER.encode(_WireResults(VERSION, wrapped))


def decode_results(payload: bytes) -> tuple[CommandResult, ...]:
    """Decode the results of one log entry; raise CodecError for invalid bytes."""
    wire = _decode(_RESULTS_DECODER, payload)
    _check_version(wire.version)
    return tuple(_unwrap(result, _RESULT_DECODERS) for result in wire.results)


def encode_snapshot(state: LedgerState) -> bytes:
    """Encode the whole state of a ledger."""
    wire = _WireSnapshot(VERSION, state.clock_s, state.export())
    return _ENCODER.encode(wire)


def decode_snapshot(payload: bytes) -> LedgerState:
    """Decode the whole state of a ledger; raise CodecError for invalid bytes."""
    wire = _decode(_SNAPSHOT_DECODER, payload)
    _check_version(wire.version)
    return LedgerState.restore(wire.clock_s, wire.generations)


def _wrap(message: Command | CommandResult, kinds: tuple[type, ...]) -> _Wire:
    return _Wire(kinds.index(type(message)), msgspec.Raw(_ENCODER.encode(message)))


def _unwrap(
    wire: _Wire, decoders: "tuple[msgspec.msgpack.Decoder[Decoded], ...]"
) -> Decoded:
    if not 0 <= wire.kind < len(decoders):
        raise CodecError("unknown kind of ledger message", context=f"kind {wire.kind}")
    return _decode(decoders[wire.kind], wire.fields)


def _decode(decoder: "msgspec.msgpack.Decoder[Decoded]", payload: bytes) -> Decoded:
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            "cannot decode a ledger message", context=str(error)
        ) from error


def _check_version(version: int) -> None:
    if version != VERSION:
        raise CodecError(
            "unsupported version of a ledger message",
            context=f"version {version}, expected {VERSION}",
            hint="run the same release on every replica",
        )
