"""What engines state of themselves, as the owner of their cell applies it."""

import pytest

from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.wire import EngineObservation, RefusalReason
from tests.scheduling.engine_cell_factories import (
    MODEL,
    async_discard,
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
    change = cell.apply_observation(_leaving('e1'), 'a#1', 0)
    assert change is not None and change.is_leaving
    assert cell.apply_observation(_leaving('e1'), 'a#1', 1) is None
    assert _upstreams(cell, 4) == {'e2'}


def test_engine_leaves_until_another_incarnation_replaces_it() -> None:
    """Guards against entries that are older than what the engine stated."""
    cell = make_cell(engine('e1', slots=9), engine('e2', slots=1))
    cell.apply_observation(_leaving('e1'), 'a#1', 0)
    cell.apply_observation(_observed('e1'), 'a#1', 1)
    cell.update_engines([engine('e2', slots=1)], MODEL, {})
    cell.update_engines(
        [engine('e1', slots=9), engine('e2', slots=1)], MODEL, {}
    )
    assert _upstreams(cell, 3) == {'e2'}
    again = [engine('e1', slots=9, born_ms=2), engine('e2', slots=1)]
    cell.update_engines(again, MODEL, {})
    assert _upstreams(cell, 3, 10) == {'e1'}
    cell.apply_observation(_leaving('e1'), 'a#1', 20)
    assert not cell.loads['e1'].is_leaving


def test_leaving_does_not_change_a_limit() -> None:
    """Guards against a report on one statement that ends another."""
    cell = make_cell(engine('e1'))
    limit = _observed('e1', per_s=2.0, is_limit_unknown=None)
    assert cell.apply_observation(limit, 'a#1', 0) is not None
    cell.apply_observation(_leaving('e1'), 'a#1', 1)
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
    cell.apply_observation(_leaving('e1'), 'a#1', 2)
    assert _refused(cell, 30) == {'retry': RefusalReason.NO_UPSTREAM}
    cell.apply_observation(_leaving('e2'), 'a#1', 40)
    assert _refused(cell, 70) == {'new': RefusalReason.NO_UPSTREAM}
    refused = enqueue(cell, make_request('later'), 71)
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
        cell.apply_observation(_leaving('e1'), 'a#1', 2)
    else:
        listed = [engine('e1', is_draining=True), engine('e2', slots=1)]
        cell.update_engines(listed, MODEL, {})
    assert not _refused(cell, 30)
    assert len(cell) == 1


def _refused(cell: EngineCell, now: float) -> dict[str, RefusalReason]:
    return {
        each.queued.request.request_id: RefusalReason(each.refusal.reason)
        for each in cell.refuse_expired(now)
    }


def _resting(name: str, rest_ms: int, **changes: object) -> EngineObservation:
    return _observed(name, rest_ms=rest_ms, **changes)


def _enqueue_from(
    cell: EngineCell, sender: str, request_id: str, now: float
) -> Refused | None:
    return cell.enqueue(
        make_request(request_id),
        sender=sender,
        deliver=async_discard,
        now=now,
    )


def _retry_after_ms(cell: EngineCell, sender: str, now: float) -> int:
    refused = _enqueue_from(cell, sender, f'{sender}-{now}', now)
    assert isinstance(refused, Refused)
    return int(refused.refusal.retry_after_ms)


def test_engine_rests_for_the_instance_that_it_asked() -> None:
    """Guards against a rest that keeps other instances from an engine."""
    cell = make_cell(engine('e1', slots=9), engine('e2', slots=3))
    change = cell.apply_observation(_resting('e1', 3000), 'a#1', 0)
    assert change is not None and change.rest_ms == 3000
    for sender in ('a#1', 'a#2', 'a', 'b#3'):
        assert _enqueue_from(cell, sender, sender, 1) is None
    upstreams = dict(granted(cell, 1))
    assert upstreams.pop('b#3') == 'e1'
    assert list(upstreams.values()) == ['e2', 'e2', 'e2']


def test_longest_rest_counts() -> None:
    """Guards against a rest that a later rejection cuts short."""
    cell = make_cell(engine('e1'))
    condition = cell.loads['e1'].condition
    cell.apply_observation(_resting('e1', 3000), 'a', 0)
    for rest_ms in (None, 0, 500):
        observed = _observed('e1', rest_ms=rest_ms)
        assert cell.apply_observation(observed, 'a', 100) is None
    assert condition.is_resting('a', 2999)
    assert not condition.is_resting('a', 3000)
    assert cell.apply_observation(_resting('e1', 3000), 'a', 1000) is not None
    assert condition.is_resting('a', 3999)
    cell.apply_observation(_resting('e1', 10), 'b', 5000)
    assert condition.open_ms(('a',)) < 0


def test_rest_outlives_an_entry_but_not_an_incarnation() -> None:
    """Guards against losing rests in an outage of the store."""
    cell = make_cell(engine('e1'), engine('e2'))
    cell.apply_observation(_resting('e1', 3000), 'a', 0)
    cell.update_engines([engine('e2')], MODEL, {})
    cell.update_engines([engine('e1'), engine('e2')], MODEL, {})
    assert cell.loads['e1'].condition.is_resting('a', 1)
    cell.update_engines([engine('e1', born_ms=2), engine('e2')], MODEL, {})
    assert not cell.loads['e1'].condition.is_resting('a', 1)


def test_request_waits_for_the_end_of_a_short_rest() -> None:
    """Guards against refusals of requests that can be on time."""
    cell = make_cell(engine('e1'))
    cell.apply_observation(_resting('e1', 100), 'a', 0)
    assert _enqueue_from(cell, 'a', 'r', 0) is None
    assert not granted(cell, 99)
    assert granted(cell, 120) == [('r', 'e1')]


def test_requests_are_refused_at_once_if_all_engines_rest() -> None:
    """Guards against waiting in vain while other instances are served."""
    cell = make_cell(engine('e1', slots=1), instances=('a', 'b'))
    assert _enqueue_from(cell, 'b', 'running', 0) is None
    assert granted(cell) == [('running', 'e1')]
    waiting = make_request('waiting', objective_ms=OBJECTIVE_MS)
    refused = cell.enqueue(waiting, sender='a', deliver=async_discard, now=0)
    assert refused is None
    cell.apply_observation(_resting('e1', 30_000), 'a', 1)
    assert _refused(cell, 30) == {'waiting': RefusalReason.NO_UPSTREAM}
    # Another instance may send at once, so its caller should come back soon.
    assert _retry_after_ms(cell, 'a', 31) < 500


def test_callers_come_back_when_an_engine_takes_requests_again() -> None:
    """Guards against callers that return, all at once, to resting engines."""
    cell = make_cell(engine('e1'), engine('e2'), instances=('a', 'b'))
    for name, rest_ms in (('e1', 9000), ('e2', 8000)):
        for instance in ('a', 'b'):
            observed = _resting(name, rest_ms)
            cell.apply_observation(observed, instance, 0)
    times_ms = [
        number + _retry_after_ms(cell, 'a', number) for number in range(1, 9)
    ]
    assert min(times_ms) >= 8000
    assert max(times_ms) < 9000
    assert len(set(times_ms)) == len(times_ms)
