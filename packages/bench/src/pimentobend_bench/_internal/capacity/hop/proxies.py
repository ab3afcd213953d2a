"""Start the proxies that the hop is measured through."""

import abc

from pimentobend_bench._internal.capacity.process import BenchProcess


class ProxyStarter(abc.ABC):
    """Start one kind of proxy before a backend server's port."""

    name: str

    @abc.abstractmethod
    def start(self, backend_port: int) -> tuple[BenchProcess, int]:
        """Return the started process and the port that it serves on."""


class LibraryProxyStarter(ProxyStarter):
    """Start the least proxy of the WSGI server and an urllib3 pool."""

    name = "libraries alone"

    def start(self, backend_port: int) -> tuple[BenchProcess, int]:
        """Return the started process and the port that it serves on."""
        module = "pimentobend_bench._internal.capacity.hop.library_proxy"
        process = BenchProcess([module, str(backend_port)])
        return process, int(process.read_line())


STARTERS: dict[str, ProxyStarter] = {
    starter.name: starter for starter in (LibraryProxyStarter(),)
}
