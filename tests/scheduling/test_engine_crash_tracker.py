"""Attribution of engine crashes to requests."""

from hornbeamdeck.scheduling.engine_crash_tracker import (
    POISON_CRASHES,
    SAME_CRASH_MS,
    EngineCrashTracker,
    TrackedRun,
)
from hornbeamdeck.wire import RunEnd
from tests.scheduling.engine_cell_factories import engine


def test_only_runs_that_failed_with_the_engine_are_suspected() -> None:
    tracker = EngineCrashTracker()
    tracker.record_failed_run('e1', TrackedRun('long-ago'), 0)
    tracker.record_failed_run('e1', TrackedRun('beside'), 9000)
    tracker.record_failed_run('e2', TrackedRun('elsewhere'), 9000)
    assert tracker.record_crash('e1', 9000 + SAME_CRASH_MS / 2) == ['beside']
    assert tracker.crash_count('beside', 10_000) == 1
    assert not tracker.crash_count('long-ago', 10_000)
    assert not tracker.crash_count('elsewhere', 10_000)


def test_one_crash_is_counted_once() -> None:
    """Ten connections are refused after one crash. If each counted, the
    requests that ran on the engine would be refused as if they had crashed ten
    engines.
    """
    tracker = EngineCrashTracker()
    tracker.record_failed_run('e1', TrackedRun('beside'), 0)
    for moment in range(10):
        tracker.record_crash('e1', moment)
    assert tracker.crash_count('beside', 100) == 1


def test_crashes_counted_by_another_owner_are_kept() -> None:
    """An owner that has counted two crashes dies. If the count were lost, the
    request that caused them would crash three more engines under each next
    owner.
    """
    tracker = EngineCrashTracker()
    tracker.merge_crash_count('bad', 2, 0)
    tracker.merge_crash_count('bad', 1, 10)
    assert tracker.crash_count('bad', 20) == 2
    tracker.record_failed_run('e1', TrackedRun('bad', 20), 20)
    tracker.record_crash('e1', 30)
    assert tracker.crash_count('bad', 40) == POISON_CRASHES
    assert tracker.is_confirmed_poison('bad', 40)


def test_a_crash_that_is_reported_back_counts_once() -> None:
    """Guards against crashes that add up as the owner changes to and fro."""
    tracker = EngineCrashTracker()
    for number in range(POISON_CRASHES - 1):
        run = TrackedRun('beside', started_ms=number)
        tracker.record_failed_run(f'e{number}', run, number)
        tracker.record_crash(f'e{number}', number)
        crashes = tracker.crash_count('beside', number)
        tracker.merge_crash_count('beside', crashes, number)
    assert tracker.crash_count('beside', 10) == POISON_CRASHES - 1


def test_an_answered_request_is_cleared() -> None:
    tracker = EngineCrashTracker()
    tracker.merge_crash_count('good', 2, 0)
    tracker.record_answer(TrackedRun('good'), 0)
    assert not tracker.crash_count('good', 10)


def test_silent_engine_has_not_crashed() -> None:
    """Guards against a request that is refused since engines were silent."""
    tracker = EngineCrashTracker()
    next_run = TrackedRun('next')
    for number in range(POISON_CRASHES):
        silent = engine(f'e{number}')
        run = TrackedRun('good', number)
        tracker.record_run_end(silent, run, RunEnd.SILENT, number)
        tracker.record_run_end(silent, next_run, RunEnd.NOT_DISPATCHED, number)
    assert not tracker.crash_count('good', POISON_CRASHES)
    tracker.record_run_end(engine('e1'), TrackedRun('bad'), RunEnd.FAILED, 10)
    suspects = tracker.record_run_end(
        engine('e1'), next_run, RunEnd.NOT_DISPATCHED, 11
    )
    assert [suspect.fingerprint for suspect in suspects] == ['bad']


def test_engines_that_end_together_convict_nobody() -> None:
    """Guards against a request that is refused since a rack lost power."""
    tracker = EngineCrashTracker()
    for number in range(POISON_CRASHES):
        run = TrackedRun('same', started_ms=number)
        tracker.record_failed_run(f'e{number}', run, 100 + number)
    for number in range(POISON_CRASHES):
        tracker.record_crash(f'e{number}', 200)
    assert tracker.crash_count('same', 200) == 1


def test_each_engine_that_a_request_crashes_in_turn_counts() -> None:
    """Guards against crashes of a retry that count as those of its request."""
    tracker = EngineCrashTracker()
    for number in range(POISON_CRASHES):
        run = TrackedRun('bad', started_ms=number)
        tracker.record_failed_run(f'e{number}', run, number + 1)
    for number in range(POISON_CRASHES):
        tracker.record_crash(f'e{number}', 200)
    assert tracker.is_confirmed_poison('bad', 200)


def test_request_that_many_send_alike_outlasts_a_few_crashes() -> None:
    """Guards against refusing all look-ups as three engines end in turn."""
    tracker = EngineCrashTracker()
    lookup = TrackedRun('lookup')
    tracker.record_run_end(engine('e'), lookup, RunEnd.ANSWERED, 0)
    for number in range(POISON_CRASHES):
        run = TrackedRun('lookup', started_ms=number + 1)
        tracker.record_failed_run(f'e{number}', run, number + 1)
        tracker.record_crash(f'e{number}', number + 1)
    assert not tracker.is_confirmed_poison('lookup', POISON_CRASHES + 1)
