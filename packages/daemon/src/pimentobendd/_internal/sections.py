"""Answer the operators' read requests about one process."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import cast

from pimentobend_adapters._internal.ledger import LedgerTasks
from pimentobend_core._internal.models.tables import Tables
from pimentobendd._internal.control.role import ControlRole
from pimentobendd._internal.control.spread import TablesSpread
from pimentobendd._internal.control_port import Version
from pimentobendd._internal.instance_role import InstanceRole
from pimentobendd._internal.interfaces.operators import Query
from pimentobendd._internal.interfaces.operators import QueryHandler
from pimentobendd._internal.interfaces.replies import Reply
from pimentobendd._internal.interfaces.replies import make_error
from pimentobendd._internal.membership_role import MembershipRole
from pimentobendd._internal.settings import Settings


class Sections:
    """Answers read requests from the state of the tasks that run in this process."""

    def __init__(
        self,
        settings: Settings,
        tables: Callable[[], Tables],
        spread: TablesSpread,
        ledger: LedgerTasks,
        membership: MembershipRole,
        control: ControlRole | None,
        instance: InstanceRole | None,
    ) -> None:
        self._settings = settings
        self._tables = tables
        self._spread = spread
        self._ledger = ledger
        self._membership = membership
        self._control = control
        self._instance = instance

    @property
    def by_path(self) -> Mapping[str, QueryHandler]:
        """Return the handlers of the sections by path."""
        return {
            "/v1/status": self._status,
            "/v1/dump": lambda query: Reply(200, self.dump()),
            "/v1/servers": self._servers,
            "/v1/ejections": self._ejections,
            "/v1/members": self._members,
            "/v1/suspects": self._suspects,
            "/v1/ledger": self._look_up,
        }

    def dump(self) -> Mapping[str, object]:
        """Return the state of the process, one section per task."""
        tables = self._tables()
        state: dict[str, object] = {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "region": self._settings.region,
            "roles": sorted(self._settings.roles),
            "tables": {
                "version": str(Version(*tables[:2])),
                "routes": len(tables.routes),
                "pools": len(tables.pools),
            },
            "spread": self._spread.task.dump(),
            "ledger-client": self._ledger.task.dump(),
            **self._membership.dump(),
        }
        if self._control is not None:
            state.update(self._control.dump())
        if self._instance is not None:
            state.update(self._instance.dump())
        return state

    def _status(self, query: Query) -> Reply:
        tables = self._tables()
        state: dict[str, object] = {
            "instance": self._settings.instance,
            "roles": sorted(self._settings.roles),
            "version": str(Version(*tables[:2])),
            "followers": self._spread.task.dump().get("children", {}),
        }
        if self._control is not None:
            state["control"] = self._control.status()
        return Reply(200, state)

    def _servers(self, query: Query) -> Reply:
        return Reply(200, {"servers": self._membership.servers()})

    def _ejections(self, query: Query) -> Reply:
        rows = [] if self._instance is None else self._instance.ejections()
        return Reply(200, {"ejections": rows})

    def _suspects(self, query: Query) -> Reply:
        rows = [] if self._instance is None else self._instance.suspects.rows()
        return Reply(200, {"suspects": rows})

    def _members(self, query: Query) -> Reply:
        if self._control is None:
            hint = "ask an instance with the role control"
            return make_error(
                404, "this instance has no replica of the configuration", hint=hint
            )
        state = self._control.status()
        rows = [
            {"replica": replica, "kind": kind, "leads": replica == state["leader_id"]}
            for kind in ("voters", "learners")
            for replica in cast(list[str], state[kind] or [])
        ]
        return Reply(200, {"members": rows})

    def _look_up(self, query: Query) -> Reply:
        organisation = query.get("organisation", "")
        key = query.get("key")
        if not key:
            return make_error(
                400, "key is missing", hint="set organisation=<name> and key=<key>"
            )
        found = self._ledger.look_up(organisation, key)
        if found is None:
            return make_error(503, "no majority of the ledger's replicas answers")
        document = {**found._asdict(), "state": found.state.value}
        return Reply(200, document)
