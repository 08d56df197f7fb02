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
# The store was away if no instance has heard of it for so long. Engines lapse
# after three missed writes, so a shorter silence lets none lapse; a proof that
# comes from a reader among the peers is rarely older than half of this.
AWAY_MS: Final = 2000


class EngineBook:
    """The entries of the store, and those that are missed for a moment."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, Engine] = {}
        self._missed: dict[str, Engine] = {}
        self._return_ms = -math.inf

    def replace(
        self,
        listed: Iterable[EngineChange],
        known: Mapping[str, Engine],
        *,
        proof_age_ms: float,
        now: float,
    ) -> None:
        """Take over a whole list.

        The store turns some instances away and serves others. To one that was
        turned away its return looks like the end of an outage, and what left
        meanwhile like what lapsed; kept for a moment, engines that have left
        would get work again. So only what the whole fleet has heard counts:
        the engines that its readers told of, and the age of their last proof.

        :param known: the engines that were in use until now.
        :param proof_age_ms: how old the fleet's last proof is that `known`
            was current.
        """
        if proof_age_ms > AWAY_MS:
            self._return_ms = now
        self._entries = {
            change.name: change.engine
            for change in listed
            if change.engine is not None
        }
        for name in known.keys() - self._entries.keys():
            self._miss(known[name], now)

    def change(self, changes: Iterable[EngineChange], now: float) -> None:
        """Take over what a watch has seen."""
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

    def _miss(self, engine: Engine, now: float) -> None:
        if now - self._return_ms <= RETURN_MS and not engine.is_leaving:
            self._missed[engine.name] = engine
