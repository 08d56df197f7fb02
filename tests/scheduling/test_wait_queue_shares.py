"""Order, admission and refusal of teams beyond their share."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.fair_shares import MAX_LEAD_REQUESTS, FairShares
from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.request_rank import rank_of
from hornbeamdeck.scheduling.standing import Standing
from hornbeamdeck.scheduling.wait_queue import WaitQueue
from hornbeamdeck.wire import Enqueue
from tests.scheduling.engine_cell_factories import async_discard, make_request

MANY = int(MAX_LEAD_REQUESTS) * 3
FASTEST_MS = 20


class SharedQueue:
    """A wait queue in which the team `heavy` has used more than its share."""

    def __init__(self) -> None:
        """Start with a request granted, so that no fair turn is due."""
        self.shares = FairShares()
        self.queue = WaitQueue(self.shares)
        self.push(make_request('first', team='other'))
        self.queue.start('first', 0)
        self.shares.add_waiting('other', 0)
        for _ in range(MANY):
            self.shares.charge('heavy', 100, 0)
        self.shares.remove_waiting('other')

    def push(
        self,
        request: Enqueue,
        now: float = 0,
        standing: Standing = Standing.WITHIN_SHARE,
    ) -> None:
        """Add a request."""
        queued = QueuedRequest(
            request=request,
            sender='s',
            deliver=async_discard,
            deadline_ms=now + (request.patience_ms or 0),
            service_ms=0,
            standing=standing,
        )
        self.queue.push(queued, now, FASTEST_MS)

    def order(self, now: float = 0) -> list[str]:
        """Return the ids of the waiting requests in their order."""
        return [
            queued.request.request_id for queued in self.queue.in_order(now)
        ]


def test_within_a_rank_teams_within_their_share_go_first() -> None:
    """The heavy team's requests arrived first and must start first. By urgency
    alone, they would take every slot.
    """
    shared = SharedQueue()
    shared.push(make_request('heavy', team='heavy', objective_ms=300))
    assert shared.order() == ['heavy']
    shared.push(make_request('light', team='light', objective_ms=500))
    assert shared.order() == ['light', 'heavy']


def test_a_more_urgent_request_goes_first_whatever_its_team_used() -> None:
    """Guards against shares that break the strict order of priorities."""
    shared = SharedQueue()
    shared.push(make_request('light', team='light', tier_rank=1))
    shared.push(make_request('heavy', team='heavy', tier_rank=0))
    assert shared.order() == ['heavy', 'light']


def test_retries_and_resumed_streams_stay_first() -> None:
    """Their first part is lost if they are refused, whoever sent them."""
    shared = SharedQueue()
    shared.push(make_request('light', team='light'))
    shared.push(make_request('resumed', team='heavy', resumes='r0'))
    shared.push(make_request('retry', team='heavy', excluded=['e1']))
    assert shared.order() == ['retry', 'resumed', 'light']


def test_returning_requests_go_before_new_ones_of_their_rank() -> None:
    shared = SharedQueue()
    shared.push(make_request('light', team='light', objective_ms=300))
    shared.push(make_request('back', team='heavy'), standing=Standing.RETURNING)
    shared.push(make_request('urgent', team='light', tier_rank=-1))
    assert shared.order() == ['urgent', 'back', 'light']


def test_a_request_within_its_share_is_admitted_past_those_beyond() -> None:
    """The queue is as long as may be waited, all with requests of a heavy team.
    If they counted, every other team's request would be refused.
    """
    shared = SharedQueue()
    for number in range(40):
        shared.push(make_request(f'h{number}', team='heavy'))
    full = Forecast((), 15)
    light = make_request('light', team='light')
    heavy = make_request('more', team='heavy')
    assert shared.queue.can_start_in_time(light, FASTEST_MS, full, 0)
    shared.push(light)
    assert not shared.queue.can_start_in_time(heavy, FASTEST_MS, full, 0)


def test_a_free_slot_is_not_kept_for_those_that_can_not_use_it() -> None:
    """A request within its share waits for a faster engine than the one that
    has a slot. A heavy team's request must not be refused meanwhile.
    """
    shared = SharedQueue()
    shared.push(make_request('held', team='light', tier_rank=2))
    short = make_request('short', team='heavy', tier_rank=0)
    one_free = Forecast((0, 150, 200), 15)
    assert shared.queue.can_start_in_time(short, FASTEST_MS, one_free, 170)


def test_requests_beyond_their_share_are_refused_first() -> None:
    """All wait, and there are slots in time for half of them."""
    shared = SharedQueue()
    for number in range(10):
        shared.push(make_request(f'h{number}', team='heavy', objective_ms=400))
        shared.push(make_request(f'l{number}', team='light', objective_ms=400))
    later = Forecast((*range(10), *([9000] * 10)), 15)
    refused = shared.queue.expired(10, later)
    assert {queued.request.team for queued in refused} == {'heavy'}
    assert len(refused) == 10


@pytest.mark.parametrize('team', ['heavy', 'light'])
def test_one_team_alone_is_ordered_by_urgency(team: str) -> None:
    """Guards against decisions that change where no other team waits."""
    shared = SharedQueue()
    shared.push(make_request('b', team=team, objective_ms=400))
    shared.push(make_request('c', team=team, tier_rank=1, objective_ms=100))
    shared.push(make_request('a', team=team, objective_ms=300))
    assert shared.order() == ['a', 'b', 'c']


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(('heavy', 'light', 'other')),
            st.integers(30, 900),
        ),
        max_size=30,
    ),
    st.integers(0, 600),
)
def test_no_less_urgent_request_goes_first(
    requests: list[tuple[int, str, int]], now: int
) -> None:
    """Guards against an order in which shares outweigh the rank."""
    shared = SharedQueue()
    for number, (rank, team, objective_ms) in enumerate(requests):
        shared.push(
            make_request(
                f'r{number}',
                team=team,
                tier_rank=rank,
                objective_ms=objective_ms,
            )
        )
    ranks = [
        rank_of(
            queued.request,
            is_late=(queued.request.objective_ms or 0) - FASTEST_MS < now,
        )
        for queued in shared.queue.in_order(now)
    ]
    assert len(ranks) == len(requests)
    assert ranks == sorted(ranks)
