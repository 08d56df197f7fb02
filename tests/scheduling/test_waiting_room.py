"""The order of waiting and how far expected waits are trusted."""

from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.ticket import Ticket
from hornbeamdeck.scheduling.waiting_room import WaitQueue
from hornbeamdeck.wire import Enqueue
from tests.scheduling.routed import ask, async_ignore


def _forecast(room: WaitQueue) -> Forecast:
    """Forecast where nothing is known of runs but the mean time."""
    return Forecast((), room.interval_ms)


def _push(room: WaitQueue, request: Enqueue, now: float = 0) -> None:
    ticket = Ticket(
        request=request,
        sender='s',
        deliver=async_ignore,
        deadline_ms=now + (request.patience_ms or 0),
        service_ms=0,
    )
    room.push(ticket, now, 20)


def _order(room: WaitQueue, now: float = 0) -> list[str]:
    return [ticket.request.request_id for ticket in room.in_order(now)]


def _start_one(room: WaitQueue) -> None:
    _push(room, ask('first'))
    room.start('first', 0)


def test_urgent_kinds_go_first_and_late_ones_behind() -> None:
    room = WaitQueue()
    _start_one(room)
    _push(room, ask('low', tier_rank=2))
    _push(room, ask('late', objective_ms=-900))
    _push(room, ask('middle', tier_rank=1))
    _push(room, ask('top'))
    _push(room, ask('late-low', tier_rank=2, objective_ms=-900))
    assert _order(room) == ['top', 'late', 'middle', 'low', 'late-low']


def test_the_route_orders_what_the_teams_priority_leaves_equal() -> None:
    """Each team has one priority for all it sends, and all teams the same. A
    burst of all kinds comes: quotations at the door wait as long as chat, and
    half of both are refused.
    """
    room = WaitQueue()
    _start_one(room)
    _push(room, ask('chat', tier_rank=1, route_rank=2))
    _push(room, ask('quotation', tier_rank=1, route_rank=0))
    _push(room, ask('other-team', tier_rank=0, route_rank=2))
    _push(room, ask('late', tier_rank=1, route_rank=0, objective_ms=-900))
    _push(room, ask('reply', tier_rank=1, route_rank=1))
    assert _order(room) == ['other-team', 'quotation', 'late', 'reply', 'chat']


def test_a_second_try_goes_before_all() -> None:
    room = WaitQueue()
    _start_one(room)
    _push(room, ask('top'))
    _push(room, ask('again', tier_rank=2, excluded=['e1']))
    assert _order(room)[0] == 'again'


def test_a_flood_of_urgent_requests_starves_no_one() -> None:
    """Urgent requests alone fill every place. Were they always first, nobody
    else would ever be served.
    """
    room = WaitQueue()
    _push(room, ask('low', tier_rank=2, objective_ms=400))
    served = []
    for number in range(12):
        _push(room, ask(f'top-{number}', objective_ms=500), number)
        first = _order(room, number)[0]
        served.append(first)
        room.start(first, number)
    assert 'low' in served


def test_waits_end_soon_after_the_objective() -> None:
    """Nobody starts in time any more, yet the caller would wait on. It hears so
    half a second past its objective, not at the end of its patience.
    """
    room = WaitQueue()
    _push(room, ask('r1', tier_rank=1, objective_ms=500, patience_ms=3800))
    assert not room.expired(900, _forecast(room))
    assert len(room.expired(1100, _forecast(room))) == 1


def test_who_was_overtaken_hears_at_once_that_it_waits_in_vain() -> None:
    """A request waits, and more urgent ones that come later fill the time that
    it has. Held to the end of its wait it would be refused all the same, with
    less time left to come back.
    """
    room = WaitQueue()
    _start_one(room)
    _push(room, ask('chat', tier_rank=2, objective_ms=400))
    assert not room.expired(10, _forecast(room))
    for number in range(60):
        _push(room, ask(f'urgent-{number}'), 10)
    gone = [
        ticket.request.request_id
        for ticket in room.expired(20, _forecast(room))
    ]
    assert gone == ['chat']


def test_a_second_try_is_not_refused_for_what_overtook_it() -> None:
    """A stream broke in the middle and waits to go on elsewhere. Refused, the
    half answer that its caller has would be for nothing.
    """
    room = WaitQueue()
    _start_one(room)
    _push(room, ask('broken', tier_rank=2, excluded=['e1']))
    for number in range(300):
        _push(room, ask(f'urgent-{number}'))
    assert 'broken' not in {
        ticket.request.request_id
        for ticket in room.expired(10, _forecast(room))
    }


def test_what_gets_the_next_place_does_not_wait_in_vain() -> None:
    """A place is free, or comes free in a moment, while the mean time between
    grants is long. Judged by the mean, the first in the queue would be refused
    right before it is granted.
    """
    room = WaitQueue()
    _push(room, ask('r1', tier_rank=2, objective_ms=400, patience_ms=100))
    slow = Forecast((), 250)
    assert not room.expired(1, Forecast((0,), 250))
    assert not room.expired(1, Forecast((50,), 250))
    assert len(room.expired(1, slow)) == 1
