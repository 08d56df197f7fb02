"""Order and placement of requests in a cell of upstreams."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.connection.address import Address
from hornbeamdeck.scheduling.cell import Cell
from hornbeamdeck.version.entities import Upstream
from hornbeamdeck.wire import (
    Enqueue,
    Message,
    Progress,
    RefusalReason,
    Register,
    Release,
    RunEnd,
)

MAX_RUNNING = 4


async def _async_discard(_message: Message) -> None:
    """Discard a message."""


def make_cell(*names: str, max_prompt_tokens: int = 1000) -> Cell:
    """Create a cell with upstreams of these names."""
    cell = Cell()
    upstreams = tuple(
        Upstream(
            name=name,
            service='desk',
            address=Address('127.0.0.1', 1000 + number),
            availability_zone='z',
            max_running=MAX_RUNNING,
            max_prompt_tokens=max_prompt_tokens,
        )
        for number, name in enumerate(names)
    )
    cell.apply_configuration(upstreams, weights={}, top_rank=0)
    return cell


def make_request(name: str, **changes: Any) -> Enqueue:
    """Create a request."""
    fields = {
        'request_id': name,
        'cell': 'desk',
        'team': 'guides',
        'tier_rank': 0,
        'deadline_ms': 10_000,
        'prompt_tokens': 10,
        'output_tokens': 10,
        'fingerprint': name,
        **changes,
    }
    return Enqueue(**fields)


def enqueue(cell: Cell, request: Enqueue, now: float = 0) -> Any:
    """Enqueue a request and return its refusal, if any."""
    return cell.enqueue(request, sender='s', deliver=_async_discard, now=now)


def granted_ids(cell: Cell, now: float = 0) -> list[str]:
    """Return the ids of the requests that are granted now."""
    return [each.queued.request.request_id for each in cell.place_waiting(now)]


def end_run(cell: Cell, name: str, end: RunEnd = RunEnd.ANSWERED) -> None:
    """End a run after 100 ms."""
    progress = Progress(request_id=name, cell='desk', first_token_ms=20)
    cell.progress(progress, now=0)
    release = Release(request_id=name, cell='desk', end=end, total_ms=100)
    cell.release(release, now=0)


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(1, 900)),
        max_size=40,
    ),
)
def test_limits_hold_and_higher_tiers_go_first(
    requests: list[tuple[int, int]],
) -> None:
    cell = make_cell('a', 'b')
    for number, (rank, tokens) in enumerate(requests):
        request = make_request(
            f'r{number}', tier_rank=rank, prompt_tokens=tokens
        )
        enqueue(cell, request)
    order: list[int] = []
    for _ in requests:
        now_granted = list(cell.place_waiting(0))
        order += [each.queued.request.tier_rank for each in now_granted]
        for load in cell.loads.values():
            assert len(load.runs) <= MAX_RUNNING
            if len(load.runs) > 1:
                assert load.prompt_tokens <= 1000
        for each in now_granted:
            end_run(cell, each.queued.request.request_id, RunEnd.CANCELLED)
    assert not len(cell)
    assert order == sorted(order)
    assert all(load.prompt_tokens == 0 for load in cell.loads.values())


def test_lower_tiers_leave_headroom() -> None:
    """Guards against low tiers that take every slot. An urgent request that
    arrives next would wait for the end of a long response, so one slot stays
    free for the top tier.
    """
    cell = make_cell('a')
    for number in range(MAX_RUNNING):
        enqueue(cell, make_request(f'long{number}', tier_rank=2))
    assert len(granted_ids(cell)) == MAX_RUNNING - 1
    enqueue(cell, make_request('urgent'))
    assert granted_ids(cell) == ['urgent']


def test_long_prompts_do_not_pile_up_on_one_engine() -> None:
    """Guards against two long prompts on one engine at once. The second waits
    in the cell, not in the engine, where it would delay the first token of all
    others.
    """
    cell = make_cell('a')
    enqueue(cell, make_request('first', prompt_tokens=900))
    enqueue(cell, make_request('second', prompt_tokens=900))
    assert granted_ids(cell) == ['first']
    cell.progress(
        Progress(request_id='first', cell='desk', first_token_ms=500),
        now=0,
    )
    assert granted_ids(cell) == ['second']


def test_request_that_would_be_late_is_refused_at_once() -> None:
    """Guards against prefilling a prompt whose response would come after its
    deadline. Such a request is refused at arrival.
    """
    cell = make_cell('a')
    enqueue(cell, make_request('past'))
    granted_ids(cell)
    end_run(cell, 'past')
    refused = enqueue(
        cell, make_request('late', output_tokens=500, deadline_ms=50)
    )
    assert refused.refusal.reason == RefusalReason.DEADLINE
    assert len(cell) == 0


def test_waiting_request_is_refused_when_it_would_be_late() -> None:
    """Long responses hold all slots. A waiting request is refused as soon as it
    can no longer be answered in time, not only at its deadline.
    """
    cell = make_cell('a')
    enqueue(cell, make_request('past'))
    granted_ids(cell)
    end_run(cell, 'past')
    for number in range(MAX_RUNNING):
        cell.register(
            Register(
                request_id=f'run{number}',
                cell='desk',
                upstream='a',
                prompt_tokens=10,
                output_tokens=10,
                is_prefilling=False,
                fingerprint=f'run{number}',
            ),
            'other',
        )
    assert enqueue(cell, make_request('waits', deadline_ms=1000)) is None
    assert granted_ids(cell) == []
    assert not list(cell.refuse_expired(800))
    expired = list(cell.refuse_expired(950))
    assert [each.queued.request.request_id for each in expired] == ['waits']


def test_dead_upstream_is_in_backoff() -> None:
    """An upstream has died and refuses connections. After the first failed
    connection it gets no requests for a while, or each waiting request would
    spend its time on trying it.
    """
    cell = make_cell('a', 'b')
    enqueue(cell, make_request('first'))
    first = next(iter(cell.place_waiting(0)))
    end_run(cell, 'first', RunEnd.NOT_DISPATCHED)
    for number in range(3):
        enqueue(cell, make_request(f'next{number}'))
    upstreams_used = {each.upstream for each in cell.place_waiting(1)}
    assert upstreams_used == {'a', 'b'} - {first.upstream}


def test_closed_connection_removes_its_requests() -> None:
    """An ingress instance dies. Its requests must not keep slots and must not
    be granted.
    """
    cell = make_cell('a')
    for number in range(MAX_RUNNING + 2):
        enqueue(cell, make_request(f'r{number}'))
    granted_ids(cell)
    cell.remove_sender('s')
    assert len(cell) == 0
    assert not cell.loads['a'].runs
    assert cell.loads['a'].prompt_tokens == 0


def test_recovered_upstream_is_tried_again() -> None:
    """An upstream was slow for a while, so requests with short deadlines are
    refused. Without runs nothing new is learned. Unless old estimates lose
    weight with time, such requests would be refused for ever after it has
    recovered.
    """
    cell = make_cell('a')
    enqueue(cell, make_request('slow'))
    granted_ids(cell)
    cell.release(
        Release(
            request_id='slow',
            cell='desk',
            end=RunEnd.ANSWERED,
            total_ms=8000,
        ),
        now=0,
    )
    refused = enqueue(cell, make_request('soon', deadline_ms=3000), now=100)
    assert refused.refusal.reason == RefusalReason.DEADLINE
    assert (
        enqueue(cell, make_request('later', deadline_ms=3000), now=30_000)
        is None
    )
    assert granted_ids(cell, now=30_000) == ['later']
