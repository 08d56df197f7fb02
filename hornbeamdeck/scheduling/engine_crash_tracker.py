"""Detection of requests, and of parts of prompts, that crash engines.

Load pattern: one request crashes each engine that starts it, and its caller
retries it on any instance. Or requests that differ otherwise have a part of
their prompts in common that does. A broken connection alone is no crash: links
reset and responses get lost. Silence is none at all: an engine may stop for a
second and go on with its runs. An engine counts as crashed only if it refuses
connections within a short time after a run broke, for example while it
restarts. Then every run that failed with it may be the cause, unless its
response had long begun. A request that is answered later did not cause the
crash, and neither did any part of its prompt.

Engines also end together, for example when a rack loses power. A run that
began before the previous crash shows nothing new about its request.
"""

import math
from collections import deque
from typing import Final, NamedTuple, Self

from hornbeamdeck.scheduling.answer_history import AnswerHistory
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.wire import Enqueue, RunEnd, Suspect

__all__ = ('POISON_CRASHES', 'EngineCrashTracker', 'TrackedRun')

# A request that was running on this many engines when they crashed is refused.
POISON_CRASHES: Final = 3
# A part is refused only if more than one request with it was running then.
POISON_REQUESTS: Final = 2
# One crash fails runs and refuses connections within this time.
SAME_CRASH_MS: Final = 2500
# An engine crashes as it begins to write. A run that has written for this long
# did not cause its crash.
MIN_WRITTEN_MS: Final = 500
RETENTION_MS: Final = 600_000
MAX_SUSPICIONS: Final = 2000
PART_PREFIX: Final = 'part:'


class TrackedRun(NamedTuple):
    """What a run has in common with other runs.

    :param started_ms: when it was granted; 0: not known.
    :param first_token_at_ms: when its response began; 0: it has not.
    :param part_ids: the parts of its prompt that others may have, too.
    """

    fingerprint: str
    started_ms: float = 0.0
    first_token_at_ms: float = 0.0
    part_ids: tuple[str, ...] = ()

    @classmethod
    def of_request(cls, request: Enqueue) -> Self:
        """Return what a run of a waiting request would have in common."""
        part_ids = tuple(request.shared_parts or ())
        return cls(request.fingerprint, part_ids=part_ids)

    def has_written(self, now: float) -> bool:
        """Return whether its response began some time ago."""
        return (
            self.first_token_at_ms > 0
            and now - self.first_token_at_ms >= MIN_WRITTEN_MS
        )


class _FailedRun(NamedTuple):
    at_ms: float
    run: TrackedRun


class _Suspicion(NamedTuple):
    """Crashes during which a request, or one with a part, was running.

    :param last_ms: when the runs of the last one began to fail; -inf: another
        owner has counted it.
    :param requests: some of the fingerprints of those requests.
    """

    crashes: int = 0
    is_confirmed: bool = False
    expires_ms: float = 0.0
    last_ms: float = -math.inf
    requests: frozenset[str] = frozenset()

    def add_crash(self, run: TrackedRun, crashed_ms: float) -> '_Suspicion':
        """Count a crash unless the run began before the last one."""
        requests = self.requests
        if len(requests) < POISON_REQUESTS:
            requests = requests | {run.fingerprint}
        if run.started_ms < self.last_ms:
            return self._replace(requests=requests)
        return self._replace(
            crashes=self.crashes + 1, last_ms=crashed_ms, requests=requests
        )


