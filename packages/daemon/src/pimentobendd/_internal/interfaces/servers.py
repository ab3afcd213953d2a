"""Serve the announcements of backend servers over HTTP."""

import ipaddress
from collections.abc import Callable

from returns.result import Failure

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.membership.announcement import parse_announcement
from pimentobend_core._internal.membership.announcement import parse_withdrawal
from pimentobend_core._internal.membership.messages import AnnouncementAccepted
from pimentobend_core._internal.membership.messages import AnnouncementRefused
from pimentobend_core._internal.membership.messages import DrainReplied
from pimentobend_core._internal.membership.messages import RegistryInput
from pimentobend_core._internal.membership.messages import WithdrawalAccepted
from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Withdrawal
from pimentobendd._internal.interfaces.replies import MAX_DOCUMENT_BYTES
from pimentobendd._internal.interfaces.replies import Environ
from pimentobendd._internal.interfaces.replies import Reply
from pimentobendd._internal.interfaces.replies import StartResponse
from pimentobendd._internal.interfaces.replies import make_error
from pimentobendd._internal.interfaces.replies import read_document
from pimentobendd._internal.interfaces.replies import write_reply

ANSWER_TIMEOUT_S = 2.0

RegistryReply = (
    AnnouncementAccepted | AnnouncementRefused | WithdrawalAccepted | DrainReplied
)


class ServersInterface:
    """WSGI application for ``/announce`` and ``/withdraw``.

    ``on_refused`` is called with the id of the server, empty if it cannot be read, and
    the faults of what it sent.
    """

    def __init__(
        self,
        registry: Outlet[RegistryInput],
        replies: Replies[RegistryReply],
        announce_from: tuple[str, ...],
        on_refused: Callable[[str, tuple[str, ...]], None],
    ) -> None:
        self._on_refused = on_refused
        self._registry = registry
        self._replies = replies
        self._networks = tuple(ipaddress.ip_network(text) for text in announce_from)

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one request."""
        return write_reply(self._answer(environ), start_response)

    def _answer(self, environ: Environ) -> Reply:
        remote = environ.get("REMOTE_ADDR", "")
        if not self._is_allowed(remote):
            hint = "add the server's network to announce_from in the settings"
            return make_error(
                403, f"the address {remote!r} may not announce servers", hint=hint
            )
        handler = _HANDLERS.get(environ["PATH_INFO"])
        if handler is None:
            return make_error(
                404,
                f"unknown path {environ['PATH_INFO']}",
                hint="use /announce or /withdraw",
            )
        if environ["REQUEST_METHOD"] != "POST":
            return make_error(405, f"method {environ['REQUEST_METHOD']} is not allowed")
        document = read_document(environ)
        if document is None:
            return make_error(
                400,
                f"Content-Length {environ.get('CONTENT_LENGTH')!r} is malformed,"
                f" above {MAX_DOCUMENT_BYTES} or more than the body has",
            )
        return handler(self, document)

    def _announce(self, document: bytes) -> Reply:
        parsed = parse_announcement(document)
        if isinstance(parsed, Failure):
            return self._refuse("", parsed.failure().faults)
        server = parsed.unwrap().server
        if not self._is_allowed(server.host):
            fault = f"host: {server.host!r} is not an IP address within announce_from"
            return self._refuse(server.server_id, (fault,))
        return self._ask(server.server_id, parsed.unwrap())

    def _withdraw(self, document: bytes) -> Reply:
        parsed = parse_withdrawal(document)
        if isinstance(parsed, Failure):
            return self._refuse("", parsed.failure().faults)
        return self._ask(parsed.unwrap().server_id, parsed.unwrap())

    def _ask(self, server_id: str, message: Announcement | Withdrawal) -> Reply:
        reply = self._replies.ask(
            server_id, lambda: self._registry.put(message), ANSWER_TIMEOUT_S
        )
        if reply is None:
            return make_error(
                503, "the registry did not reply in time", hint="send the request again"
            )
        if isinstance(reply, AnnouncementRefused):
            return self._refuse(server_id, reply.faults)
        if not isinstance(reply, AnnouncementAccepted):
            return Reply(200, {"server_id": server_id})
        return Reply(
            200,
            {
                "server_id": server_id,
                "lease_s": reply.lease_s,
                "renew_after_s": reply.renew_after_s,
            },
        )

    def _is_allowed(self, remote: str) -> bool:
        try:
            address = ipaddress.ip_address(remote)
        except ValueError:
            return False
        return any(address in network for network in self._networks)

    def _refuse(self, server_id: str, faults: tuple[str, ...]) -> Reply:
        self._on_refused(server_id, faults)
        return make_error(422, "the announcement has faults", faults)


_HANDLERS: dict[str, Callable[[ServersInterface, bytes], Reply]] = {
    "/announce": ServersInterface._announce,
    "/withdraw": ServersInterface._withdraw,
}
