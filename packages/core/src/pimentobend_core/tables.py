"""Public types of the routing tables and of changes to them."""

from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.configuration.service_messages import NextLabel
from pimentobend_core._internal.configuration.service_messages import Removals
from pimentobend_core._internal.models.tables import ClientLimits
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Split

__all__ = [
    "ChangeOutcome",
    "ClientLimits",
    "NextLabel",
    "Organisation",
    "Pool",
    "Removals",
    "Route",
    "Split",
    "WholeTables",
]
