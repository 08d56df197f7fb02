"""Engines as the store lists them, through the store's outages.

While the store is down, engines can't renew their entries and those lapse. On
its return a list without them says nothing of the engines: whoever lives is
back on it within about two seconds. Taken at its word it would leave a fleet
of healthy engines without work.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from hornbeamdeck.process.engine_directory import Engine
from hornbeamdeck.process.store_access import EngineChange

__all__ = ('EngineBook',)

# An entry that lapsed is back within this time of the store's return.
RETURN_MS: Final = 2000


class EngineBook:
    """The entries of the store, and those that are missed for a moment."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, Engine] = {}
        self._missed: dict[str, Engine] = {}
        self._return_ms = -math.inf
        self._is_down = False

    def note_trouble(self) -> None:
        """Note that the store did not answer."""
        self._is_down = True

    def replace(
        self,
        listed: Iterable[EngineChange],
        known: Mapping[str, Engine],
        now: float,
    ) -> None:
        """Take over a whole list.

        :param known: the engines that were in use until now.
        """
        self._note_answer(now)
        before = {**known, **self._entries}
        self._entries = {
            change.name: change.engine
            for change in listed
            if change.engine is not None
        }
        for name in before.keys() - self._entries.keys():
            self._miss(before[name], now)

    def change(self, changes: Iterable[EngineChange], now: float) -> None:
        """Take over what a watch has seen."""
        self._note_answer(now)
        for change in changes:
            before = self._entries.pop(change.name, None)
            if change.engine is not None:
                self._entries[change.name] = change.engine
            elif before is not None:
                self._miss(before, now)

    def engines(self, now: float) -> dict[str, Engine]:
        """List the engines to be used."""
        if now - self._return_ms > RETURN_MS:
            self._missed.clear()
        for name in self._entries:
            self._missed.pop(name, None)
        return {**self._missed, **self._entries}

    def _note_answer(self, now: float) -> None:
        if self._is_down:
            self._is_down = False
            self._return_ms = now

    def _miss(self, engine: Engine, now: float) -> None:
        if now - self._return_ms <= RETURN_MS and not engine.is_leaving:
            self._missed[engine.name] = engine
