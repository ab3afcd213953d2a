"""Hand frames to those who take their kind."""

from collections.abc import Callable

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.exceptions import PimentobendError

TakeFrame = Callable[[Frame], None]


class FrameRouter(Outlet[Frame]):
    """Route each frame by its kind; bad ones are reported, never raised."""

    def __init__(self, on_fault: Callable[[PimentobendError], None]) -> None:
        self._takers: dict[str, TakeFrame] = {}
        self._on_fault = on_fault

    def register(self, kind: str, take: TakeFrame) -> None:
        """Give all frames of a kind to a function."""
        self._takers[kind] = take

    def put(self, message: Frame) -> None:
        """Hand a frame to the taker of its kind."""
        take = self._takers.get(message.kind)
        if take is None:
            self._on_fault(FrameError("unknown kind of frame", context=message.kind))
            return
        try:
            take(message)
        except PimentobendError as error:
            self._on_fault(error)
