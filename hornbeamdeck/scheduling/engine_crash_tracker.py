"""Detection of requests that crash the engines that run them.

Load pattern: one request crashes each engine that starts it, and its caller
retries it on any instance. A broken connection alone is no crash: links reset
and responses get lost. Silence is none at all: an engine may stop for a second
and go on with its runs. An engine counts as crashed only if it refuses
connections within a short time after a run broke, for example while it
restarts. Then every run that failed with it may be the cause. A request that is
answered later did not cause the crash.

Engines also end together, for example when a rack loses power. A run that
began before the previous crash shows nothing new about its request.
"""

import math
from collections import deque
from typing import Final, NamedTuple

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.wire import RunEnd, Suspect

__all__ = ('POISON_CRASHES', 'EngineCrashTracker', 'TrackedRun')

# A request that was running on this many engines when they crashed is refused.
POISON_CRASHES: Final = 3
# One crash fails runs and refuses connections within this time.
SAME_CRASH_MS: Final = 2500
RETENTION_MS: Final = 600_000
MAX_TRACKED_REQUESTS: Final = 2000


class TrackedRun(NamedTuple):
    """What a run has in common with other runs.

    :param started_ms: when it was granted; 0: not known.
    """

    fingerprint: str
    started_ms: float = 0.0


class _FailedRun(NamedTuple):
    at_ms: float
    run: TrackedRun


class _Suspicion(NamedTuple):
    """Crashes during which a request was running.

    :param last_ms: when the runs of the last one began to fail; -inf: another
        owner has counted it.
    """

    crashes: int
    expires_ms: float
    last_ms: float = -math.inf


class EngineCrashTracker:
    """Counts crashes by the fingerprint of the requests that were running."""

    def __init__(self) -> None:
        """Start without suspected requests."""
        self._failed_runs: dict[str, deque[_FailedRun]] = {}
        self._suspicions: dict[str, _Suspicion] = {}

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the number of crashes during which a request was running."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_ms < now:
            return 0
        return suspicion.crashes

    def is_confirmed_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is to be refused."""
        return self.crash_count(fingerprint, now) >= POISON_CRASHES

    def confirmed(self, now: float) -> list[str]:
        """Return the requests that are refused."""
        return [
            fingerprint
            for fingerprint in self._suspicions
            if self.is_confirmed_poison(fingerprint, now)
        ]

    def add_confirmed(self, fingerprint: str, now: float) -> None:
        """Refuse a request that the fleet was known to refuse before."""
        self.merge_crash_count(fingerprint, POISON_CRASHES, now)

    def merge_crash_count(
        self, fingerprint: str, crashes: int, now: float
    ) -> None:
        """Apply the number of crashes that another owner has counted."""
        crash_count = max(crashes, self.crash_count(fingerprint, now))
        known = self._suspicions.get(fingerprint, _Suspicion(0, 0))
        self._record(fingerprint, known._replace(crashes=crash_count), now)

    def record_run_end(
        self, engine: Engine, run: TrackedRun, end: RunEnd, now: float
    ) -> list[Suspect]:
        """Record how a run ended.

        :returns: the requests that are now suspected of crashing the engine.
        """
        if end == RunEnd.ANSWERED:
            self.record_answer(run.fingerprint)
        if end == RunEnd.FAILED:
            self.record_failed_run(engine.name, run, now)
        if end != RunEnd.NOT_DISPATCHED:
            return []
        return self.record_engine_end(engine, now)

    def record_engine_end(self, engine: Engine, now: float) -> list[Suspect]:
        """Record that an engine refuses connections.

        :returns: the requests that are now suspected of crashing it.
        """
        return [
            Suspect(
                cell=engine.service,
                fingerprint=fingerprint,
                crashes=self.crash_count(fingerprint, now),
            )
            for fingerprint in self.record_crash(engine.name, now)
        ]

    def record_answer(self, fingerprint: str) -> None:
        """Clear a request that an engine has answered without crashing."""
        self._suspicions.pop(fingerprint, None)

    def record_failed_run(
        self, engine: str, run: TrackedRun, now: float
    ) -> None:
        """Record that a run failed, in case its engine has crashed."""
        failed = self._failed_runs.setdefault(engine, deque())
        failed.append(_FailedRun(now, run))
        while failed[0].at_ms < now - SAME_CRASH_MS:
            failed.popleft()

    def record_crash(self, engine: str, now: float) -> list[str]:
        """Record that an engine can't be reached, so it may have crashed.

        :returns: the fingerprints that this crash counts against.
        """
        failed_runs = [
            each
            for each in self._failed_runs.pop(engine, ())
            if each.at_ms >= now - SAME_CRASH_MS
        ]
        crashed_ms = min((each.at_ms for each in failed_runs), default=now)
        fingerprints = {
            run.fingerprint
            for _, run in failed_runs
            if run.started_ms >= self._last_crash_ms(run.fingerprint)
        }
        for fingerprint in fingerprints:
            crashes = self.crash_count(fingerprint, now) + 1
            suspicion = _Suspicion(crashes, now, crashed_ms)
            self._record(fingerprint, suspicion, now)
        return sorted(fingerprints)

    def _last_crash_ms(self, fingerprint: str) -> float:
        suspicion = self._suspicions.get(fingerprint)
        return -math.inf if suspicion is None else suspicion.last_ms

    def _record(
        self, fingerprint: str, suspicion: _Suspicion, now: float
    ) -> None:
        """Keep a suspicion from now on, as the most recent one."""
        self._suspicions.pop(fingerprint, None)
        self._suspicions[fingerprint] = suspicion._replace(
            expires_ms=now + RETENTION_MS
        )
        if len(self._suspicions) > MAX_TRACKED_REQUESTS:
            self._suspicions.pop(self._least_important())

    def _least_important(self) -> str:
        """Return the oldest suspicion, one that is not confirmed if any."""
        unconfirmed = (
            fingerprint
            for fingerprint, suspicion in self._suspicions.items()
            if suspicion.crashes < POISON_CRASHES
        )
        return next(unconfirmed, next(iter(self._suspicions)))
