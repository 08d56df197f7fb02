"""The store's list of engines, with entries retained across store outages.

During a store outage, engines can't renew their entries, so the entries
expire. After the outage, a list without them does not mean that the engines
are down: running engines register again within about two seconds. If the list
were applied as it is, a fleet of healthy engines would get no work.

A store that was restored from an older copy lists what it listed then. Engines
that it lacks are retained in the same way. Engines that it lists again although
they were leaving or gone get no work.
"""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.store.store_interface import EngineChange

__all__ = ('StoreEngineList',)

# After an outage of the store, engines whose entries expired register again
# within this time.
RETENTION_MS: Final = 2000
# If the fleet's last freshness confirmation is older than this, the store is
# taken to have been down. An engine's entry expires after three missed writes,
# so no entry expires in a shorter outage. A confirmation from a peer that
# reads the store is rarely older than half of this.
OUTAGE_MS: Final = 2000
# An engine that is gone does not renew the entry that a restored store lists
# again, so the entry expires within this time.
GONE_RETENTION_MS: Final = 10_000


NOTHING_GONE: Final[Mapping[str, int]] = MappingProxyType({})


class StoreEngineList:
    """The store's engine entries, and those retained after an outage."""

    def __init__(self) -> None:
        """Start without entries."""
        self._entries: dict[str, Engine] = {}
        self._retained: dict[str, Engine] = {}
        self._recovered_ms = -math.inf
        # Engines that are listed although they were gone: since when.
        self._gone_since_ms: dict[str, float] = {}

    def apply_list(
        self,
        listed: Iterable[EngineChange],
        current: Mapping[str, Engine],
        *,
        gone: Mapping[str, int] = NOTHING_GONE,
        restored_ms: float = -math.inf,
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
        :param gone: engines that were removed before the store was restored:
            when each was started, by name.
        :param restored_ms: when the fleet first listed what the store holds
            since then.
        :param confirmation_age_ms: age of the fleet's last confirmation that
            `current` matched the store.
        """
        self._recovered_ms = max(self._recovered_ms, restored_ms)
        if confirmation_age_ms > OUTAGE_MS:
            self._recovered_ms = now
        self._entries = {
            change.name: _with_notice(change.engine, current.get(change.name))
            for change in listed
            if change.engine is not None
        }
        self._gone_since_ms = {
            listed_name: self._gone_since_ms.get(listed_name, now)
            for listed_name, engine in self._entries.items()
            if gone.get(listed_name) == engine.born_ms
        }
        for missing in current.keys() - self._entries.keys():
            self._retain(current[missing], now)

    def apply_changes(
        self, changes: Iterable[EngineChange], now: float
    ) -> None:
        """Apply the changes that a watch returned."""
        for change in changes:
            previous = self._entries.pop(change.name, None)
            was_gone = self._gone_since_ms.pop(change.name, None) is not None
            if change.engine is not None:
                self._entries[change.name] = _with_notice(
                    change.engine, previous
                )
            elif previous is not None and not was_gone:
                self._retain(previous, now)

    def usable_engines(self, now: float) -> dict[str, Engine]:
        """Return the engines that may get work, by name."""
        if now - self._recovered_ms > RETENTION_MS:
            self._retained.clear()
        for name in self._entries:
            self._retained.pop(name, None)
        hidden = {
            gone
            for gone, since_ms in self._gone_since_ms.items()
            if now - since_ms <= GONE_RETENTION_MS
        }
        usable = {**self._retained, **self._entries}
        return {
            engine.name: engine
            for engine in usable.values()
            if engine.name not in hidden
        }

    def _retain(self, engine: Engine, now: float) -> None:
        if now - self._recovered_ms <= RETENTION_MS and not engine.is_draining:
            self._retained[engine.name] = engine


def _with_notice(engine: Engine, previous: Engine | None) -> Engine:
    """Return an engine as leaving if the same incarnation has left before.

    An incarnation that leaves does not come back. An entry that calls it ready
    is older than its notice, which a restored store has lost.
    """
    if (
        previous is not None
        and previous.is_draining
        and previous.born_ms == engine.born_ms
    ):
        return engine._replace(is_draining=True)
    return engine
