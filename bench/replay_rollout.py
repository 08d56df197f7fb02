"""Replays roll-outs of good and bad versions against the cell's decisions.

python -m bench.replay_rollout --version bad_late --seeds 200 --json

Engines of a new version start beside the old ones while a load is replayed. For
each seed, the replay tells how the roll-out ended and how many requests the new
version got. Engines crash and bursts arrive in every replay.
"""

import json as json_codec
import math
import random
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import fire

from bench.replay import TOKENS_PER_EVENT, Replay
from bench.replay_engine import EngineModel
from bench.replay_load import LoadPlan
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.rollout import (
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
    ServiceRollout,
)
from hornbeamdeck.version.gateway import EngineProperties
from hornbeamdeck.wire import RunEnd

LOAD: Final = 'rollout'
OLD_VERSION: Final = 'v1'
NEW_VERSION: Final = 'v2'
ORDERED_AT_MS: Final = 200.0
# Time from the order until the new engines are listed.
START_MS: Final = 800.0
DURATION_MS: Final = 12_000
BOUNDS: Final = RolloutBounds(
    expose_share=0.1, expose_slack=50, rollback_ms=5000
)
# From this number of bad answers on, `rollback_ms` counts.
BAD_ANSWERS: Final = 50
BAD_SHARE: Final = 0.3
SLOW_FACTOR: Final = 4.0
LATE_MS: Final = 4000.0
BUSY_RUNS: Final = 3
BAD_ROUTE: Final = 'question'


class NewVersion(NamedTuple):
    """How the new version behaves.

    :param slow_factor: by which its engines are slower.
    :param fails: whether a run fails; takes the route, how long the version has
        been running, ms, and the number of runs on its engine.
    """

    slow_factor: float
    fails: Callable[[str, float, int], bool]


def _never(_route: str, _age_ms: float, _runs: int) -> bool:
    return False


VERSIONS: Final[Mapping[str, NewVersion]] = MappingProxyType(
    {
        'good': NewVersion(1.0, _never),
        'bad': NewVersion(1.0, lambda _route, _age_ms, _runs: True),
        'bad_late': NewVersion(
            1.0, lambda _route, age_ms, _runs: age_ms > LATE_MS
        ),
        'bad_route': NewVersion(
            1.0, lambda route, _age_ms, _runs: route == BAD_ROUTE
        ),
        'bad_under_load': NewVersion(
            1.0, lambda _route, _age_ms, runs: runs >= BUSY_RUNS
        ),
        'slow': NewVersion(SLOW_FACTOR, _never),
    },
)


class RolloutOutcome(NamedTuple):
    """How a roll-out went.

    :param phase: in which phase it ended.
    :param ended_ms: when it ended, counted from the order; infinite if it did
        not end.
    :param allowed: number of requests that a bad version may get.
    :param requests_new: number of requests that the new version got.
    :param requests_late: those that it got more than `rollback_ms` after its
        fiftieth bad answer.
    :param runs_cut: runs that ended because the old engines were stopped.
    """

    phase: str
    ended_ms: float
    allowed: int
    requests_new: int
    requests_late: int
    runs_cut: int


