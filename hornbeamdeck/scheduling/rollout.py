"""Course of a roll-out: a new version of one service's engines.

Load pattern: engines of the new version start beside the old ones, and at the
requested time either the old ones or the new ones have to be out of use. A bad
version must not get more than a small share of the requests, whenever it turns
bad. A good one must carry all requests at the end, and no stream may still run
on an old engine then, since those are stopped at once.
"""

import enum
import math
from collections.abc import Callable, Collection
from typing import Final, NamedTuple, Self, TypeAlias

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.exposure import Exposure
from hornbeamdeck.scheduling.version_comparison import (
    Answer,
    Verdict,
    VersionComparison,
)

__all__ = (
    'RolloutBounds',
    'RolloutOrder',
    'RolloutPhase',
    'RolloutStep',
    'ServiceRollout',
)

# No version is trusted before this share of the requested duration, so that
# one which turns bad later is noticed while it gets few requests.
MIN_OBSERVED_SHARE: Final = 0.62
# The old engines are given up at this share of the duration. The rest covers a
# store that does not answer for a while.
COMPLETION_SHARE: Final = 0.83
# At this share, a version that is rather bad than good is rolled back although
# neither is proved.
DECISION_SHARE: Final = 0.9
# If the version is trusted late, the old engines keep this share of the
# duration to end their runs; and as much again for runs that take longer than
# expected.
DRAIN_SHARE: Final = 0.07
# Callers' estimates of the output are wrong by this factor for one request in
# ten.
RUN_MARGIN: Final = 2.5
# While both serve, the old version gets this share of the requests: without
# answers to compare with, a version that turns bad now would not be noticed.
COMPARED_SHARE: Final = 0.25
# The new version is not trusted to carry all requests with fewer slots.
MIN_SLOTS_SHARE: Final = 0.75
# The first requests go to a few of the new engines at a time, so that each of
# them is as busy as an old one: some versions fail under load only. After this
# time it is the turn of others.
CANARY_TURN_MS: Final = 1000
MIN_CANARY_ENGINES: Final = 2
# Share of the duration over which the slack is spread.
SLACK_RAMP_SHARE: Final = 0.3


RunEstimate: TypeAlias = Callable[[EngineLoad], float]


class RolloutPhase(enum.IntEnum):
    """How far a roll-out is; it never returns to a lower phase.

    CANARY: the new version gets a small share of the requests.
    PROMOTING: the new version is trusted, and both serve.
    COMPLETED: the old version is given up.
    ROLLED_BACK: the new version is given up.
    """

    CANARY = 0
    PROMOTING = 1
    COMPLETED = 2
    ROLLED_BACK = 3

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self >= RolloutPhase.COMPLETED


class RolloutOrder(NamedTuple):
    """An operator's order to bring in a new version.

    :param target: the new version.
    :param order_id: a later order for the service has a larger one.
    """

    service: str
    target: str
    duration_ms: int
    order_id: int


class RolloutBounds(NamedTuple):
    """Limits for a version that may turn out to be bad.

    :param expose_share: share of the service's requests that it may get.
    :param expose_slack: number of requests that it may get in addition.
    :param rollback_ms: for how long it may get requests after its fiftieth bad
        answer.
    """

    expose_share: float
    expose_slack: float
    rollback_ms: int


class RolloutStep(NamedTuple):
    """A phase, with the counts that decide what comes next.

    :param reason: why the new version is given up; empty: it is not.
    :param old_runs: runs on engines of the old version at this time.
    """

    phase: RolloutPhase
    reason: str
    verdict: Verdict
    granted: int
    granted_new: int
    old_runs: int


class _Grants(NamedTuple):
    """Grants since the new version is trusted."""

    granted: int = 0
    granted_old: int = 0

    def add(self, *, is_new: bool) -> Self:
        """Return the counts with one more grant."""
        return self._replace(
            granted=self.granted + 1,
            granted_old=self.granted_old + (not is_new),
        )

    def needs_old(self) -> bool:
        """Return whether the next request is to keep the old version known."""
        return self.granted_old < COMPARED_SHARE * self.granted


class _Fleet(NamedTuple):
    """The engines of the service by version, as last listed."""

    new: tuple[str, ...]
    new_slots: int
    old: frozenset[tuple[str, int]]
    old_slots: int


