"""Attribution of engine crashes to parts of prompts."""

from typing import Final

from hornbeamdeck.scheduling.answer_history import MAX_ENTRIES, SOUND_MS
from hornbeamdeck.scheduling.engine_crash_tracker import (
    MAX_SUSPECTS,
    POISON_CRASHES,
    EngineCrashTracker,
    TrackedRun,
)
from hornbeamdeck.wire import RefusalReason, RunEnd
from tests.scheduling.engine_cell_factories import (
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)

STEP_MS: Final = 1000.0


class _Crashes:
    """Engines that end one after another under given runs."""

    def __init__(self) -> None:
        self.tracker = EngineCrashTracker()
        self.now = 0.0

    def add(self, *prompts: tuple[str, ...], fingerprint: str = '') -> None:
        """Let one engine end under new requests with these parts."""
        engine_name = f'e{self.now}'
        for number, part_ids in enumerate(prompts):
            self.tracker.parts.record_request(part_ids)
            name = fingerprint or f'{engine_name}-{number}'
            run = TrackedRun(name, self.now, part_ids=part_ids)
            self.tracker.record_failed_run(engine_name, run, self.now + 1)
        self.tracker.record_crash(engine_name, self.now + 2)
        self.now += STEP_MS

    def refused_parts(self, *part_ids: str) -> list[str]:
        """Return those parts that are refused in new requests."""
        return [
            part_id
            for part_id in part_ids
            if self.tracker.must_refuse(
                TrackedRun('new', part_ids=(part_id,)), self.now
            )
        ]


def test_crashing_part_is_found_among_the_runs_beside_it() -> None:
    """Guards against sound parts that are refused for what ran beside them."""
    crashes = _Crashes()
    for number in range(POISON_CRASHES):
        beside = [(f'session{number}-{run}',) for run in range(8)]
        crashes.add(('bad',), *beside)
    assert crashes.tracker.confirmed(crashes.now) == ['part:bad']


def test_two_crashing_parts_at_once_are_both_found() -> None:
    """Guards against a part that is cleared since another one is guilty."""
    crashes = _Crashes()
    for _ in range(POISON_CRASHES):
        crashes.add(('bad',))
        crashes.add(('worse',))
    assert crashes.refused_parts('bad', 'worse') == ['bad', 'worse']


def test_verdicts_outlast_later_ones_on_what_ran_beside() -> None:
    """Guards against a culprit that is forgotten as another one is found."""
    crashes = _Crashes()
    for _ in range(POISON_CRASHES - 1):
        crashes.add(('bad',), ('worse',))
    crashes.add(('bad',))
    for _ in range(POISON_CRASHES):
        crashes.add(('worse',))
    assert crashes.refused_parts('bad', 'worse') == ['bad', 'worse']


def test_rare_part_is_not_refused_for_a_common_one_that_crashes_more() -> None:
    """Guards against refusing sound parts that few requests have."""
    crashes = _Crashes()
    for number in range(POISON_CRASHES - 1):
        crashes.add((f'first{number}', 'bad'), ('rare',))
    crashes.add(('rare', 'bad'), ('rare',))
    assert crashes.tracker.confirmed(crashes.now) == ['part:bad']


def test_many_crashes_at_once_and_one_more_are_enough() -> None:
    """Guards against many engines that end before crashes come in turn."""
    tracker = EngineCrashTracker()
    for number in range(4):
        together = TrackedRun(f'r{number}', 0, part_ids=('bad',))
        tracker.record_failed_run(f'e{number}', together, 10)
        tracker.record_crash(f'e{number}', 11)
    assert tracker.confirmed(20) == []
    tracker.record_failed_run('e9', TrackedRun('r9', 20, 0, ('bad',)), 30)
    tracker.record_crash('e9', 31)
    assert tracker.confirmed(40) == ['part:bad']


def test_part_that_sound_requests_share_is_not_refused() -> None:
    """Guards against refusing all requests that begin alike."""
    crashes = _Crashes()
    for _ in range(POISON_CRASHES):
        crashes.tracker.parts.record_request(['first'])
        crashes.add(('first', 'bad'))
    assert crashes.refused_parts('first', 'bad') == ['bad']


def test_part_that_was_answered_lately_is_not_suspected() -> None:
    """Guards against refusing a part since engines end under it in a burst."""
    crashes = _Crashes()
    sound = TrackedRun('sound', part_ids=('first',))
    crashes.tracker.record_run_end(engine('e'), sound, RunEnd.ANSWERED, 0)
    for _ in range(POISON_CRASHES):
        crashes.add(('first',))
    assert crashes.refused_parts('first') == []
    crashes.now += SOUND_MS
    for _ in range(POISON_CRASHES):
        crashes.add(('first',))
    assert crashes.refused_parts('first') == ['first']


