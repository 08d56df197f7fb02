"""Which incarnation of an engine ran at which time.

Failure: an engine starts again under its name while its entry in the list
still describes its predecessor, because the store is away or the engine is cut
off from it. What the entry says, the version above all, is then wrong.

There are two kinds of evidence. An engine states the start of its incarnation
when it is asked. And an entry that the store goes on to list was renewed by its
engine, or would have expired.
"""

import math
from collections.abc import Callable
from typing import Final, TypeAlias

__all__ = ('ListedUntil', 'IncarnationBook')

# An entry that its engine does not renew expires within this time.
ENTRY_EXPIRY_MS: Final = 4000.0
# Statements of this many incarnations are kept, the latest ones.
MAX_STATEMENTS: Final = 2000

# Takes an engine's name, the start of an incarnation and a time. Returns when
# the store was last known to list that incarnation; minus infinity if it does
# not, or if the store was away for a while since that time.
ListedUntil: TypeAlias = Callable[[str, int, float], float]


class IncarnationBook:
    """Evidence for the incarnations of engines, as this process has it."""

    def __init__(self, listed_until_ms: ListedUntil) -> None:
        """Start without statements."""
        self._listed_until_ms = listed_until_ms
        # When an incarnation was asked that has stated its start, by name and
        # start; the latest last.
        self._asked_ms: dict[tuple[str, int], float] = {}
        # The start that an engine has stated last, and when it was asked.
        self._latest: dict[str, tuple[float, int]] = {}

    def record_statement(
        self, engine: str, born_ms: int, asked_ms: float
    ) -> None:
        """Record that an engine has stated the start of its incarnation.

        :param asked_ms: when it was asked, on this process's clock.
        """
        key = (engine, born_ms)
        known_ms = self._asked_ms.pop(key, asked_ms)
        self._asked_ms[key] = max(known_ms, asked_ms)
        while len(self._asked_ms) > MAX_STATEMENTS:
            self._asked_ms.pop(next(iter(self._asked_ms)))
        latest = (asked_ms, born_ms)
        self._latest[engine] = max(latest, self._latest.pop(engine, latest))
        while len(self._latest) > MAX_STATEMENTS:
            self._latest.pop(next(iter(self._latest)))

    def is_refuted(
        self, engine: str, born_ms: int, connected_ms: float
    ) -> bool:
        """Return whether an engine has stated another start since a time.

        It may have run an incarnation then that was never listed.

        :param born_ms: start of the incarnation that was listed before.
        """
        asked_ms, stated_ms = self._latest.get(engine, (-math.inf, born_ms))
        if stated_ms == born_ms or asked_ms < connected_ms:
            return False
        return not self.is_certain(engine, born_ms, connected_ms)

    def is_certain(
        self, engine: str, born_ms: int, connected_ms: float
    ) -> bool:
        """Return whether an engine ran a known incarnation at a time.

        An incarnation that is listed before that time and alive after it also
        ran in between.

        :param born_ms: start of the incarnation that was listed before.
        :param connected_ms: the time; a connection that was established then
            leads to that incarnation.
        """
        asked_ms = self._asked_ms.get((engine, born_ms))
        if asked_ms is not None and asked_ms >= connected_ms:
            return True
        # The entry of an engine that is cut off from the store stays until it
        # expires.
        listed_ms = self._listed_until_ms(engine, born_ms, connected_ms)
        return listed_ms >= connected_ms + ENTRY_EXPIRY_MS
