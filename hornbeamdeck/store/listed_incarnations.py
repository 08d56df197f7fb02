"""Until when the store was known to list each incarnation of an engine.

What the store lists is evidence that an engine renews its entry, and so that
its incarnation runs. Entries that are retained after an outage, or that a
restored store lists again, are no evidence: nothing has renewed them.
"""

import math
from collections.abc import Iterable
from typing import Final

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.store.store_engine_list import (
    GONE_RETENTION_MS,
    OUTAGE_MS,
    RETENTION_MS,
)

__all__ = ('ListedIncarnations',)

# Incarnations that are no longer listed; the oldest are dropped first.
MAX_PAST_INCARNATIONS: Final = 2000


class ListedIncarnations:
    """When the list was confirmed, and past incarnations of engines."""

    def __init__(self) -> None:
        """Start without a list."""
        self._confirmed_ms = -math.inf
        # Lists confirmed before this time may hold entries that are retained.
        self._evident_from_ms = -math.inf
        self._past_until_ms: dict[tuple[str, int], float] = {}

    def record_confirmed(self, confirmed_ms: float) -> None:
        """Record when the current list was last confirmed."""
        if confirmed_ms <= self._confirmed_ms:
            return
        known_ms = self._confirmed_ms
        self._confirmed_ms = confirmed_ms
        if known_ms > -math.inf and confirmed_ms - known_ms > OUTAGE_MS:
            self._require(confirmed_ms + RETENTION_MS)

    def record_restored(self, restored_ms: float) -> None:
        """Record that the store was restored from an older copy."""
        self._require(restored_ms + GONE_RETENTION_MS)

    def record_past(self, engines: Iterable[Engine]) -> None:
        """Record incarnations that the next list does not name."""
        for engine in engines:
            key = (engine.name, engine.born_ms)
            self._past_until_ms.pop(key, None)
            self._past_until_ms[key] = self._confirmed_ms
        while len(self._past_until_ms) > MAX_PAST_INCARNATIONS:
            self._past_until_ms.pop(next(iter(self._past_until_ms)))

    def until_ms(
        self, listed: Engine | None, name: str, born_ms: int, since_ms: float
    ) -> float:
        """Return when the store was last confirmed to list an incarnation.

        :param listed: the engine of that name in the current list, if any.
        :returns: minus infinity if it was never listed, or if the store was
            away or restored after a given time.
        """
        if since_ms < self._evident_from_ms:
            return -math.inf
        if listed is not None and listed.born_ms == born_ms:
            return self._confirmed_ms
        return self._past_until_ms.get((name, born_ms), -math.inf)

    def _require(self, evident_from_ms: float) -> None:
        self._evident_from_ms = max(self._evident_from_ms, evident_from_ms)
