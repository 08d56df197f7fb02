"""Order of requests within a tier."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.tier_queue import TierQueue
from hornbeamdeck.wire import Enqueue, Message

TEAMS = ('guides', 'families', 'sales')


async def _async_discard(_message: Message) -> None:
    """Discard a message."""


def queued(
    name: str, team: str, tokens: int, deadline_ms: float
) -> QueuedRequest:
    """Create a queued request."""
    request = Enqueue(
        request_id=name,
        cell='desk',
        team=team,
        tier_rank=0,
        deadline_ms=int(deadline_ms),
        prompt_tokens=tokens,
        output_tokens=0,
        fingerprint=name,
    )
    return QueuedRequest(request, 'sender', _async_discard, deadline_ms, tokens)


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('push'),
            st.sampled_from(TEAMS),
            st.integers(1, 500),
            st.integers(1, 10_000),
        ),
        st.tuples(st.sampled_from(('serve', 'remove', 'displace'))),
    ),
    max_size=80,
)


@given(STEPS)
def test_no_request_is_lost_or_served_twice(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    queue = TierQueue()
    waiting: dict[str, QueuedRequest] = {}
    for number, step in enumerate(steps):
        if step[0] == 'push':
            pushed = queued(f'r{number}', *step[1:])
            queue.push(pushed)
            waiting[f'r{number}'] = pushed
        elif waiting:
            removed = _remove_one(queue, step[0])
            assert waiting.pop(removed.request.request_id) is removed
        assert len(queue) == len(waiting)
        assert {each.request.request_id for each in queue} == set(waiting)
        expected = sum(each.service_ms for each in waiting.values())
        assert abs(queue.service_ms - expected) < 0.001


def _remove_one(queue: TierQueue, action: str) -> QueuedRequest:
    if action == 'displace':
        newest = queue.newest_of_largest_team()
        return queue.remove(newest.request.request_id)
    following = queue.next_request().request.request_id
    if action == 'serve':
        return queue.serve(following, 1)
    return queue.remove(following)


@given(st.lists(st.integers(1, 10_000), min_size=2, max_size=30))
def test_earliest_deadline_first_within_a_team(deadlines: list[int]) -> None:
    queue = TierQueue()
    for number, deadline_ms in enumerate(deadlines):
        queue.push(queued(f'r{number}', 'guides', 10, deadline_ms))
    served = [_remove_one(queue, 'serve').deadline_ms for _ in deadlines]
    assert served == sorted(deadlines)


@given(st.lists(st.integers(1, 300), min_size=40, max_size=60))
def test_teams_share_by_tokens(sizes: list[int]) -> None:
    """One team floods a tier with requests. The other team of the tier, with as
    much to do, must still get half of the tokens served.
    """
    queue = TierQueue()
    for number, tokens in enumerate(sizes):
        queue.push(queued(f'a{number}', 'guides', tokens, number))
        for copy in range(5):
            queue.push(queued(f'b{number}-{copy}', 'sales', tokens, number))
    served: Counter[str] = Counter()
    while served['guides'] + served['sales'] < sum(sizes):
        removed = _remove_one(queue, 'serve')
        served[removed.request.team] += removed.cost_tokens
    assert abs(served['guides'] - served['sales']) <= 2 * max(sizes)


def test_idle_team_accumulates_no_turns() -> None:
    """A team is idle for a long time and then sends a hundred requests. If its
    unused turns were kept, all other teams would be blocked.
    """
    queue = TierQueue()
    for number in range(100):
        queue.push(queued(f'a{number}', 'guides', 10, number))
    for _ in range(50):
        _remove_one(queue, 'serve')
    for late in range(100):
        queue.push(queued(f'b{late}', 'sales', 10, late))
    turns = [_remove_one(queue, 'serve').request.team for _ in range(20)]
    assert 8 <= turns.count('guides') <= 12
