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

What was running in most crashes is refused, and then explains them: whatever
only ran beside it is not suspected for them any more.
"""

from collections import deque
from collections.abc import Collection, Iterable
from typing import Final, NamedTuple, Self

from hornbeamdeck.scheduling.answer_history import AnswerHistory
from hornbeamdeck.scheduling.crash_evidence import (
    POISON_CRASHES,
    Evidence,
    Sighting,
)
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.wire import Enqueue, RunEnd, Suspect

__all__ = ('POISON_CRASHES', 'EngineCrashTracker', 'TrackedRun')

# One crash fails runs and refuses connections within this time.
SAME_CRASH_MS: Final = 2500
# An engine crashes as it begins to write. A run that has written for this long
# did not cause its crash.
MIN_WRITTEN_MS: Final = 500
RETENTION_MS: Final = 600_000
MAX_SUSPECTS: Final = 2000
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


class EngineCrashTracker:
    """Finds requests and parts of prompts that crash engines."""

    def __init__(self) -> None:
        """Start without suspects."""
        self.parts = AnswerHistory()
        # Whether something is refused that waiting requests may have.
        self.has_new_verdict = False
        self._answers = AnswerHistory()
        self._failed_runs: dict[str, deque[_FailedRun]] = {}
        self._crashes = 0
        # By fingerprint of a request, or by id of a part after `PART_PREFIX`.
        self._suspects: dict[str, Evidence] = {}

    def crash_count(self, suspect: str, now: float) -> int:
        """Return the number of crashes in turn that count against a suspect."""
        return self._evidence(suspect, now).crashes_in_turn

    def is_confirmed_poison(self, suspect: str, now: float) -> bool:
        """Return whether a suspect is to be refused."""
        return self._evidence(suspect, now).is_confirmed

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
            for suspect in self._suspects
            if self.is_confirmed_poison(suspect, now)
        ]

    def add_confirmed(self, suspect: str, now: float) -> None:
        """Refuse a suspect that the fleet was known to refuse before."""
        self.merge_crash_count(suspect, POISON_CRASHES, now)

    def merge_crash_count(self, suspect: str, crashes: int, now: float) -> None:
        """Apply the number of crashes that another owner has counted."""
        known = self._evidence(suspect, now)
        # It may have been counted here and come back.
        more = max(crashes - known.crashes_in_turn, 0)
        merged = known._replace(
            reported=known.reported + more,
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
            evidence = self._evidence(suspect, now)
            crashes = min(evidence.crashes_in_turn, POISON_CRASHES - 1)
            if evidence.is_confirmed:
                crashes = POISON_CRASHES
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
            self._suspects.pop(suspect, None)

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
        if any(self.must_refuse(failed.run, now) for failed in failed_runs):
            # The others only ran beside it.
            return []
        crashed_ms = min((failed.at_ms for failed in failed_runs), default=now)
        self._crashes += 1
        seen: dict[str, None] = {}
        for _, run in failed_runs:
            sighting = Sighting(
                self._crashes, crashed_ms, run.started_ms, run.fingerprint
            )
            for suspect in self._unproved(run, now):
                evidence = self._evidence(suspect, now)
                self._record(suspect, evidence.add(sighting), now)
                seen[suspect] = None
        self._refuse_culprits(seen, now)
        return sorted(seen.keys() & self._suspects.keys())

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

    def _refuse_culprits(self, seen: Iterable[str], now: float) -> None:
        """Refuse what has enough evidence, one after another."""
        candidates = list(seen)
        while candidates:
            candidates = [
                suspect
                for suspect in candidates
                if _is_proved(suspect, self._evidence(suspect, now))
            ]
            if candidates:
                self._refuse(self._likeliest(candidates, now), now)

    def _likeliest(self, candidates: list[str], now: float) -> str:
        """Return the suspect that explains most.

        Parts that always come together were running in the same crashes; sound
        requests have the more common ones. Of a request and a part, refusing
        the request turns away fewer sound ones.
        """
        return max(
            reversed(candidates),
            key=lambda suspect: (
                self._evidence(suspect, now).crashes,
                not _is_part(suspect),
                -self.parts.requests(suspect.removeprefix(PART_PREFIX)),
            ),
        )

    def _refuse(self, culprit: str, now: float) -> None:
        """Refuse a suspect; what ran beside it is not suspected any more.

        Requests that ran together each time are all refused: nothing tells
        them apart, and few callers are turned away by it.
        """
        explained = self._evidence(culprit, now).crash_numbers
        refused = {culprit: self._evidence(culprit, now)}
        if not _is_part(culprit):
            refused |= {
                suspect: evidence
                for suspect, evidence in self._suspects.items()
                if evidence.crash_numbers == explained
                and not _is_part(suspect)
                and _is_proved(suspect, evidence)
            }
        self._suspects = _drop_explained(self._suspects, explained, culprit)
        for suspect, evidence in refused.items():
            confirmed = evidence._replace(is_confirmed=True)
            self._record(suspect, confirmed, now)

    def _evidence(self, suspect: str, now: float) -> Evidence:
        evidence = self._suspects.get(suspect)
        if evidence is None or evidence.expires_ms < now:
            return Evidence()
        return evidence

    def _record(self, suspect: str, evidence: Evidence, now: float) -> None:
        """Keep evidence from now on, as the most recent one."""
        self.has_new_verdict = self.has_new_verdict or evidence.is_confirmed
        self._suspects.pop(suspect, None)
        self._suspects[suspect] = evidence._replace(
            expires_ms=now + RETENTION_MS
        )
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.pop(_least_important(self._suspects))


def _name_part(part_id: str) -> str:
    return f'{PART_PREFIX}{part_id}'


def _is_part(suspect: str) -> bool:
    return suspect.startswith(PART_PREFIX)


def _is_proved(suspect: str, evidence: Evidence) -> bool:
    """Return whether a suspect that is not refused yet is to be refused."""
    is_proof = evidence.is_proof(is_part=_is_part(suspect))
    return is_proof and not evidence.is_confirmed


def _drop_explained(
    suspects: dict[str, Evidence], explained: Collection[int], culprit: str
) -> dict[str, Evidence]:
    """Return the suspects without the crashes that a culprit explains."""
    left = {
        suspect: evidence.without(explained, culprit)
        for suspect, evidence in suspects.items()
    }
    return {
        suspect: evidence
        for suspect, evidence in left.items()
        if evidence.is_confirmed or evidence.reported or evidence.sightings
    }


def _least_important(suspects: dict[str, Evidence]) -> str:
    """Return the oldest suspect, one that is not refused if any."""
    unconfirmed = (
        suspect
        for suspect, evidence in suspects.items()
        if not evidence.is_confirmed
    )
    return next(unconfirmed, next(iter(suspects)))


def _suspects_of(run: TrackedRun) -> list[str]:
    """Return all that may have caused a crash under a run."""
    return [run.fingerprint, *map(_name_part, run.part_ids)]
