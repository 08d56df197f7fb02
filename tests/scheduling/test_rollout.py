"""Tests of the phases of a roll-out and of its exposure."""

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.exposure import Exposure
from hornbeamdeck.scheduling.rollout import (
    COMPLETION_SHARE,
    MIN_OBSERVED_SHARE,
    RolloutBounds,
    RolloutOrder,
    RolloutPhase,
    ServiceRollout,
)
from hornbeamdeck.scheduling.version_comparison import Answer
from hornbeamdeck.wire import Register
from tests.scheduling.engine_cell_factories import engine, make_load

BOUNDS = RolloutBounds(expose_share=0.1, expose_slack=50, rollback_ms=5000)
DURATION_MS = 10_000
ORDER = RolloutOrder('desk', 'v2', DURATION_MS, 1)
PROMOTED_MS = DURATION_MS * MIN_OBSERVED_SHARE
COMPLETED_MS = DURATION_MS * COMPLETION_SHARE
ENGINES = 8
LATE_MS = 9_900.0


def _loads(version: str, prefix: str) -> list[EngineLoad]:
    return [
        make_load(engine(f'{prefix}{number}', version=version))
        for number in range(ENGINES)
    ]


def _rollout(loads: list[EngineLoad]) -> ServiceRollout:
    rollout = ServiceRollout(ORDER, BOUNDS, started_ms=0)
    rollout.update_engines(loads)
    rollout.begin(0)
    return rollout


def _answer(
    rollout: ServiceRollout,
    now: float,
    *,
    new_fails: bool = False,
    seconds: int = 6,
) -> None:
    """Record answers of all engines for some seconds before a time."""
    for second in range(seconds):
        at_ms = now - (seconds - second) * 1000
        for number in range(ENGINES * 12):
            is_new = not number % 2
            prefix = 'n' if is_new else 'o'
            rollout.record_answer(
                Answer(
                    f'{prefix}{number % ENGINES}',
                    'note',
                    is_new=is_new,
                    is_failure=is_new and new_fails and not number % 3,
                    pace=1.0,
                ),
                at_ms,
            )


def test_good_version_is_promoted_and_completed_in_time() -> None:
    loads = _loads('v1', 'o') + _loads('v2', 'n')
    rollout = _rollout(loads)
    _answer(rollout, PROMOTED_MS)
    assert rollout.advance(loads, PROMOTED_MS - 1) is None
    promoted = rollout.advance(loads, PROMOTED_MS)
    assert promoted is not None
    assert promoted.phase == RolloutPhase.PROMOTING
    assert rollout.advance(loads, COMPLETED_MS - 1) is None
    completed = rollout.advance(loads, COMPLETED_MS)
    assert completed is not None
    assert completed.phase == RolloutPhase.COMPLETED


def test_old_engines_end_their_runs_before_they_are_given_up() -> None:
    """Guards against streams that are cut as the old engines stop."""
    loads = _loads('v1', 'o') + _loads('v2', 'n')
    rollout = _rollout(loads)
    _answer(rollout, PROMOTED_MS)
    rollout.advance(loads, PROMOTED_MS)
    run = Register('id', 'desk', 'o0', 10, 10, False, 'print')
    loads[0].add(run, 'sender')
    assert rollout.advance(loads, COMPLETED_MS) is None
    loads[0].runs.clear()
    assert rollout.advance(loads, COMPLETED_MS) is not None


def test_run_that_takes_too_long_does_not_prevent_completion() -> None:
    loads = _loads('v1', 'o') + _loads('v2', 'n')
    rollout = _rollout(loads)
    _answer(rollout, PROMOTED_MS)
    rollout.advance(loads, PROMOTED_MS)
    loads[0].add(Register('id', 'desk', 'o0', 10, 10, False, 'x'), 'sender')
    step = rollout.advance(loads, DURATION_MS)
    assert step is not None
    assert step.old_runs == 1


def test_bad_version_is_rolled_back_at_once() -> None:
    loads = _loads('v1', 'o') + _loads('v2', 'n')
    rollout = _rollout(loads)
    _answer(rollout, 3000, new_fails=True, seconds=3)
    step = rollout.advance(loads, 3000)
    assert step is not None
    assert step.phase == RolloutPhase.ROLLED_BACK
    assert step.reason == 'failures'
    assert not any(rollout.may_use(load, 3000) for load in loads[ENGINES:])
    assert all(rollout.may_use(load, 3000) for load in loads[:ENGINES])


def test_version_without_proof_keeps_its_small_share() -> None:
    """Guards against a version that is trusted since time runs out."""
    loads = _loads('v1', 'o') + _loads('v2', 'n')
    rollout = _rollout(loads)
    assert rollout.advance(loads, LATE_MS) is None
    assert rollout.phase == RolloutPhase.CANARY


def test_completion_waits_for_enough_new_engines() -> None:
    """Guards against giving up the old engines while the new ones start."""
    loads = _loads('v1', 'o') + _loads('v2', 'n')[:2]
    rollout = _rollout(loads)
    _answer(rollout, PROMOTED_MS)
    assert rollout.advance(loads, PROMOTED_MS) is None


def test_stopped_engines_get_no_requests_while_they_are_listed() -> None:
    """Guards against requests to engines that the platform has stopped.

    Their entries stay in the store for seconds after the roll-out. An engine
    that starts later with the old version is no part of the roll-out.
    """
    loads = _loads('v1', 'o') + _loads('v2', 'n')
    rollout = _rollout(loads)
    rollout.adopt(RolloutPhase.COMPLETED)
    assert not any(rollout.may_use(load, 0) for load in loads[:ENGINES])
    started = make_load(engine('later', version='v1'))
    rollout.update_engines([*loads, started])
    assert rollout.may_use(started, 0)


def test_exposure_never_exceeds_share_and_slack() -> None:
    exposure = Exposure(0.1, 50)
    exposure.grant_slack(0, 1000)
    for number in range(3000):
        now = number * 5.0
        exposure.record_grant(is_new=exposure.allows_another(now))
        assert exposure.granted_new <= 0.1 * exposure.granted + 50
    assert exposure.granted_new > 250


def test_two_owners_together_keep_the_bound() -> None:
    """Guards against an owner that takes over and spends the slack again."""
    first = Exposure(0.1, 50)
    first.grant_slack(0, 1000)
    second = Exposure(0.1, 50)
    for number in range(4000):
        owner = first if number < 2000 else second
        now = number * 5.0
        owner.record_grant(is_new=owner.allows_another(now))
    granted_new = first.granted_new + second.granted_new
    assert granted_new <= 0.1 * 4000 + 50


def test_canary_requests_go_to_few_engines_at_a_time() -> None:
    """Guards against new engines so idle that a fault under load stays hidden.

    In time all of them get their turn.
    """
    loads = _loads('v1', 'o') + _loads('v2', 'n')
    rollout = _rollout(loads)
    for _ in range(100):
        rollout.exposure.record_grant(is_new=False)
    used = set()
    for second in range(5):
        turn = {
            load.engine.name
            for load in loads[ENGINES:]
            if rollout.may_use(load, second * 1000.0)
        }
        assert len(turn) <= 3
        used |= turn
    assert len(used) == ENGINES
