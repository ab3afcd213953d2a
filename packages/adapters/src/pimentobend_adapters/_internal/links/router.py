"""Dispatch received frames by kind."""

from collections.abc import Callable

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.exceptions import PimentobendError

FrameHandler = Callable[[Frame], None]


class FrameRouter(Outlet[Frame]):
    """Calls the handler of each frame's kind; reports errors instead of raising."""

    def __init__(self, on_fault: Callable[[PimentobendError], None]) -> None:
        self._handlers: dict[str, FrameHandler] = {}
        self._on_fault = on_fault

    def register(self, kind: str, handler: FrameHandler) -> None:
        """Call a function for all frames of a kind."""
        self._handlers[kind] = handler

    def put(self, message: Frame) -> None:
        """Pass a frame to the handler of its kind."""
        handler = self._handlers.get(message.kind)
        if handler is None:
            self._on_fault(FrameError("unknown kind of frame", context=message.kind))
            return
        try:
            handler(message)
        except PimentobendError as error:
            self._on_fault(error)
