"""Until when the store was known to list each incarnation of an engine.

What the store lists is evidence that an engine renews its entry, and so that
its incarnation runs. Entries that are retained after an outage, or that a
restored store lists again, are no evidence: nothing has renewed them.
"""

import math
from collections.abc import Mapping
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
        self._listed: Mapping[str, Engine] = {}
        self._past_until_ms: dict[tuple[str, int], float] = {}
        # Incarnations that were listed at two versions: since when at the last.
        self._evident_again_ms: dict[tuple[str, int], float] = {}

    def record_confirmed(self, confirmed_ms: float) -> None:
        """Record when the current list was last confirmed."""
        if confirmed_ms <= self._confirmed_ms:
            return
        known_ms = self._confirmed_ms
        self._confirmed_ms = confirmed_ms
        # An outage may have ended right before the first confirmation, too.
        if confirmed_ms - known_ms > OUTAGE_MS:
            self._require(confirmed_ms + RETENTION_MS)

    def record_restored(self, restored_ms: float) -> None:
        """Record that the store was restored from an older copy."""
        self._require(restored_ms + GONE_RETENTION_MS)

    def record_replaced(
        self, engines: Mapping[str, Engine], now: float
    ) -> None:
        """Record the incarnations of a list that another one replaces."""
        for name, engine in self._listed.items():
            following = engines.get(name)
            key = (name, engine.born_ms)
            if following is None or following.born_ms != engine.born_ms:
                _put(self._past_until_ms, key, self._confirmed_ms)
            elif following.version != engine.version:
                # The start is not stated, so an earlier one is not known apart.
                _put(self._evident_again_ms, key, now)
        self._listed = engines

    def until_ms(self, name: str, born_ms: int, since_ms: float) -> float:
        """Return when the store was last confirmed to list an incarnation.

        :returns: minus infinity if it was never listed, or if the store was
            away or restored after a given time.
        """
        key = (name, born_ms)
        evident_ms = max(
            self._evident_from_ms, self._evident_again_ms.get(key, -math.inf)
        )
        if since_ms < evident_ms:
            return -math.inf
        listed = self._listed.get(name)
        if listed is not None and listed.born_ms == born_ms:
            return self._confirmed_ms
        return self._past_until_ms.get(key, -math.inf)

    def _require(self, evident_from_ms: float) -> None:
        self._evident_from_ms = max(self._evident_from_ms, evident_from_ms)


def _put(
    times_ms: dict[tuple[str, int], float],
    incarnation: tuple[str, int],
    time_ms: float,
) -> None:
    """Put a time last, and drop the oldest."""
    times_ms.pop(incarnation, None)
    times_ms[incarnation] = time_ms
    while len(times_ms) > MAX_PAST_INCARNATIONS:
        times_ms.pop(next(iter(times_ms)))
