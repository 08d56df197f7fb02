"""Engines that fall over when they reject too many requests in a second."""

import pytest

from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.rejection_limit import (
    REJECTION_WINDOW_MS,
    RejectionLimit,
)
from hornbeamdeck.wire import EngineObservation, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    PLAIN,
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)

SLOTS = 8
LIMIT = 4.0
STEP_MS = 25
SECOND_MS = 1000


def _brittle(name: str, per_s: float | None = LIMIT) -> EngineObservation:
    return EngineObservation(
        cell='desk',
        upstream=name,
        born_ms=1,
        age_ms=0,
        rejection_limit_per_s=per_s,
    )


def _limit(per_s: float | None = LIMIT) -> RejectionLimit:
    made = RejectionLimit(bool)
    made.set_limit(per_s, 0)
    return made


def test_engine_without_rejections_gets_its_slots() -> None:
    """Guards against slots that stay free since an engine is brittle."""
    assert _limit(1).starts_left(SLOTS, 3, 3, 10) == SLOTS - 3


@pytest.mark.parametrize('unanswered', [0, 1, 2])
def test_requests_on_their_way_count_as_rejections(unanswered: int) -> None:
    """Guards against requests that are all rejected at the same moment."""
    limit = _limit()
    limit.record_rejection(SLOTS, 0)
    left = limit.starts_left(SLOTS, unanswered, unanswered, 10)
    assert left == LIMIT - 2 - unanswered


def test_nothing_starts_until_rejections_are_old() -> None:
    """Guards against the request that topples an engine."""
    limit = _limit()
    for now in range(3):
        limit.record_rejection(1, now)
    assert not limit.starts_left(SLOTS, 0, 0, REJECTION_WINDOW_MS - 1)
    assert limit.starts_left(SLOTS, 0, 0, REJECTION_WINDOW_MS + 3) > 0


def test_room_grows_again_one_by_one() -> None:
    """Guards against slots that are lost for good by one rejection."""
    limit = _limit()
    limit.record_rejection(1, 0)
    rooms = [
        limit.starts_left(SLOTS, 0, 0, second * SECOND_MS + REJECTION_WINDOW_MS)
        for second in range(SLOTS + 1)
    ]
    assert rooms == sorted(rooms)
    assert rooms[0] < SLOTS
    assert rooms[-1] == SLOTS


def test_older_statement_does_not_replace_a_newer_one() -> None:
    """Guards against a report that was delayed."""
    limit = RejectionLimit(bool)
    assert limit.set_limit(3, 100)
    assert not limit.set_limit(None, 50)
    assert limit.per_s == 3
    assert limit.set_limit(None, 200)


def _rejected_in_a_second(cell: EngineCell, *, is_rejecting: bool) -> int:
    """Let an engine reject all it gets; return the most in a second."""
    rejected_ms: list[int] = []
    for now in range(0, 5 * SECOND_MS, STEP_MS):
        enqueue(cell, make_request(f'r{now}', patience_ms=200), now)
        for request_id, _ in granted(cell, now):
            end = RunEnd.REJECTED if is_rejecting else RunEnd.ANSWERED
            cell.release(Release(request_id, 'desk', end, 0), now)
            rejected_ms.append(now)
    return max(
        sum(first <= each < first + SECOND_MS for each in rejected_ms)
        for first in rejected_ms
    )


def test_engine_that_rejects_everything_is_not_toppled() -> None:
    """Guards against an engine that looks idle since it rejects all."""
    cell = make_cell(engine('e1', slots=SLOTS))
    assert _rejected_in_a_second(cell, is_rejecting=True) > LIMIT
    cell = make_cell(engine('e1', slots=SLOTS))
    change = cell.apply_observation(_brittle('e1'), 'a#1', 0)
    assert change is not None and change.is_brittleness_changed
    assert _rejected_in_a_second(cell, is_rejecting=True) <= LIMIT


def test_calls_beyond_slots_are_not_granted_to_brittle_engines() -> None:
    """Guards against calls that wait at an engine that lets none wait."""
    cell = make_cell(engine('e1', slots=SLOTS), properties=PLAIN)
    cell.loads['e1'].estimates.output.call_ms = 1000
    assert cell.loads['e1'].free_slots(0) == 2 * SLOTS
    cell.apply_observation(_brittle('e1'), 'a#1', 0)
    assert cell.loads['e1'].free_slots(0) == SLOTS
    cell.apply_observation(_brittle('e1', None), 'a#1', 1)
    assert cell.loads['e1'].free_slots(1) == 2 * SLOTS


def test_engine_that_starts_again_is_not_brittle() -> None:
    """Guards against a limit that the last start of an engine has stated."""
    cell = make_cell(engine('e1', slots=SLOTS))
    cell.apply_observation(_brittle('e1'), 'a#1', 0)
    restarted = engine('e1', slots=SLOTS, born_ms=2)
    cell.update_engines([restarted], PLAIN, {})
    assert cell.loads['e1'].condition.rejections.per_s is None


def _limit_of_new_owner() -> RejectionLimit:
    made = RejectionLimit(lambda: True)
    made.set_limit(LIMIT, 0)
    return made


def test_new_owner_starts_requests_in_place_of_ended_ones_only() -> None:
    """Guards against offers beyond the room that a former owner had found."""
    limit = _limit_of_new_owner()
    assert not limit.starts_left(SLOTS, 3, 0, 0)
    assert limit.starts_left(SLOTS, 2, 0, 10) == 1
    assert not limit.starts_left(SLOTS, 3, 1, 20)


def test_requests_of_a_former_owner_on_their_way_show_no_room() -> None:
    """Guards against room that is taken from requests about to be rejected."""
    limit = _limit_of_new_owner()
    assert not limit.starts_left(SLOTS, 4, 2, 0)
    assert not limit.starts_left(SLOTS, 2, 0, 10)


def test_rejection_shows_a_new_owner_that_there_is_less_room() -> None:
    """Guards against the same offer again and again."""
    limit = _limit_of_new_owner()
    limit.starts_left(SLOTS, 3, 0, 0)
    limit.record_rejection(2, 10)
    assert not limit.starts_left(SLOTS, 2, 0, 20)
