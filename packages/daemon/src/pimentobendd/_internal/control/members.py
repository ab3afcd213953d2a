"""Change the members of the control cluster at the operators' request."""

import itertools
from collections.abc import Callable

from pimentobend_adapters._internal.asking import Replies
from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobendd._internal.interfaces.operators import Query
from pimentobendd._internal.interfaces.operators import Section
from pimentobendd._internal.interfaces.replies import Reply
from pimentobendd._internal.interfaces.replies import make_error

FIRST_MEMBER_ID = 1 << 48  # above the proposal ids of the service
ANSWER_TIMEOUT_S = 3.0

_PATHS = {
    "/v1/replicas/add": MemberAction.ADD_LEARNER,
    "/v1/replicas/promote": MemberAction.PROMOTE,
    "/v1/replicas/remove": MemberAction.REMOVE,
}
_HINTS = {
    Outcome.NOT_LEADER: "send it to the leader that the status names",
    Outcome.NO_MAJORITY: "bring a majority of the replicas back first",
    Outcome.REJECTED: "finish the step before; a replica must have caught up",
    Outcome.STORAGE: "free space on the leader's disk",
    Outcome.OVERLOADED: "retry later",
    Outcome.UNKNOWN: "look at the status for the members in force",
}


class MembersInterface:
    """Own the changes of members that operators wait for."""

    def __init__(self, put: Callable[[ChangeMembers], None]) -> None:
        self._put = put
        self._replies: Replies[ProposalResult] = Replies(
            lambda reply: reply.proposal_id
        )
        self._ids = itertools.count(FIRST_MEMBER_ID)

    @property
    def actions(self) -> dict[str, Section]:
        """Return the operators' actions by path; each takes an ``address``."""
        return {path: self._action(action) for path, action in _PATHS.items()}

    def handle_result(self, proposed: ProposalResult) -> bool:
        """Take the end of a proposal; say whether it was a change of members."""
        self._replies.put(proposed)
        return proposed.proposal_id >= FIRST_MEMBER_ID

    def _action(self, action: MemberAction) -> Section:
        return lambda query: self._change(action, query)

    def _change(self, action: MemberAction, query: Query) -> Reply:
        address = query.get("address")
        if not address:
            return make_error(400, "address is missing", hint="give address=<link>")
        proposal_id = next(self._ids)
        change = MemberChange(action, address, address)
        proposed = self._replies.ask(
            proposal_id,
            lambda: self._put(ChangeMembers(proposal_id, change)),
            ANSWER_TIMEOUT_S,
        )
        outcome = proposed.outcome if proposed else Outcome.UNKNOWN
        if outcome is Outcome.COMMITTED:
            return Reply(200, {"outcome": outcome.value})
        message = f"the members were not changed: {outcome.value}"
        if outcome is Outcome.UNKNOWN:
            message = "it is not known whether the members were changed"
        return make_error(503, message, hint=_HINTS[outcome])