class ServiceRollout:
    """The roll-out of one service, as this process knows it."""

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        *,
        started_ms: float,
        phase: RolloutPhase = RolloutPhase.CANARY,
    ) -> None:
        """Start without answers.

        :param started_ms: when the order was first seen by any process.
        """
        self.order = order
        self.phase = phase
        self.started_ms = started_ms
        self.exposure = Exposure(bounds.expose_share, bounds.expose_slack)
        self._expose_share = bounds.expose_share
        self._comparison = VersionComparison()
        self._complete_ms = started_ms + order.duration_ms * COMPLETION_SHARE
        self._decide_ms = started_ms + order.duration_ms * DECISION_SHARE
        self._fleet = _Fleet((), 0, frozenset(), 0)
        self._promoted = _Grants()
        # Incarnations of the old version that stop when this process learns
        # that the roll-out is completed.
        self._stopping: frozenset[tuple[str, int]] = frozenset()

    def begin(self, now: float) -> None:
        """Allow the slack, since this process has taken the order first."""
        self.exposure.grant_slack(
            now, self.order.duration_ms * SLACK_RAMP_SHARE
        )

    def update_engines(self, loads: Collection[EngineLoad]) -> None:
        """Apply a new list of the service's engines."""
        new = [load for load in loads if self.is_new(load)]
        old = [load for load in loads if not self.is_new(load)]
        names = sorted(load.engine.name for load in new if not load.is_leaving)
        self._fleet = _Fleet(
            new=tuple(names),
            new_slots=_count_slots(new),
            old=frozenset(map(_incarnation, old)),
            old_slots=_count_slots(old),
        )

    def is_new(self, load: EngineLoad) -> bool:
        """Return whether an engine has the new version."""
        return load.engine.version == self.order.target

    def may_use(self, load: EngineLoad, now: float) -> bool:
        """Return whether an engine may get any request now."""
        if not self._fleet.old or not self._fleet.new_slots:
            # With one version only there is no choice.
            return True
        match self.phase:
            case RolloutPhase.ROLLED_BACK:
                return not self.is_new(load)
            case RolloutPhase.COMPLETED:
                return _incarnation(load) not in self._stopping
            case RolloutPhase.PROMOTING:
                return True
        if not self.is_new(load):
            return True
        return self.exposure.allows_another(now) and (
            load.engine.name in self._canaries(now)
        )

    def groups(
        self,
        free: list[EngineLoad],
        estimate_run_ms: RunEstimate,
        now: float,
    ) -> list[list[EngineLoad]]:
        """Sort the engines for a request by preference.

        :param free: engines with a free slot that may be used.
        :param estimate_run_ms: returns how long the request would run on an
            engine.
        :returns: groups of engines; one is tried where no engine of those
            before it is suitable.
        """
        if self.phase.is_final or not self._fleet.old:
            return [free]
        new = [load for load in free if self.is_new(load)]
        old = [load for load in free if not self.is_new(load)]
        if self.phase == RolloutPhase.CANARY:
            return [new, old]
        ending = [
            load
            for load in old
            if now + RUN_MARGIN * estimate_run_ms(load) < self._complete_ms
        ]
        if self._promoted.needs_old():
            return [ending, new]
        return [new, ending]

    def record_grant(self, load: EngineLoad) -> None:
        """Count a request that was granted an engine."""
        is_new = self.is_new(load)
        self.exposure.record_grant(is_new=is_new)
        if self.phase == RolloutPhase.PROMOTING:
            self._promoted = self._promoted.add(is_new=is_new)

    def record_answer(self, answer: Answer, now: float) -> None:
        """Add the end of a run to the comparison of the versions."""
        if not self.phase.is_final:
            self._comparison.record(answer, now)

    def advance(
        self, loads: Collection[EngineLoad], now: float
    ) -> RolloutStep | None:
        """Go to the next phase if it is due.

        :param loads: all engines of the service.
        :returns: the step, if the phase has changed.
        """
        if self.phase.is_final:
            return None
        current = self.describe(loads, now)
        phase = self._due_phase(current, now)
        if phase == self.phase:
            return None
        if phase == RolloutPhase.PROMOTING:
            drain_ms = DRAIN_SHARE * self.order.duration_ms
            self._complete_ms = max(self._complete_ms, now + drain_ms)
        self.adopt(phase)
        return current._replace(phase=phase)

    def describe(
        self, loads: Collection[EngineLoad], now: float
    ) -> RolloutStep:
        """Return the current phase and counts.

        :param loads: all engines of the service.
        """
        verdict = self._comparison.verdict(now)
        reason = verdict.reason
        is_late = now >= min(self._decide_ms, self._complete_ms)
        if not reason and verdict.doubted and is_late:
            reason = f'not proved by {verdict.doubted}'
        return RolloutStep(
            phase=self.phase,
            reason=reason,
            verdict=verdict,
            granted=self.exposure.granted,
            granted_new=self.exposure.granted_new,
            old_runs=sum(
                len(load.runs) for load in loads if not self.is_new(load)
            ),
        )

    def adopt(self, phase: RolloutPhase) -> None:
        """Continue in a phase that was decided here or by another process."""
        if phase == RolloutPhase.COMPLETED and not self.phase.is_final:
            self._stopping = self._fleet.old
        self.phase = phase

    def _canaries(self, now: float) -> Collection[str]:
        """Return the engines of the new version whose turn it is."""
        names = self._fleet.new
        count = max(
            math.ceil(len(self._fleet.old) * self._expose_share),
            MIN_CANARY_ENGINES,
        )
        turns = max(len(names) // count, 1)
        turn = int((now - self.started_ms) / CANARY_TURN_MS) % turns
        first = turn * count
        last = len(names) if turn == turns - 1 else first + count
        return names[first:last]

    def _due_phase(self, current: RolloutStep, now: float) -> RolloutPhase:
        if current.reason:
            return RolloutPhase.ROLLED_BACK
        if self.phase == RolloutPhase.CANARY:
            return self._phase_after_canary(current.verdict, now)
        latest_ms = self._complete_ms + DRAIN_SHARE * self.order.duration_ms
        if now >= self._complete_ms and (
            not current.old_runs or now >= latest_ms
        ):
            return RolloutPhase.COMPLETED
        return self.phase

    def _phase_after_canary(self, verdict: Verdict, now: float) -> RolloutPhase:
        observed_ms = MIN_OBSERVED_SHARE * self.order.duration_ms
        fleet = self._fleet
        is_enough = (
            fleet.new_slots
            and fleet.new_slots >= MIN_SLOTS_SHARE * fleet.old_slots
        )
        is_alone = not fleet.old
        if (
            now >= self.started_ms + observed_ms
            and is_enough
            and (verdict.is_proved_good or is_alone)
        ):
            return RolloutPhase.PROMOTING
        return self.phase


def _count_slots(loads: Collection[EngineLoad]) -> int:
    return sum(load.slots for load in loads if not load.is_leaving)


def _incarnation(load: EngineLoad) -> tuple[str, int]:
    return load.engine.name, load.engine.born_ms
