"""Judges a new version of a service by its answers.

Load pattern: a small share of the requests runs on engines of the new version.
It may fail a part of them, fail those of one route only, be several times
slower, or become bad later or under load. Meanwhile engines of both versions
crash, turn slow or fail requests of their own. Such a trouble shows on some of
the engines, a bad version on most engines that run it.
"""

import math
from collections import defaultdict
from collections.abc import Iterator
from functools import partial
from typing import Final, NamedTuple

from hornbeamdeck.scheduling.engine_pace import (
    EnginePace,
    common_pace,
    count_slow,
)
from hornbeamdeck.scheduling.sequential_tests import (
    AnswerCounts,
    ExcessTest,
    OddsTest,
    tail_probability,
)

__all__ = ('Answer', 'Verdict', 'VersionComparison')

# Probability with which a good version seems to be worse in a given second.
FALSE_ALARM_RATE: Final = 0.00001
# Probability with which a bad version seems to be good, by all its answers and
# by those of one route. The second is larger since a route has few answers. A
# version that fails a third of a route's requests still seems to be good on
# that route with a probability of 0.002 only.
MISS_RATE: Final = 0.01
ROUTE_MISS_RATE: Final = 0.25
# Log likelihood ratio from which on a version is more likely to be bad than to
# be good, if there is no time left to find out.
MIN_LOG_DOUBT: Final = 1.0
# A route with a smaller share of the answers need not be proved.
MIN_ROUTE_SHARE: Final = 0.1
# Probability with which as many engines of the new version fail requests, if
# engines of both versions fail with the same probability.
FALSE_SPREAD_RATE: Final = 0.005
# An engine counts as failing at this failure rate, or at this many times the
# rate of the old version.
MIN_ENGINE_RATE: Final = 0.05
ENGINE_RATE_RATIO: Final = 2.0
# Engines are judged by the answers of this window and the one before it, so
# that a version which turns bad late is not excused by its first answers. A
# window takes longer where the new version gets few requests.
WINDOW_MS: Final = 4000
MIN_WINDOW_ANSWERS: Final = 30
# Answers by which an engine is judged.
MIN_ENGINE_ANSWERS: Final = 2
# An engine is slow if its fast answers take this many times as long as those
# of the old version's fast engines. The version is slow if more of its engines
# are than by chance: the old version has engines of slow hardware, too.
SLOW_ENGINE_RATIO: Final = 2.0
# It is sound if its own fast engines are not slower by this factor.
SOUND_RATIO: Final = 1.5
# Engines whose speed must be known before, so that not all of them are of slow
# hardware.
MIN_PACED_ENGINES: Final = 6
# The others may get no more requests.
MIN_PACED_SHARE: Final = 0.5
FAST_SHARE: Final = 0.1
STRATUM_MS: Final = 1000
ALL_ROUTES: Final = ''
UNPROVED_SPEED: Final = 'speed'
UNPROVED_TOTAL: Final = 'all answers'


class Answer(NamedTuple):
    """The end of a run that has reached its engine.

    :param is_new: whether its engine has the new version.
    :param pace: time it took, divided by the expected time; 0: not known.
    """

    engine: str
    route: str
    is_new: bool
    is_failure: bool
    pace: float


class Verdict(NamedTuple):
    """What is known of a new version, with the counts that decided it.

    :param reason: why it is bad; empty: it is not known to be.
    :param unproved: what is still to be proved: routes with too few answers or
        too many failures, or the speed.
    :param doubted: a route, or all answers, by which the version is rather bad
        than good; empty: there is none.
    :param answers: the bad ones are failures.
    :param slow: the bad ones are slow for their engine.
    """

    reason: str
    unproved: tuple[str, ...]
    doubted: str
    answers: AnswerCounts
    slow: AnswerCounts

    @property
    def is_proved_good(self) -> bool:
        """Whether the version is known to be as good as the old one."""
        return not self.reason and not self.unproved


class _EngineFailures:
    """Which engines fail requests, by the answers of the last seconds."""

    def __init__(self) -> None:
        self._current: dict[str, AnswerCounts] = {}
        self._previous: dict[str, AnswerCounts] = {}
        self._window_ends_ms = 0.0
        self._new_answers = 0

    def record(self, answer: Answer, now: float, *, is_bad: bool) -> None:
        if now >= self._window_ends_ms and (
            self._new_answers >= MIN_WINDOW_ANSWERS
        ):
            self._window_ends_ms = now + WINDOW_MS
            self._new_answers = 0
            self._previous = self._current
            self._current = {}
        self._new_answers += answer.is_new
        counts = self._current.get(answer.engine, AnswerCounts())
        self._current[answer.engine] = counts.add(
            is_new=answer.is_new, is_bad=is_bad
        )

    def count(self, limit: float, *, is_new: bool) -> tuple[int, int]:
        """Return how many engines fail, and how many were judged.

        :param limit: failure rate above which an engine counts as failing.
        """
        failing = 0
        judged = 0
        for engine in self._current.keys() | self._previous.keys():
            before = self._previous.get(engine, AnswerCounts())
            now = self._current.get(engine, AnswerCounts())
            answers = before.of(is_new=is_new)[0] + now.of(is_new=is_new)[0]
            bad = before.of(is_new=is_new)[1] + now.of(is_new=is_new)[1]
            judged += answers >= MIN_ENGINE_ANSWERS
            failing += answers >= MIN_ENGINE_ANSWERS and bad > limit * answers
        return failing, judged