def test_one_request_does_not_convict_the_parts_of_its_prompt() -> None:
    """Guards against refusing a session for one request that is sent again."""
    crashes = _Crashes()
    for _ in range(POISON_CRASHES + 1):
        crashes.add(('session',), fingerprint='bad')
    assert crashes.tracker.confirmed(crashes.now) == ['bad']


def test_part_is_refused_at_once_after_one_request_was() -> None:
    """Guards against a request that explains crashes of all with its part."""
    crashes = _Crashes()
    for _ in range(POISON_CRASHES):
        crashes.add(('bad',), fingerprint='first')
    crashes.add(('bad',))
    assert crashes.refused_parts('bad') == ['bad']


def test_engines_that_end_together_convict_no_part() -> None:
    """Guards against refusing a common part since a rack lost power."""
    tracker = EngineCrashTracker()
    for number in range(20):
        run = TrackedRun(f'r{number}', 0, part_ids=('first',))
        tracker.record_failed_run(f'e{number}', run, 100 + number)
    for number in range(20):
        tracker.record_crash(f'e{number}', 150)
    assert tracker.confirmed(150) == []


def test_run_that_has_written_for_long_is_not_suspected() -> None:
    """Guards against refusing what streamed as another run ended its engine."""
    tracker = EngineCrashTracker()
    for number in range(POISON_CRASHES):
        now = number * STEP_MS
        streaming = TrackedRun(f'r{number}', now, now + 1, ('first',))
        tracker.record_run_end(
            engine('e'), streaming, RunEnd.FAILED, now + STEP_MS - 1
        )
        assert tracker.record_crash('e', now + STEP_MS) == []


def test_answer_lifts_the_verdict_on_a_part() -> None:
    """Guards against a wrong verdict that sound requests can't disprove."""
    crashes = _Crashes()
    for _ in range(POISON_CRASHES):
        crashes.add(('part',))
    assert crashes.refused_parts('part') == ['part']
    granted_before = TrackedRun('sound', part_ids=('part',))
    crashes.tracker.record_answer(granted_before, crashes.now)
    assert crashes.refused_parts('part') == []


def test_verdict_is_not_displaced_by_other_suspicions() -> None:
    """Guards against a caller that fills the memory to get a part forgotten."""
    crashes = _Crashes()
    for _ in range(POISON_CRASHES):
        crashes.add(('bad',))
    for number in range(MAX_SUSPECTS):
        crashes.tracker.merge_crash_count(f'other{number}', 1, crashes.now)
    for number in range(MAX_ENTRIES):
        crashes.tracker.parts.record_request([f'other{number}'])
    assert crashes.refused_parts('bad') == ['bad']


def test_verdict_of_another_owner_holds() -> None:
    """Guards against counting a part's crashes anew after each new owner."""
    crashes = _Crashes()
    for number in range(POISON_CRASHES):
        failed = TrackedRun(f'r{number}', crashes.now, part_ids=('bad',))
        name = engine(f'e{number}')
        crashes.tracker.record_run_end(name, failed, RunEnd.FAILED, crashes.now)
        suspects = crashes.tracker.record_engine_end(name, crashes.now + 1)
        crashes.now += STEP_MS
    successor = EngineCrashTracker()
    for suspect in suspects:
        successor.merge_crash_count(
            suspect.fingerprint, suspect.crashes, crashes.now
        )
    assert successor.confirmed(crashes.now) == ['part:bad']


def test_what_ran_beside_once_is_not_refused_after_a_change_of_owner() -> None:
    """Guards against refusing all that ran in the last of several crashes."""
    crashes = _Crashes()
    crashes.tracker.merge_crash_count('bad', POISON_CRASHES - 1, 0)
    for fingerprint in ('bad', 'beside', 'beside-too'):
        run = TrackedRun(fingerprint, started_ms=1)
        crashes.tracker.record_failed_run('e1', run, 2)
    crashes.tracker.record_crash('e1', 3)
    assert crashes.tracker.confirmed(4) == ['bad']


def test_waiting_requests_learn_the_verdict() -> None:
    """Guards against granting what was queued before its part was refused."""
    desk = make_cell(engine('e1', slots=1))
    for number in range(2):
        request = make_request(f'r{number}', shared_parts=['bad'])
        assert enqueue(desk, request, now=number) is None
    assert len(granted(desk, 2)) == 1
    desk.crash_tracker.add_confirmed('part:bad', 3)
    refused = list(desk.refuse_expired(100))
    assert [each.refusal.reason for each in refused] == [RefusalReason.CULPRIT]
    assert not len(desk)
