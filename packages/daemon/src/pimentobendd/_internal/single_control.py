"""Hold the configuration of one control process in memory."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.configuration.checks import read_pools
from pimentobend_core._internal.configuration.checks import read_routes
from pimentobend_core._internal.models.tables import Tables
from pimentobendd._internal.control_port import ChangeRefused
from pimentobendd._internal.control_port import ChangeRequest
from pimentobendd._internal.control_port import ControlPort
from pimentobendd._internal.control_port import Version
from pimentobendd._internal.tables import TablesInForce


class SingleControl(ControlPort):
    """Accept changes by compare-and-set, without replicas."""

    def __init__(self, tables: TablesInForce) -> None:
        self._tables = tables
        self._answers: dict[str, Version] = {}

    def apply(self, request: ChangeRequest) -> Result[Version, ChangeRefused]:
        """Put new tables in force if the operator saw the present ones."""
        if request.change_id in self._answers:
            return Success(self._answers[request.change_id])
        current = self._tables.current()
        version = Version(current.term, current.log_index)
        if request.expected != version:
            return Failure(
                ChangeRefused(
                    409, f"the version in force is {version}", "show, merge and retry"
                )
            )
        following = Version(1, version.log_index + 1)
        document = request.document
        self._tables.put(
            Tables(*following, read_routes(document), read_pools(document))
        )
        self._answers[request.change_id] = following
        return Success(following)