class RolloutReplay(Replay):
    """A replay in which a new version is rolled out."""

    def __init__(self, plan: LoadPlan, seed: int, version: NewVersion) -> None:
        """Set up the replay without running it."""
        super().__init__(plan, seed)
        self._version = version
        self._rng = random.Random(seed)
        self._load_plan = plan
        self._requests = 0
        self._requests_new = 0
        self._requests_late = 0
        self._bad_answers = 0
        self._fiftieth_ms = math.inf
        self._ended_ms = math.inf
        self._runs_cut = 0
        self._rollout = ServiceRollout(
            RolloutOrder('desk', NEW_VERSION, DURATION_MS, 1),
            BOUNDS,
            started_ms=ORDERED_AT_MS,
        )
        self._schedule(ORDERED_AT_MS, self._order)
        self._schedule(ORDERED_AT_MS + START_MS, self._start_engines)

    def outcome(self) -> RolloutOutcome:
        """Return how the roll-out went, after `run`."""
        return RolloutOutcome(
            phase=self._rollout.phase.name.lower(),
            ended_ms=self._ended_ms - ORDERED_AT_MS,
            allowed=int(
                BOUNDS.expose_share * self._requests + BOUNDS.expose_slack
            ),
            requests_new=self._requests_new,
            requests_late=self._requests_late,
            runs_cut=self._runs_cut,
        )

    def _order(self) -> None:
        self._cell.versions.rollout = self._rollout
        self._rollout.begin(self.now)
        self._list_engines(new=0)

    def _start_engines(self) -> None:
        count = len(self._load_plan.slowness)
        for number, slowness in enumerate(self._load_plan.slowness):
            self._engines[f'n{number}'] = EngineModel(
                slowness * self._version.slow_factor,
                self._load_plan.slots,
                self._load_plan.chunk_tokens,
            )
        self._list_engines(new=count)

    def _list_engines(self, *, new: int) -> None:
        old_count = (
            0 if self._ended_ms < math.inf else len(self._load_plan.slowness)
        )
        engines = [
            self._engine(f'e{number}', OLD_VERSION)
            for number in range(old_count)
        ]
        engines += [
            self._engine(f'n{number}', NEW_VERSION) for number in range(new)
        ]
        properties = EngineProperties(
            self._load_plan.slots, TOKENS_PER_EVENT, 660_000
        )
        self._cell.update_engines(engines, properties, {})

    def _engine(self, name: str, version: str) -> Engine:
        return Engine(
            name=name,
            service='desk',
            address='127.0.0.1:1',
            availability_zone='z1',
            slots=self._load_plan.slots,
            is_draining=False,
            born_ms=1,
            version=version,
        )

    def _scan(self) -> None:
        if self._rollout.advance(self._cell.loads.values(), self.now):
            self._handle_phase()
        super()._scan()

    def _handle_phase(self) -> None:
        if not self._rollout.phase.is_final:
            return
        self._ended_ms = self.now
        if self._rollout.phase == RolloutPhase.COMPLETED:
            self._stop_old_engines()

    def _stop_old_engines(self) -> None:
        """Stop the old engines at once, as the users' platform does."""
        for name, engine in self._engines.items():
            if name.startswith('e'):
                engine.crash()
                self._down_engines.add(name)
        cut = [
            attempt
            for attempt in self._attempts.values()
            if attempt.engine.startswith('e')
        ]
        self._runs_cut = len(cut)
        for attempt in cut:
            self._finish(attempt, 'broken', RunEnd.FAILED)
        self._list_engines(new=len(self._load_plan.slowness))

    def _reach_engine(self, attempt: Any) -> None:
        if attempt.request_id not in self._attempts:
            return
        if not self._is_in_time:
            super()._reach_engine(attempt)
            return
        self._requests += 1
        if attempt.engine.startswith('n'):
            self._requests_new += 1
            late_ms = self.now - self._fiftieth_ms
            self._requests_late += late_ms > BOUNDS.rollback_ms
            if self._fails(attempt):
                self._count_bad_answer()
                self._finish(attempt, 'broken', RunEnd.ERRORED)
                return
            if self._version.slow_factor > 1:
                self._count_bad_answer()
        super()._reach_engine(attempt)

    @property
    def _is_in_time(self) -> bool:
        """Whether the requested duration has not passed."""
        elapsed_ms = self.now - ORDERED_AT_MS
        return 0 <= elapsed_ms <= DURATION_MS

    def _fails(self, attempt: Any) -> bool:
        age_ms = self.now - ORDERED_AT_MS - START_MS
        runs = len(self._cell.loads[attempt.engine].runs)
        fails = self._version.fails(attempt.arrival.kind.name, age_ms, runs)
        return fails and self._rng.random() < BAD_SHARE

    def _count_bad_answer(self) -> None:
        self._bad_answers += 1
        if self._bad_answers == BAD_ANSWERS:
            self._fiftieth_ms = self.now


def replay(version: str, seed: int) -> RolloutOutcome:
    """Replay one roll-out."""
    played = RolloutReplay(LoadPlan.from_name(LOAD), seed, VERSIONS[version])
    played.run()
    return played.outcome()


def summarize(outcomes: list[RolloutOutcome]) -> dict[str, Any]:
    """Count how roll-outs ended, and those that broke a bound."""
    ended = [each.ended_ms for each in outcomes if each.ended_ms < math.inf]
    return {
        'phases': dict(Counter(each.phase for each in outcomes)),
        'ended_in_time': sum(each <= DURATION_MS for each in ended),
        'last_ended_ms': int(max(ended, default=0)),
        'over_exposure': sum(
            each.requests_new > each.allowed for each in outcomes
        ),
        'requests_late': sum(each.requests_late for each in outcomes),
        'most_requests_new': max(each.requests_new for each in outcomes),
        'runs_cut': sum(each.runs_cut for each in outcomes),
    }


def main(version: str = 'good', seeds: int = 10, *, json: bool = False) -> None:
    """Replay a version's roll-out with several seeds and print the counts."""
    outcomes = list(map(partial(replay, version), range(seeds)))
    report = {'version': version, 'seeds': seeds, **summarize(outcomes)}
    print(json_codec.dumps(report, indent=2) if json else report)


if __name__ == '__main__':
    fire.Fire(main)
