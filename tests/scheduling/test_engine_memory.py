"""Room in the memory of engines."""

from hornbeamdeck.scheduling.cell import Refused
from hornbeamdeck.wire import Register, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    MODEL,
    async_discard,
    engine,
    make_cell,
    make_request,
)

SMALL = MODEL._replace(memory_tokens=10_000)


def test_engine_gets_no_more_than_its_memory_holds() -> None:
    """Guards against an engine with free slots that crashes for its memory."""
    cell = make_cell(engine('a', slots=4), properties=SMALL)
    for name in ('r1', 'r2', 'r3'):
        request = make_request(name, prompt_tokens=4000, output_tokens=500)
        cell.enqueue(request, sender='i1', deliver=async_discard, now=0)
    granted = [each.queued.request.request_id for each in cell.place_waiting(0)]
    assert granted == ['r1', 'r2']
    release = Release(
        request_id='r1', cell='desk', end=RunEnd.ANSWERED, total_ms=90
    )
    cell.release(release, 100)
    placed = list(cell.place_waiting(100))
    assert [each.queued.request.request_id for each in placed] == ['r3']


def test_request_larger_than_all_engines_is_refused_at_once() -> None:
    """Guards against a request that waits for what no engine ever has."""
    cell = make_cell(engine('a', slots=4), properties=SMALL)
    refused = cell.enqueue(
        make_request('r1', prompt_tokens=9000, output_tokens=2000),
        sender='i1',
        deliver=async_discard,
        now=0,
    )
    assert isinstance(refused, Refused)


def test_new_owner_counts_the_runs_that_are_registered() -> None:
    """Guards against memory that a new owner takes for free."""
    cell = make_cell(engine('a', slots=4), properties=SMALL)
    run = Register(
        request_id='r0',
        cell='desk',
        upstream='a',
        prompt_tokens=8000,
        output_tokens=500,
        is_prefilling=False,
        fingerprint='r0',
    )
    cell.register(run, 'i1')
    request = make_request('r1', prompt_tokens=4000, output_tokens=500)
    cell.enqueue(request, sender='i1', deliver=async_discard, now=0)
    assert not list(cell.place_waiting(0))
