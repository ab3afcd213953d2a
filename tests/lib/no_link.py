"""Transport for tests that send nothing to other daemons."""

from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet


class NoLink(Transport):
    """A transport that sends nothing."""

    def __init__(self) -> None:
        super().__init__("a", b"", CallOutlet(lambda _: None), lambda _: None)

    def start(self) -> None:
        pass

    def send(self, peer: str, kind: str, payload: bytes) -> None:
        pass

    def close(self) -> None:
        pass
