"""Request limits that engines state during a replay, and how they are kept."""

from collections import defaultdict
from typing import Final

from bench.replay_load import Limit

__all__ = ('StatedLimits',)

# An engine tolerates, in any window of this length that ends at least
# `SETTLE_MS` after it first stated its limit, `TOLERANCE` times what the limit
# allows and `SLACK` requests more.
WINDOW_MS: Final = 4000.0
SETTLE_MS: Final = 3000.0
TOLERANCE: Final = 1.5
SLACK: Final = 5
MS_PER_S: Final = 1000.0


class StatedLimits:
    """Tells what engines state, and counts the requests that reach them."""

    def __init__(self, limits: tuple[Limit, ...]) -> None:
        """Set the limits of the whole replay."""
        self._limits = limits
        self._arrivals_ms: dict[str, list[float]] = defaultdict(list)

    def stated_per_s(self, engine: str, now: float) -> float | None:
        """Return what a response of an engine states now."""
        for limit in self._limits:
            begin_ms = limit.at_s * MS_PER_S
            end_ms = begin_ms + limit.for_s * MS_PER_S
            if engine == f'e{limit.engine}' and begin_ms <= now < end_ms:
                return limit.per_s
        return None

    def record_arrival(self, engine: str, now: float) -> None:
        """Count a request that reaches an engine."""
        self._arrivals_ms[engine].append(now)

    def largest_excess(self) -> float:
        """Return by how many requests an engine's tolerance was exceeded most.

        Less than zero: it never was.
        """
        return max(map(self._excess, self._limits), default=-float('inf'))

    def _excess(self, limit: Limit) -> float:
        arrivals_ms = self._arrivals_ms[f'e{limit.engine}']
        settled_ms = limit.at_s * MS_PER_S + SETTLE_MS
        end_ms = (limit.at_s + limit.for_s) * MS_PER_S
        tolerated = TOLERANCE * limit.per_s * WINDOW_MS / MS_PER_S + SLACK
        counts = [
            sum(last_ms - WINDOW_MS < each <= last_ms for each in arrivals_ms)
            for last_ms in arrivals_ms
            if settled_ms <= last_ms < end_ms
        ]
        return max(counts, default=0) - tolerated
