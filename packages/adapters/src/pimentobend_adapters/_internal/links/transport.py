"""Interface of the transports that send frames to other processes."""

import abc
from collections.abc import Callable

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.tasks import Outlet


class Transport(abc.ABC):
    """Sends frames to other processes and passes received ones to an outlet.

    Frames may be lost, duplicated or delayed. ``key`` authenticates them, and
    ``on_fault`` is called for each that cannot be received.
    """

    def __init__(
        self,
        address: str,
        key: bytes,
        outlet: Outlet[Frame],
        on_fault: Callable[[FrameError], None],
    ) -> None:
        self._address = address
        self._key = key
        self._outlet = outlet
        self._on_fault = on_fault
        self._dropped_frames = 0

    @property
    def address(self) -> str:
        """Return the address that peers send to."""
        return self._address

    @property
    def dropped_frames(self) -> int:
        """Return the number of frames that could not be sent."""
        return self._dropped_frames

    @abc.abstractmethod
    def start(self) -> None:
        """Start receiving."""

    @abc.abstractmethod
    def send(self, peer: str, kind: str, payload: bytes) -> None:
        """Send one message to a peer's address without waiting."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop receiving and close all sockets."""
