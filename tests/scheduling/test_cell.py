"""Which request a cell's owner runs next, and where."""

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


async def _async_nowhere(_message: Message) -> None:
    """Deliver to nobody."""


def make_cell(*names: str, max_prompt_tokens: int = 1000) -> Cell:
    """Make a cell with these upstreams."""
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
    cell.adopt(upstreams, weights={}, top_rank=0)
    return cell


def enqueue(name: str, **changes: Any) -> Enqueue:
    """Make a request to queue."""
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


def offer(cell: Cell, request: Enqueue, now: float = 0) -> Any:
    """Offer a request and give its refusal, if any."""
    return cell.offer(request, sender='s', deliver=_async_nowhere, now=now)


def granted(cell: Cell, now: float = 0) -> list[str]:
    """Give the ids granted now."""
    return [each.ticket.request.request_id for each in cell.grants(now)]


def end(cell: Cell, name: str, how: RunEnd = RunEnd.ANSWERED) -> None:
    """End a run after 100 ms."""
    progress = Progress(request_id=name, cell='desk', first_token_ms=20)
    cell.progress(progress, now=0)
    release = Release(request_id=name, cell='desk', end=how, total_ms=100)
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
        asked = enqueue(f'r{number}', tier_rank=rank, prompt_tokens=tokens)
        offer(cell, asked)
    order: list[int] = []
    for _ in requests:
        now_granted = list(cell.grants(0))
        order += [each.ticket.request.tier_rank for each in now_granted]
        for load in cell.loads.values():
            assert len(load.runs) <= MAX_RUNNING
            if len(load.runs) > 1:
                assert load.prompt_tokens <= 1000
        for each in now_granted:
            end(cell, each.ticket.request.request_id, RunEnd.CANCELLED)
    assert not len(cell)
    assert order == sorted(order)
    assert all(load.prompt_tokens == 0 for load in cell.loads.values())


def test_lower_tiers_leave_headroom() -> None:
    """Long write-ups fill every place just before a guide asks about the cap
    in her hand. One place is kept free of them, so she need not wait.
    """
    cell = make_cell('a')
    for number in range(MAX_RUNNING):
        offer(cell, enqueue(f'long{number}', tier_rank=2))
    assert len(granted(cell)) == MAX_RUNNING - 1
    offer(cell, enqueue('urgent'))
    assert granted(cell) == ['urgent']


def test_long_prompts_do_not_pile_up_on_one_engine() -> None:
    """Two window lists of a whole hotel reach one engine at once. The second
    waits here, not in the engine before everybody else's first token.
    """
    cell = make_cell('a')
    offer(cell, enqueue('first', prompt_tokens=900))
    offer(cell, enqueue('second', prompt_tokens=900))
    assert granted(cell) == ['first']
    cell.progress(
        Progress(request_id='first', cell='desk', first_token_ms=500),
        now=0,
    )
    assert granted(cell) == ['second']


def test_hopeless_request_is_refused_at_once() -> None:
    """A quotation that would be done long after the homeowner has left is
    refused when it comes, before its prompt costs an engine anything.
    """
    cell = make_cell('a')
    offer(cell, enqueue('past'))
    granted(cell)
    end(cell, 'past')
    refused = offer(cell, enqueue('late', output_tokens=500, deadline_ms=50))
    assert refused.refusal.reason == RefusalReason.DEADLINE
    assert len(cell) == 0


def test_waiting_request_is_refused_when_its_time_is_up() -> None:
    """All places are held by long answers. A request that waits is told as
    soon as it can no longer be answered in time, not at its deadline.
    """
    cell = make_cell('a')
    offer(cell, enqueue('past'))
    granted(cell)
    end(cell, 'past')
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
    assert offer(cell, enqueue('waits', deadline_ms=1000)) is None
    assert granted(cell) == []
    assert not list(cell.expire(800))
    given_up = list(cell.expire(950))
    assert [each.ticket.request.request_id for each in given_up] == ['waits']


def test_dead_upstream_rests() -> None:
    """An engine has died and refuses connections. After the first failed
    connect it gets nothing for a while, so that not every waiting guide's
    request spends its time on trying it.
    """
    cell = make_cell('a', 'b')
    offer(cell, enqueue('first'))
    first = next(iter(cell.grants(0)))
    end(cell, 'first', RunEnd.NOT_DISPATCHED)
    for number in range(3):
        offer(cell, enqueue(f'next{number}'))
    places = {each.upstream for each in cell.grants(1)}
    assert places == {'a', 'b'} - {first.upstream}


def test_gone_connection_takes_its_requests_along() -> None:
    """An ingress instance dies. What it had asked for must neither hold places
    nor be granted to nobody.
    """
    cell = make_cell('a')
    for number in range(MAX_RUNNING + 2):
        offer(cell, enqueue(f'r{number}'))
    granted(cell)
    cell.drop_sender('s')
    assert len(cell) == 0
    assert not cell.loads['a'].runs
    assert cell.loads['a'].prompt_tokens == 0


def test_recovered_engine_is_tried_again() -> None:
    """An engine was slow for a while, so that guides' requests with short
    deadlines are refused as hopeless. With nothing run there is nothing to
    learn from: unless old times are trusted less and less, the guides would
    be refused for ever, long after the engine has recovered.
    """
    cell = make_cell('a')
    offer(cell, enqueue('slow'))
    granted(cell)
    cell.release(
        Release(
            request_id='slow',
            cell='desk',
            end=RunEnd.ANSWERED,
            total_ms=8000,
        ),
        now=0,
    )
    refused = offer(cell, enqueue('soon', deadline_ms=3000), now=100)
    assert refused.refusal.reason == RefusalReason.DEADLINE
    assert offer(cell, enqueue('later', deadline_ms=3000), now=30_000) is None
    assert granted(cell, now=30_000) == ['later']
