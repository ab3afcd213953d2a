"""Change the members of the control cluster on request of operators."""

import itertools
from collections.abc import Callable

from pimentobend_adapters._internal.asking import Replies
from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobendd._internal.interfaces.operators import Query
from pimentobendd._internal.interfaces.operators import QueryHandler
from pimentobendd._internal.interfaces.replies import Reply
from pimentobendd._internal.interfaces.replies import make_error

FIRST_PROPOSAL_ID = 1 << 48  # the service's own proposals have smaller ids
ANSWER_TIMEOUT_S = 3.0

_PATHS = {
    "/v1/replicas/add": MemberAction.ADD_LEARNER,
    "/v1/replicas/promote": MemberAction.PROMOTE,
    "/v1/replicas/remove": MemberAction.REMOVE,
}
_HINTS = {
    Outcome.NOT_LEADER: "send the request to the leader that the status shows",
    Outcome.NO_MAJORITY: "restore a majority of the replicas first",
    Outcome.REJECTED: "finish the previous change first; "
    "a replica must have caught up before it is promoted",
    Outcome.STORAGE: "free space on the leader's disk",
    Outcome.OVERLOADED: "retry later",
    Outcome.UNKNOWN: "check the status for the current members",
}


class MembersInterface:
    """Handles the operators' requests to add, promote and remove replicas."""

    def __init__(self, put: Callable[[ChangeMembers], None]) -> None:
        self._put = put
        self._replies: Replies[ProposalResult] = Replies(
            lambda reply: reply.proposal_id
        )
        self._proposal_ids = itertools.count(FIRST_PROPOSAL_ID)

    @property
    def handlers(self) -> dict[str, QueryHandler]:
        """Return the POST handlers by path; each has an ``address`` parameter."""
        return {path: self._make_handler(action) for path, action in _PATHS.items()}

    def handle_result(self, result: ProposalResult) -> bool:
        """Handle the result of a proposal; return whether this class proposed it."""
        self._replies.put(result)
        return result.proposal_id >= FIRST_PROPOSAL_ID

    def _make_handler(self, action: MemberAction) -> QueryHandler:
        return lambda query: self._propose_change(action, query)

    def _propose_change(self, action: MemberAction, query: Query) -> Reply:
        address = query.get("address")
        if not address:
            return make_error(
                400,
                "address is missing",
                hint="set address=<link address of the replica>",
            )
        proposal_id = next(self._proposal_ids)
        change = MemberChange(action, address, address)
        result = self._replies.ask(
            proposal_id,
            lambda: self._put(ChangeMembers(proposal_id, change)),
            ANSWER_TIMEOUT_S,
        )
        outcome = result.outcome if result else Outcome.UNKNOWN
        if outcome is Outcome.COMMITTED:
            return Reply(200, {"outcome": outcome.value})
        message = f"the members were not changed: {outcome.value}"
        if outcome is Outcome.UNKNOWN:
            message = "it is not known whether the members were changed"
        return make_error(503, message, hint=_HINTS[outcome])
