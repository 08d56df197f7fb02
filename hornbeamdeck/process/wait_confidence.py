"""How far an expected wait can be trusted, learned from how waits ended.

Load pattern: what waits is overtaken by more urgent requests that come later,
and an engine that is free may not suit. So an expected wait is too short just
when load is at its worst, and many would wait in vain. Each that does lowers
the trust in the waits of its kind, each that is served in time and the time
that passes raise it again.
"""

from typing import Final

from hornbeamdeck.process.request_rank import Rank

__all__ = ('WaitConfidence',)

# What one wait in vain takes away, and one that ended well gives back: at
# about one in eight in vain the two are even.
IN_VAIN: Final = 0.85
IN_TIME: Final = 0.02
# What a second gives back: a burst is over after some seconds, and where
# nobody is let in to wait nothing else is learned.
PER_MS: Final = 0.0001
LEAST: Final = 0.05


class WaitConfidence:
    """A factor on allowed waits for each rank of requests."""

    def __init__(self) -> None:
        """Trust every expectation."""
        self._factors: dict[Rank, float] = {}
        self._updated_ms = 0.0

    def factor(self, rank: Rank, now: float) -> float:
        """Tell how much of an allowed wait is to be used, up to 1."""
        self._recover(now)
        return self._factors.get(rank, 1.0)

    def note_in_vain(self, rank: Rank, now: float) -> None:
        """Take in that a request waited and was not served."""
        factor = self.factor(rank, now) * IN_VAIN
        self._factors[rank] = max(factor, LEAST)

    def note_in_time(self, rank: Rank, now: float) -> None:
        """Take in that a request waited and was started in time."""
        self._factors[rank] = min(self.factor(rank, now) + IN_TIME, 1.0)

    def _recover(self, now: float) -> None:
        gained = max(now - self._updated_ms, 0) * PER_MS
        self._updated_ms = now
        for rank, factor in self._factors.items():
            self._factors[rank] = min(factor + gained, 1.0)
