"""The store's list of engines, with entries retained across store outages.

During a store outage, engines can't renew their entries, so the entries
expire. After the outage, a list without them does not mean that the engines
are down: running engines register again within about two seconds. If the list
were applied as it is, a fleet of healthy engines would get no work.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from hornbeamdeck.process.store_interface import EngineChange
from hornbeamdeck.scheduling.engine import Engine

__all__ = ('StoreEngineList',)

# After an outage of the store, engines whose entries expired register again
# within this time.
RETENTION_MS: Final = 2000
# If the fleet's last freshness confirmation is older than this, the store is
# taken to have been down. An engine's entry expires after three missed writes,
# so no entry expires in a shorter outage. A confirmation from a peer that
# reads the store is rarely older than half of this.
OUTAGE_MS: Final = 2000


class StoreEngineList:
    """The store's engine entries, and those retained after an outage."""

    def __init__(self) -> None:
        """Start without entries."""
        self._entries: dict[str, Engine] = {}
        self._retained: dict[str, Engine] = {}
        self._recovered_ms = -math.inf

    def apply_list(
        self,
        listed: Iterable[EngineChange],
        current: Mapping[str, Engine],
        *,
        confirmation_age_ms: float,
        now: float,
    ) -> None:
        """Replace all entries by a complete list.

        The store may reject the calls of some instances while it serves
        others. To an instance whose calls were rejected, the first successful
        read looks like the end of an outage, and engines that were removed
        meanwhile look like engines whose entries expired. If these were
        retained, removed engines would get work again. The decision therefore
        uses only what the whole fleet has received: the engines that the
        instances reading the store have reported, and the age of their last
        freshness confirmation.

        :param current: the engines that were in use until now.
        :param confirmation_age_ms: age of the fleet's last confirmation that
            `current` matched the store.
        """
        if confirmation_age_ms > OUTAGE_MS:
            self._recovered_ms = now
        self._entries = {
            change.name: change.engine
            for change in listed
            if change.engine is not None
        }
        for name in current.keys() - self._entries.keys():
            self._retain(current[name], now)

    def apply_changes(
        self, changes: Iterable[EngineChange], now: float
    ) -> None:
        """Apply the changes that a watch returned."""
        for change in changes:
            previous = self._entries.pop(change.name, None)
            if change.engine is not None:
                self._entries[change.name] = change.engine
            elif previous is not None:
                self._retain(previous, now)

    def usable_engines(self, now: float) -> dict[str, Engine]:
        """Return the engines that may get work, by name."""
        if now - self._recovered_ms > RETENTION_MS:
            self._retained.clear()
        for name in self._entries:
            self._retained.pop(name, None)
        return {**self._retained, **self._entries}

    def _retain(self, engine: Engine, now: float) -> None:
        if now - self._recovered_ms <= RETENTION_MS and not engine.is_draining:
            self._retained[engine.name] = engine
