"""Find out who sent a request, before its route limits its deadline."""

from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import SendersPort
from pimentobend_core._internal.request.stages import Received


class SenderFilter(Filter[Received, Received]):
    """Adds to each request what is known of its sender."""

    def __init__(self, senders: SendersPort) -> None:
        self._senders = senders

    def apply(self, value: Received) -> Result[Received, Refusal]:
        """Return the request with its sender."""
        sender = self._senders.judge(value.head.deadline, is_local=value.head.is_local)
        return Success(value._replace(sender=sender))
