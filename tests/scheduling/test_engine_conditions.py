"""What engines state of themselves, as the owner of their cell applies it."""

import pytest

from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.wire import EngineObservation, RefusalReason
from tests.scheduling.engine_cell_factories import (
    MODEL,
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)

# Long enough to wait for a slot.
OBJECTIVE_MS = 9000


def _observed(name: str, **changes: object) -> EngineObservation:
    fields: dict[str, object] = {
        'cell': 'desk',
        'upstream': name,
        'born_ms': 1,
        'age_ms': 0,
        'is_limit_unknown': True,
        **changes,
    }
    return EngineObservation(**fields)


def _leaving(name: str, **changes: object) -> EngineObservation:
    return _observed(name, is_leaving=True, **changes)


def _upstreams(cell: EngineCell, count: int, now: float = 0) -> set[str]:
    for number in range(count):
        enqueue(cell, make_request(f'r{now}-{number}'), now)
    return {upstream for _, upstream in granted(cell, now)}


def test_engine_that_leaves_is_granted_no_requests() -> None:
    """Guards against grants that each instance has to return."""
    cell = make_cell(engine('e1'), engine('e2'))
    change = cell.apply_observation(_leaving('e1'), 0)
    assert change is not None and change.is_leaving
    assert cell.apply_observation(_leaving('e1'), 1) is None
    assert _upstreams(cell, 4) == {'e2'}


def test_engine_leaves_until_another_incarnation_replaces_it() -> None:
    """Guards against entries that are older than what the engine stated."""
    cell = make_cell(engine('e1', slots=9), engine('e2', slots=1))
    cell.apply_observation(_leaving('e1'), 0)
    cell.apply_observation(_observed('e1'), 1)
    cell.update_engines([engine('e2', slots=1)], MODEL, {})
    cell.update_engines(
        [engine('e1', slots=9), engine('e2', slots=1)], MODEL, {}
    )
    assert _upstreams(cell, 3) == {'e2'}
    again = [engine('e1', slots=9, born_ms=2), engine('e2', slots=1)]
    cell.update_engines(again, MODEL, {})
    assert _upstreams(cell, 3, 10) == {'e1'}
    cell.apply_observation(_leaving('e1'), 20)
    assert not cell.loads['e1'].is_leaving


def test_leaving_does_not_change_a_limit() -> None:
    """Guards against a report on one statement that ends another."""
    cell = make_cell(engine('e1'))
    limit = _observed('e1', per_s=2.0, is_limit_unknown=None)
    assert cell.apply_observation(limit, 0) is not None
    cell.apply_observation(_leaving('e1'), 1)
    assert cell.loads['e1'].rate.limit_per_s == 2.0


def test_requests_are_refused_at_once_if_all_engines_leave() -> None:
    """Guards against waiting in vain until the deadline."""
    cell = make_cell(engine('e1', slots=1), engine('e2', slots=1))
    assert _upstreams(cell, 2) == {'e1', 'e2'}
    for request_id in ('new', 'retry'):
        excluded = ['e2'] if request_id == 'retry' else []
        request = make_request(
            request_id,
            excluded=excluded,
            dispatches=1,
            objective_ms=OBJECTIVE_MS,
        )
        assert enqueue(cell, request, 1) is None
    cell.apply_observation(_leaving('e1'), 2)
    assert _refused(cell, 3) == {'retry': RefusalReason.NO_UPSTREAM}
    cell.apply_observation(_leaving('e2'), 4)
    assert _refused(cell, 5) == {'new': RefusalReason.NO_UPSTREAM}
    refused = enqueue(cell, make_request('later'), 6)
    assert isinstance(refused, Refused)
    assert refused.refusal.reason == RefusalReason.NO_UPSTREAM
    assert refused.refusal.retry_after_ms > 0


@pytest.mark.parametrize('is_stated', [True, False])
def test_requests_wait_while_an_engine_stays(is_stated: bool) -> None:
    """Guards against refusals although an engine may serve the request."""
    cell = make_cell(engine('e1', slots=1), engine('e2', slots=1))
    _upstreams(cell, 2)
    request = make_request('new', objective_ms=OBJECTIVE_MS)
    assert enqueue(cell, request, 1) is None
    if is_stated:
        cell.apply_observation(_leaving('e1'), 2)
    else:
        listed = [engine('e1', is_draining=True), engine('e2', slots=1)]
        cell.update_engines(listed, MODEL, {})
    assert not _refused(cell, 3)
    assert len(cell) == 1


def _refused(cell: EngineCell, now: float) -> dict[str, RefusalReason]:
    return {
        each.queued.request.request_id: RefusalReason(each.refusal.reason)
        for each in cell.refuse_expired(now)
    }
