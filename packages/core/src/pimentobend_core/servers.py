"""Public types that describe backend servers."""

from pimentobend_core._internal.models.server import Announcement
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.server import Withdrawal

__all__ = ["Announcement", "Server", "ServerState", "Withdrawal"]
