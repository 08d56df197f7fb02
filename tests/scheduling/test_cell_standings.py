"""Standings of teams at a cell: counts, charges and use of free slots."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.fair_shares import MAX_LEAD_REQUESTS
from hornbeamdeck.scheduling.standing import Standing
from hornbeamdeck.wire import Enqueue, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)

MANY = int(MAX_LEAD_REQUESTS) * 2
TEAMS = ('heavy', 'light', 'other')
PATIENT_MS = 60_000


def _flooded(waiting: int = MANY) -> EngineCell:
    """Create a cell whose slots run requests of the team `heavy`."""
    cell = make_cell(engine('e1', slots=1), engine('e2', slots=1))
    for number in range(waiting + 2):
        enqueue(cell, _patient(f'h{number}', 'heavy'))
    granted(cell)
    return cell


def _patient(request_id: str, team: str, rank: int = 0) -> Enqueue:
    return make_request(
        request_id,
        team=team,
        tier_rank=rank,
        objective_ms=PATIENT_MS,
        deadline_ms=PATIENT_MS,
        patience_ms=PATIENT_MS,
    )


def _end(cell: EngineCell, request_id: str, now: float) -> None:
    cell.release(
        Release(
            request_id=request_id,
            cell='desk',
            end=RunEnd.ANSWERED,
            total_ms=0,
        ),
        now,
    )


def test_waiting_requests_are_counted_by_standing() -> None:
    """Guards against gauges that show an operator no heavy team, or one while
    no other team waits.
    """
    cell = _flooded()
    assert not cell.standings.counts(0).beyond
    enqueue(cell, _patient('l1', 'light'))
    enqueue(cell, _patient('l2', 'light'))
    counts = cell.standings.counts(0)
    assert counts.beyond == ('heavy',)
    assert counts.waiting == {
        Standing.BEYOND_SHARE: MANY,
        Standing.WITHIN_SHARE: 2,
    }


def test_refusals_are_counted_and_logged_by_standing() -> None:
    cell = _flooded()
    enqueue(cell, _patient('l1', 'light'))
    refused = enqueue(cell, make_request('h', team='heavy', objective_ms=50))
    assert refused is not None
    assert refused.log_fields['standing'] == 'beyond_share'  # type: ignore[attr-defined]
    assert cell.standings.counts(0).refused == {Standing.BEYOND_SHARE: 1}


def test_the_next_free_slot_goes_to_the_team_within_its_share() -> None:
    """A team has filled both slots and the queue before another one asks."""
    cell = _flooded()
    enqueue(cell, _patient('l1', 'light'), 1)
    _end(cell, 'h0', 2)
    assert [request_id for request_id, _ in granted(cell, 2)] == ['l1']


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('enqueue', 'end')),
            st.sampled_from(TEAMS),
            st.integers(0, 2),
            st.integers(0, 300),
        ),
        max_size=60,
    )
)
def test_no_slot_is_idle_while_a_request_waits(
    steps: list[tuple[str, str, int, int]],
) -> None:
    """Guards against capacity that is kept from a team although no other team
    asks for it.
    """
    cell = make_cell(engine('e1', slots=2), engine('e2', slots=2))
    running: list[str] = []
    now = 0.0
    for number, (action, team, rank, passed_ms) in enumerate(steps):
        now += passed_ms
        if action == 'enqueue':
            enqueue(cell, _patient(f'r{number}', team, rank), now)
        elif running:
            _end(cell, running.pop(0), now)
        running += [request_id for request_id, _ in granted(cell, now)]
        free = sum(load.idle_slots() for load in cell.loads.values())
        assert not free or not len(cell)
