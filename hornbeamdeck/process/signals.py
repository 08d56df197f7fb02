"""Sets an event when the process receives a stop signal."""

import signal
from typing import Final

from curio import UniversalEvent

__all__ = ('stop_event',)

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> UniversalEvent:
    """Return an event that SIGTERM and SIGINT set; only in the main thread."""
    stop_requested = UniversalEvent()

    def _on_signal(_number: int, _frame: object) -> None:
        stop_requested.set()

    for number in STOP_SIGNALS:
        signal.signal(number, _on_signal)
    return stop_requested
