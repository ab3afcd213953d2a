"""Messages of the periodic confirmation of the log's leader."""

from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.service_messages import VersionRead
from pimentobend_core._internal.configuration.service_messages import VersionReadRequest
from pimentobend_core._internal.consensus.messages import LeaderChanged


class ConfirmationTick(NamedTuple):
    """Ask for a confirmation if this replica leads; due at the filter's ``due_at``."""


class LeadershipConfirmed(NamedTuple):
    """A majority confirmed that this replica led at ``asked_at``.

    Every version that was acknowledged before then is at most ``version``. The time
    is in seconds of the clock that counts suspensions.
    """

    asked_at: float
    version: Version


ConfirmationInput = ConfirmationTick | LeaderChanged | VersionRead
ConfirmationOutput = VersionReadRequest | LeadershipConfirmed