class EngineCrashTracker:
    """Counts crashes by the requests and parts of prompts that were running."""

    def __init__(self) -> None:
        """Start without suspicions."""
        self.parts = AnswerHistory()
        # Whether something is refused that waiting requests may have.
        self.has_new_verdict = False
        self._answers = AnswerHistory()
        self._failed_runs: dict[str, deque[_FailedRun]] = {}
        # By fingerprint of a request, or by id of a part after `PART_PREFIX`.
        self._suspicions: dict[str, _Suspicion] = {}

    def crash_count(self, suspect: str, now: float) -> int:
        """Return the number of crashes that count against a suspect."""
        return self._suspicion(suspect, now).crashes

    def is_confirmed_poison(self, suspect: str, now: float) -> bool:
        """Return whether a suspect is to be refused."""
        return self._suspicion(suspect, now).is_confirmed

    def must_refuse(self, run: TrackedRun, now: float) -> bool:
        """Return whether a request, or a part of its prompt, is refused."""
        return any(
            self.is_confirmed_poison(suspect, now)
            for suspect in _suspects_of(run)
        )

    def confirmed(self, now: float) -> list[str]:
        """Return the suspects that are refused."""
        return [
            suspect
            for suspect in self._suspicions
            if self.is_confirmed_poison(suspect, now)
        ]

    def add_confirmed(self, suspect: str, now: float) -> None:
        """Refuse a suspect that the fleet was known to refuse before."""
        self.merge_crash_count(suspect, POISON_CRASHES, now)

    def merge_crash_count(self, suspect: str, crashes: int, now: float) -> None:
        """Apply the number of crashes that another owner has counted."""
        known = self._suspicion(suspect, now)
        merged = known._replace(
            crashes=max(crashes, known.crashes),
            is_confirmed=known.is_confirmed or crashes >= POISON_CRASHES,
        )
        self._record(suspect, merged, now)

    def record_run_end(
        self, engine: Engine, run: TrackedRun, end: RunEnd, now: float
    ) -> list[Suspect]:
        """Record how a run ended.

        :returns: what is now suspected of crashing the engine.
        """
        if end == RunEnd.ANSWERED or run.has_written(now):
            self.record_answer(run, now)
        elif end == RunEnd.FAILED:
            self.record_failed_run(engine.name, run, now)
        if end != RunEnd.NOT_DISPATCHED:
            return []
        return self.record_engine_end(engine, now)

    def record_engine_end(self, engine: Engine, now: float) -> list[Suspect]:
        """Record that an engine refuses connections.

        :returns: what is now suspected of crashing it. The number of crashes
            is below `POISON_CRASHES` for those that are not refused.
        """
        suspects = []
        for suspect in self.record_crash(engine.name, now):
            suspicion = self._suspicion(suspect, now)
            crashes = suspicion.crashes
            if not suspicion.is_confirmed:
                crashes = min(crashes, POISON_CRASHES - 1)
            suspects.append(
                Suspect(
                    cell=engine.service, fingerprint=suspect, crashes=crashes
                )
            )
        return suspects

    def record_answer(self, run: TrackedRun, now: float) -> None:
        """Clear what an engine has answered without crashing."""
        self.parts.record_answer(run.part_ids, now)
        self._answers.record_answer([run.fingerprint], now)
        for suspect in _suspects_of(run):
            self._suspicions.pop(suspect, None)

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

        :returns: the suspects that this crash counts against.
        """
        failed_runs = [
            each
            for each in self._failed_runs.pop(engine, ())
            if each.at_ms >= now - SAME_CRASH_MS
        ]
        runs = [failed.run for failed in failed_runs]
        if any(self.must_refuse(run, now) for run in runs):
            # The others only ran beside it.
            return []
        crashed_ms = min((failed.at_ms for failed in failed_runs), default=now)
        counted: set[str] = set()
        for run in runs:
            counted.update(self._count_against(run, crashed_ms, now))
        for run in runs:
            self._confirm(run, now)
        return sorted(counted & self._suspicions.keys())

    def _count_against(
        self, run: TrackedRun, crashed_ms: float, now: float
    ) -> list[str]:
        """Count a crash against all that a run may have caused it by."""
        counted = []
        for suspect in self._unproved(run, now):
            known = self._suspicion(suspect, now)
            suspicion = known.add_crash(run, crashed_ms)
            self._record(suspect, suspicion, now)
            if suspicion.crashes > known.crashes:
                counted.append(suspect)
        return counted

    def _unproved(self, run: TrackedRun, now: float) -> list[str]:
        """Return what may have caused a crash and was not answered lately."""
        unproved = [
            _name_part(part_id)
            for part_id in run.part_ids
            if not self.parts.is_sound(part_id, now)
        ]
        if not self._answers.is_sound(run.fingerprint, now):
            unproved.append(run.fingerprint)
        return unproved

    def _confirm(self, run: TrackedRun, now: float) -> None:
        """Refuse what has caused enough crashes, one part of a run at most.

        Parts that always come together have the same number of crashes. Sound
        requests have the more common ones.
        """
        known = self._suspicion(run.fingerprint, now)
        if known.crashes >= POISON_CRASHES:
            confirmed = known._replace(is_confirmed=True)
            self._record(run.fingerprint, confirmed, now)
        suspected = [
            part_id
            for part_id in reversed(run.part_ids)
            if self._is_part_proved(part_id, now)
        ]
        if not suspected:
            return
        culprit = min(suspected, key=self.parts.requests)
        for part_id in suspected:
            suspect = _name_part(part_id)
            proved = self._suspicions.pop(suspect)
            if part_id == culprit:
                confirmed = proved._replace(is_confirmed=True)
                self._record(suspect, confirmed, now)

    def _is_part_proved(self, part_id: str, now: float) -> bool:
        suspicion = self._suspicion(_name_part(part_id), now)
        return (
            suspicion.crashes >= POISON_CRASHES
            and len(suspicion.requests) >= POISON_REQUESTS
        )

    def _suspicion(self, suspect: str, now: float) -> _Suspicion:
        suspicion = self._suspicions.get(suspect)
        if suspicion is None or suspicion.expires_ms < now:
            return _Suspicion()
        return suspicion

    def _record(self, suspect: str, suspicion: _Suspicion, now: float) -> None:
        """Keep a suspicion from now on, as the most recent one."""
        self.has_new_verdict = self.has_new_verdict or suspicion.is_confirmed
        self._suspicions.pop(suspect, None)
        self._suspicions[suspect] = suspicion._replace(
            expires_ms=now + RETENTION_MS
        )
        if len(self._suspicions) > MAX_SUSPICIONS:
            self._suspicions.pop(_least_important(self._suspicions))


def _name_part(part_id: str) -> str:
    return f'{PART_PREFIX}{part_id}'


def _least_important(suspicions: dict[str, _Suspicion]) -> str:
    """Return the oldest suspicion, one that is not confirmed if any."""
    unconfirmed = (
        suspect
        for suspect, suspicion in suspicions.items()
        if not suspicion.is_confirmed
    )
    return next(unconfirmed, next(iter(suspicions)))


def _suspects_of(run: TrackedRun) -> list[str]:
    """Return all that may have caused a crash under a run."""
    return [run.fingerprint, *map(_name_part, run.part_ids)]
