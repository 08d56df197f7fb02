"""Whether an engine can be trusted with a request, judged by outcomes.

Load pattern: an engine fails part of its requests while its health check is
good, or is cut off from one availability zone only. Each zone's outcomes count
for that zone; an engine is eased off and tried again with real work.
"""

from typing import Final

from hornbeamdeck.wire import RunEnd

__all__ = ('EngineHealth',)

# An engine that could not be reached rests this long, then twice as long.
FIRST_REST_MS: Final = 300.0
MAX_REST_MS: Final = 4000.0
# One that turned a request away is full by other work for a moment.
FULL_REST_MS: Final = 40.0
# An engine at the address of another is gone; the list will say so soon.
GONE_REST_MS: Final = 3000.0

# Share of failures: a failure weighs as an eighth, and half is forgotten in
# this time, so that an engine that has recovered is tried again.
FAILURE_WEIGHT: Final = 0.125
FORGET_MS: Final = 3000.0
HALF: Final = 0.5

_FAULTS: Final = frozenset(
    (RunEnd.FAILED, RunEnd.REJECTED, RunEnd.ERRORED, RunEnd.NOT_DISPATCHED),
)


class _ZoneHealth:
    """Failures of one engine as seen from one availability zone."""

    def __init__(self) -> None:
        self.failing = 0.0
        self.updated_ms = 0.0
        self.rest_until_ms = 0.0
        self.rest_ms = 0.0

    def share(self, now: float) -> float:
        """Tell the recent share of failures, forgotten with time."""
        age_ms = max(now - self.updated_ms, 0)
        return float(self.failing * HALF ** (age_ms / FORGET_MS))

    def note(self, outcome: float, now: float) -> None:
        kept = self.share(now)
        self.failing = kept + FAILURE_WEIGHT * (outcome - kept)
        self.updated_ms = now

    def rest(self, first_ms: float, now: float) -> None:
        if now < self.rest_until_ms:
            return
        self.rest_ms = min(max(self.rest_ms * 2, first_ms), MAX_REST_MS)
        self.rest_until_ms = now + self.rest_ms


class EngineHealth:
    """Failures of one engine, by the zone that saw them."""

    def __init__(self) -> None:
        """Start sound."""
        self._zones: dict[str, _ZoneHealth] = {}

    def is_resting(self, zone: str, now: float) -> bool:
        """Whether requests from a zone are to pass the engine over for now."""
        health = self._zones.get(zone)
        return health is not None and now < health.rest_until_ms

    def failing(self, zone: str, now: float) -> float:
        """Tell the share of requests from a zone that failed lately."""
        health = self._zones.get(zone)
        return health.share(now) if health else 0.0

    def note_end(self, zone: str, end: RunEnd, now: float) -> None:
        """Judge by how a run ended."""
        health = self._zones.setdefault(zone, _ZoneHealth())
        if end == RunEnd.ANSWERED:
            health.rest_ms = 0.0
            health.note(0, now)
        if end in _FAULTS:
            health.note(1, now)
        if end == RunEnd.NOT_DISPATCHED:
            health.rest(FIRST_REST_MS, now)
        if end == RunEnd.REJECTED:
            health.rest_until_ms = max(health.rest_until_ms, now + FULL_REST_MS)
        if end == RunEnd.MISDIRECTED:
            health.rest(GONE_REST_MS, now)
