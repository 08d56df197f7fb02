"""Incarnations of engines that are known to be leaving.

An incarnation that leaves never becomes ready again. A list that calls it ready
lacks the notice: its entry is an older one of a restored store, it is retained
after an outage, or a peer that has not seen the notice sent it.
"""

from collections.abc import Iterable
from typing import Final

from hornbeamdeck.scheduling.engine import Engine

__all__ = ('LeaveNotices',)

# The oldest notices are dropped first.
MAX_NOTICES: Final = 2000


class LeaveNotices:
    """Notices that outlast the entries which held them."""

    def __init__(self) -> None:
        """Start without notices."""
        # Ordered by when the notice was last listed.
        self._leaving: dict[tuple[str, int], None] = {}

    def record(self, engines: Iterable[Engine]) -> None:
        """Record which of the listed engines are leaving."""
        for engine in engines:
            # Without a start, a later incarnation is not known apart.
            if engine.is_draining and engine.born_ms:
                incarnation = (engine.name, engine.born_ms)
                self._leaving.pop(incarnation, None)
                self._leaving[incarnation] = None
        while len(self._leaving) > MAX_NOTICES:
            self._leaving.pop(next(iter(self._leaving)))

    def apply(self, engines: Iterable[Engine]) -> dict[str, Engine]:
        """Return the engines by name, those with a notice as leaving."""
        return {
            engine.name: engine._replace(is_draining=True)
            if (engine.name, engine.born_ms) in self._leaving
            else engine
            for engine in engines
        }