class _Evidence:
    """Evidence of one kind, from the answers of one route or of all."""

    def __init__(self, miss_rate: float) -> None:
        self.total = AnswerCounts()
        self.odds = OddsTest()
        self.excess = ExcessTest(miss_rate)
        self._second = AnswerCounts()
        self._engines = _EngineFailures()

    def record(self, answer: Answer, now: float, *, is_bad: bool) -> None:
        is_new = answer.is_new
        self._second = self._second.add(is_new=is_new, is_bad=is_bad)
        self.total = self.total.add(is_new=is_new, is_bad=is_bad)
        self._engines.record(answer, now, is_bad=is_bad)

    def close_second(self) -> None:
        self.odds.add(self._second)
        self.excess.add(self._second)
        self._second = AnswerCounts()

    def is_worse(self) -> bool:
        threshold = -math.log(FALSE_ALARM_RATE)
        return self.odds.log_evidence > threshold and self._is_spread()

    def _is_spread(self) -> bool:
        """Return whether the failures are those of a version.

        Troubles of single engines hit the few that run the new version more
        often than the others only by chance.
        """
        old_rate = self.total.old_bad / max(self.total.old, 1)
        limit = max(MIN_ENGINE_RATE, ENGINE_RATE_RATIO * old_rate)
        new_failing, new_judged = self._engines.count(limit, is_new=True)
        old_failing, old_judged = self._engines.count(limit, is_new=False)
        if not new_failing or not old_judged:
            return False
        if new_failing == new_judged and not old_failing:
            return True
        chance = tail_probability(
            AnswerCounts(new_judged, new_failing, old_judged, old_failing)
        )
        return chance < FALSE_SPREAD_RATE


class VersionComparison:
    """Compares the answers of the new version with those of the old one."""

    def __init__(self) -> None:
        """Start without answers."""
        self._failures = _evidence_by_route()
        self._slow_answers = _evidence_by_route()
        self._new_paces: dict[str, EnginePace] = defaultdict(EnginePace)
        self._old_paces: dict[str, EnginePace] = defaultdict(EnginePace)
        self._second_ends_ms = -math.inf

    def record(self, answer: Answer, now: float) -> None:
        """Add an answer."""
        self._close_seconds(now)
        _record(self._failures, answer, now, is_bad=answer.is_failure)
        if answer.is_failure or not answer.pace:
            return
        paces = self._new_paces if answer.is_new else self._old_paces
        is_slow = paces[answer.engine].record(answer.pace)
        _record(self._slow_answers, answer, now, is_bad=is_slow)

    def verdict(self, now: float) -> Verdict:
        """Return what the answers up to now show."""
        self._close_seconds(now)
        answers = self._failures[ALL_ROUTES].total
        slow = self._slow_answers[ALL_ROUTES].total
        return Verdict(
            reason=self._reason(),
            unproved=tuple(self._unproved()),
            doubted=self._doubted(),
            answers=answers,
            slow=slow,
        )

    def _close_seconds(self, now: float) -> None:
        if now < self._second_ends_ms:
            return
        self._second_ends_ms = now + STRATUM_MS
        for by_route in (self._failures, self._slow_answers):
            for evidence in by_route.values():
                evidence.close_second()

    def _reason(self) -> str:
        for kind, by_route in (
            ('failures', self._failures),
            ('slow answers', self._slow_answers),
        ):
            for route, evidence in by_route.items():
                if evidence.is_worse():
                    return f'{kind} on {route}' if route else kind
        return 'slow engines' if self._has_slow_engines() else ''

    def _unproved(self) -> Iterator[str]:
        if not self._is_sound():
            yield UNPROVED_SPEED
        everything = self._failures[ALL_ROUTES]
        if not everything.excess.is_proved:
            yield UNPROVED_TOTAL
        for route, evidence in self._failures.items():
            if (
                evidence.total.old >= MIN_ROUTE_SHARE * everything.total.old
                and not evidence.excess.is_proved
            ):
                yield route

    def _doubted(self) -> str:
        for route, evidence in self._failures.items():
            if evidence.excess.log_doubt > MIN_LOG_DOUBT:
                return route or UNPROVED_TOTAL
        return ''

    def _has_slow_engines(self) -> bool:
        limit = SLOW_ENGINE_RATIO * common_pace(self._old_paces, FAST_SHARE)
        new_slow, new_known = count_slow(self._new_paces, limit)
        old_slow, old_known = count_slow(self._old_paces, limit)
        if not limit or new_known < MIN_PACED_ENGINES:
            return False
        chance = tail_probability(
            AnswerCounts(new_known, new_slow, old_known, old_slow)
        )
        return new_slow == new_known and chance < FALSE_SPREAD_RATE

    def _is_sound(self) -> bool:
        """Return whether the new version's fast engines are fast enough."""
        _, new_known = count_slow(self._new_paces, 0)
        limit = SOUND_RATIO * common_pace(self._old_paces, FAST_SHARE)
        awaited = math.ceil(len(self._new_paces) * MIN_PACED_SHARE)
        if new_known < min(MIN_PACED_ENGINES, awaited):
            return False
        return common_pace(self._new_paces, FAST_SHARE) < limit


def _evidence_by_route() -> dict[str, _Evidence]:
    by_route = defaultdict(partial(_Evidence, ROUTE_MISS_RATE))
    by_route[ALL_ROUTES] = _Evidence(MISS_RATE)
    return by_route


def _record(
    by_route: dict[str, _Evidence],
    answer: Answer,
    now: float,
    *,
    is_bad: bool,
) -> None:
    by_route[ALL_ROUTES].record(answer, now, is_bad=is_bad)
    if answer.route:
        by_route[answer.route].record(answer, now, is_bad=is_bad)
