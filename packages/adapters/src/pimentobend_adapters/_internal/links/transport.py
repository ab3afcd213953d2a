"""Define what carries frames to other processes."""

import abc


class Transport(abc.ABC):
    """Send frames, which may be lost, come twice or come late."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Return the address that peers send to."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start receiving."""

    @abc.abstractmethod
    def send(self, peer: str, kind: str, payload: bytes) -> None:
        """Send one message to a peer's address without waiting."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop receiving and close all sockets."""
