"""Health of an engine, judged by the outcomes of its runs.

Load pattern: an engine fails part of its requests while its health check
passes, or is unreachable from one availability zone only. The outcomes of each
zone count for that zone only. An engine that fails gets fewer requests, and
real requests probe whether it has recovered, one at a time if it could not be
reached.
"""

from typing import Final

from hornbeamdeck.scheduling.engine_witnesses import EngineWitnesses
from hornbeamdeck.wire import RunEnd

__all__ = ('EngineHealth',)

# Backoff after an engine could not be reached; doubled after each failure.
INITIAL_BACKOFF_MS: Final = 300.0
MAX_BACKOFF_MS: Final = 4000.0
# An engine that rejected a request is briefly full with other work.
REJECTED_BACKOFF_MS: Final = 40.0
# If another engine responds at its address, the engine no longer exists. The
# list of engines will show this soon.
REPLACED_BACKOFF_MS: Final = 3000.0

# Weight of one outcome in the failure rate, and the half-life of the rate, so
# that an engine that has recovered gets requests again.
FAILURE_WEIGHT: Final = 0.125
FAILURE_HALF_LIFE_MS: Final = 3000.0
HALF: Final = 0.5

_REACHED: Final = frozenset((RunEnd.ANSWERED, RunEnd.ERRORED))
_FAILURES: Final = frozenset(
    (
        RunEnd.FAILED,
        RunEnd.SILENT,
        RunEnd.REJECTED,
        RunEnd.ERRORED,
        RunEnd.NOT_DISPATCHED,
    ),
)


class _ZoneHealth:
    """Failures of one engine as seen from one availability zone."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.updated_ms = 0.0
        self.backoff_until_ms = 0.0
        self.backoff_ms = 0.0

    def failure_rate(self, now: float) -> float:
        """Return the recent failure rate, which decays with time."""
        age_ms = max(now - self.updated_ms, 0)
        return float(self.rate * HALF ** (age_ms / FAILURE_HALF_LIFE_MS))

    def record(self, outcome: float, now: float) -> None:
        decayed = self.failure_rate(now)
        self.rate = decayed + FAILURE_WEIGHT * (outcome - decayed)
        self.updated_ms = now

    def start_backoff(self, first_ms: float, now: float) -> None:
        if now < self.backoff_until_ms:
            return
        self.backoff_ms = min(
            max(self.backoff_ms * 2, first_ms), MAX_BACKOFF_MS
        )
        self.backoff_until_ms = now + self.backoff_ms


class EngineHealth:
    """Failures of one engine, by availability zone of the ingress."""

    def __init__(self) -> None:
        """Start healthy."""
        self.witnesses = EngineWitnesses()
        self._zones: dict[str, _ZoneHealth] = {}

    def is_in_backoff(self, zone: str, now: float) -> bool:
        """Return whether requests from a zone must not use the engine now."""
        health = self._zones.get(zone)
        return health is not None and now < health.backoff_until_ms

    def is_unproved(self, zone: str) -> bool:
        """Return whether the last request from a zone could not reach it."""
        health = self._zones.get(zone)
        return health is not None and health.backoff_ms > 0

    def record_first_token(self, zone: str) -> None:
        """Record that a request from a zone has reached the engine."""
        health = self._zones.get(zone)
        if health is not None:
            health.backoff_ms = 0.0

    def zones_in_backoff(self, now: float) -> list[str]:
        """List the zones whose requests must not use the engine now."""
        return [zone for zone in self._zones if self.is_in_backoff(zone, now)]

    def failure_rate(self, zone: str, now: float) -> float:
        """Return the recent failure rate of requests from a zone."""
        health = self._zones.get(zone)
        return health.failure_rate(now) if health else 0.0

    def record_run_end(self, zone: str, end: RunEnd, now: float) -> None:
        """Update the zone's failure rate and backoff by how a run ended."""
        health = self._zones.setdefault(zone, _ZoneHealth())
        if end in _REACHED:
            health.backoff_ms = 0.0
        if end == RunEnd.ANSWERED:
            health.record(0, now)
        if end in _FAILURES:
            health.record(1, now)
        if end == RunEnd.NOT_DISPATCHED:
            health.start_backoff(INITIAL_BACKOFF_MS, now)
        if end == RunEnd.REJECTED:
            health.backoff_until_ms = max(
                health.backoff_until_ms, now + REJECTED_BACKOFF_MS
            )
        if end == RunEnd.MISDIRECTED:
            health.start_backoff(REPLACED_BACKOFF_MS, now)
