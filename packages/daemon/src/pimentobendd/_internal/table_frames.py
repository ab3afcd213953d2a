"""Carry the tables from control to the instances."""

from typing import NamedTuple

import eventlet
import msgspec

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.link import Link
from pimentobend_core._internal.models.tables import Tables
from pimentobendd._internal.tables import TablesInForce

KIND_HELLO = "tables.hello"
KIND_TABLES = "tables.whole"
HELLO_INTERVAL_S = 0.5


class Hello(NamedTuple):
    """Say which version an instance has in force."""

    term: int
    log_index: int


class TableFrames:
    """Ask control for newer tables, and answer those who ask."""

    def __init__(
        self, link: Link, tables: TablesInForce, control: tuple[str, ...]
    ) -> None:
        self._link = link
        self._tables = tables
        self._control = tuple(peer for peer in control if peer != link.address)

    def start(self) -> None:
        """Start asking."""
        eventlet.spawn(self._ask)

    def take(self, frame: Frame) -> None:
        """Take a frame of one of the two kinds."""
        try:
            if frame.kind == KIND_HELLO:
                self._answer(
                    frame.sender, msgspec.msgpack.decode(frame.payload, type=Hello)
                )
                return
            self._tables.put(msgspec.msgpack.decode(frame.payload, type=Tables))
        except msgspec.DecodeError as error:
            raise FrameError(
                "the message does not decode", context=frame.kind
            ) from error

    def _answer(self, peer: str, hello: Hello) -> None:
        current = self._tables.current()
        if current[:2] > hello:
            self._link.send(peer, KIND_TABLES, msgspec.msgpack.encode(current))

    def _ask(self) -> None:
        while True:
            current = self._tables.current()
            payload = msgspec.msgpack.encode(Hello(current.term, current.log_index))
            for peer in self._control:
                self._link.send(peer, KIND_HELLO, payload)
            eventlet.sleep(HELLO_INTERVAL_S)
