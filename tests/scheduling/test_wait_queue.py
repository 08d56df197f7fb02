"""Order of the wait queue and use of expected waits."""

from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.wait_queue import WaitQueue
from hornbeamdeck.wire import Enqueue
from tests.scheduling.engine_cell_factories import async_discard, make_request


def _forecast(queue: WaitQueue) -> Forecast:
    """Return a forecast from the mean time between grants alone."""
    return Forecast((), queue.interval_ms)


def _push(queue: WaitQueue, request: Enqueue, now: float = 0) -> None:
    queued = QueuedRequest(
        request=request,
        sender='s',
        deliver=async_discard,
        deadline_ms=now + (request.patience_ms or 0),
        service_ms=0,
    )
    queue.push(queued, now, 20)


def _order(queue: WaitQueue, now: float = 0) -> list[str]:
    return [queued.request.request_id for queued in queue.in_order(now)]


def _start_one(queue: WaitQueue) -> None:
    _push(queue, make_request('first'))
    queue.start('first', 0)


def test_urgent_requests_go_first_and_late_ones_behind() -> None:
    queue = WaitQueue()
    _start_one(queue)
    _push(queue, make_request('low', tier_rank=2))
    _push(queue, make_request('late', objective_ms=-900))
    _push(queue, make_request('middle', tier_rank=1))
    _push(queue, make_request('top'))
    _push(queue, make_request('late-low', tier_rank=2, objective_ms=-900))
    assert _order(queue) == ['top', 'late', 'middle', 'low', 'late-low']


def test_the_route_orders_requests_of_equal_team_priority() -> None:
    """Each team has one priority for all its requests, and it is the same for
    all teams. In a burst of all kinds, urgent quotations would wait as long as
    chat, and half of both would be refused.
    """
    queue = WaitQueue()
    _start_one(queue)
    _push(queue, make_request('chat', tier_rank=1, route_rank=2))
    _push(queue, make_request('quotation', tier_rank=1, route_rank=0))
    _push(queue, make_request('other-team', tier_rank=0, route_rank=2))
    _push(
        queue,
        make_request('late', tier_rank=1, route_rank=0, objective_ms=-900),
    )
    _push(queue, make_request('reply', tier_rank=1, route_rank=1))
    assert _order(queue) == ['other-team', 'quotation', 'late', 'reply', 'chat']


def test_a_retry_goes_first() -> None:
    queue = WaitQueue()
    _start_one(queue)
    _push(queue, make_request('top'))
    _push(queue, make_request('again', tier_rank=2, excluded=['e1']))
    assert _order(queue)[0] == 'again'


def test_a_flood_of_urgent_requests_starves_no_one() -> None:
    """Urgent requests alone fill every slot. If they always started first, no
    other request would ever be served.
    """
    queue = WaitQueue()
    _push(queue, make_request('low', tier_rank=2, objective_ms=400))
    served = []
    for number in range(12):
        _push(queue, make_request(f'top-{number}', objective_ms=500), number)
        first = _order(queue, number)[0]
        served.append(first)
        queue.start(first, number)
    assert 'low' in served


def test_waits_end_soon_after_the_objective() -> None:
    """A request that can't start in time any more is refused half a second past
    its objective, not only at its client timeout.
    """
    queue = WaitQueue()
    _push(
        queue,
        make_request('r1', tier_rank=1, objective_ms=500, patience_ms=3800),
    )
    assert not queue.expired(900, _forecast(queue))
    assert len(queue.expired(1100, _forecast(queue))) == 1


def test_an_overtaken_request_is_refused_at_once() -> None:
    """More urgent requests that arrive later use up the time of a waiting
    request. If it were held until its deadline, it would be refused all the
    same, with less time left to retry.
    """
    queue = WaitQueue()
    _start_one(queue)
    _push(queue, make_request('chat', tier_rank=2, objective_ms=400))
    assert not queue.expired(10, _forecast(queue))
    for number in range(60):
        _push(queue, make_request(f'urgent-{number}'), 10)
    refused = [
        queued.request.request_id
        for queued in queue.expired(20, _forecast(queue))
    ]
    assert refused == ['chat']


def test_an_overtaken_retry_is_not_refused() -> None:
    """A stream broke in the middle and its retry waits to resume it on another
    engine. If the retry were refused, the partial response would be lost to its
    caller.
    """
    queue = WaitQueue()
    _start_one(queue)
    _push(queue, make_request('broken', tier_rank=2, excluded=['e1']))
    for number in range(300):
        _push(queue, make_request(f'urgent-{number}'))
    assert 'broken' not in {
        queued.request.request_id
        for queued in queue.expired(10, _forecast(queue))
    }


def test_the_request_that_gets_the_next_slot_is_not_refused() -> None:
    """A slot is free, or becomes free in a moment, while the mean time between
    grants is long. Judged by the mean, the first request in the queue would be
    refused right before it is granted.
    """
    queue = WaitQueue()
    _push(
        queue,
        make_request('r1', tier_rank=2, objective_ms=400, patience_ms=100),
    )
    slow = Forecast((), 250)
    assert not queue.expired(1, Forecast((0,), 250))
    assert not queue.expired(1, Forecast((50,), 250))
    assert len(queue.expired(1, slow)) == 1
