"""Proof that what a process holds is still what the store holds.

A key that was taken away must be dead everywhere within a bound, also on an
instance that is cut off and hears nothing. So a proof counts only from the
moment at which its question was sent, on a clock that runs through suspension,
and a keyed request is served only while the proof is young enough.
"""

import math
from typing import Final

__all__ = ('Freshness',)

# Versions that follow each other faster than a process adopts them.
REMEMBERED: Final = 16


class Freshness:
    """The youngest proof of each of the latest versions."""

    def __init__(self) -> None:
        """Start without proof."""
        self._confirmed_ms: dict[int, float] = {}

    @property
    def newest_version(self) -> int:
        """Newest version that any proof spoke of; 0: none did."""
        return max(self._confirmed_ms, default=0)

    def confirm(self, version: int, asked_ms: float) -> None:
        """Note that a version was the newest when somebody asked.

        :param asked_ms: when the question was sent, on this process's clock.
        """
        known_ms = self._confirmed_ms.get(version, -math.inf)
        self._confirmed_ms[version] = max(known_ms, asked_ms)
        if len(self._confirmed_ms) > REMEMBERED:
            self._confirmed_ms.pop(min(self._confirmed_ms))

    def confirmed_ms(self, version: int) -> float:
        """Tell up to when nothing newer than a version can have been stored.

        Whoever holds a version holds all that was in force before it, so the
        proofs of older ones count for it; those of newer ones do not.
        """
        return max(
            (
                asked_ms
                for proved, asked_ms in self._confirmed_ms.items()
                if proved <= version
            ),
            default=-math.inf,
        )

    def age_ms(self, version: int, now: float) -> float:
        """Tell how old the proof for a version is."""
        return now - self.confirmed_ms(version)
