"""Tests of the origins that the store keeps for a fleet without memory."""

from typing import Any

import pytest
from curio import run, sleep, spawn
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.json_calls import parse_body
from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.stream_origins import OriginBook
from hornbeamdeck.store.origin_store import OriginStore
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface
from tests.scheduling.engine_cell_factories import (
    always_certain,
    engine,
    make_cell,
    make_request,
)

V1 = engine('of-v1', version='v1')
V2 = engine('of-v2', version='v2')


class _Store:
    """Holds records; each call takes a moment."""

    def __init__(self) -> None:
        self.records: dict[str, StoredRecord] = {}
        self.era = 1
        self.calls = 0
        self.running = 0
        self.is_away = False
        self._number = 0

    def open(self) -> StoreInterface:
        unused: dict[str, Any] = dict.fromkeys(StoreInterface._fields)
        return StoreInterface(
            **{
                **unused,
                'write_record': self._async_write,
                'list_records': self._async_list,
            }
        )

    async def _async_call(self) -> None:
        self.calls += 1
        assert not self.running
        self.running += 1
        await sleep(0.005)
        self.running -= 1

    async def _async_list(
        self,
    ) -> Result[dict[str, StoredRecord], StoreUnavailable]:
        await self._async_call()
        if self.is_away:
            return Err(StoreUnavailable('away'))
        return Ok(dict(self.records))

    async def _async_write(
        self, name: str, record: StoredRecord
    ) -> Result[StoredRecord, StoreUnavailable]:
        await self._async_call()
        held = self.records.get(name)
        if self.is_away:
            return Err(StoreUnavailable('away'))
        if held is not None and held.revision != record.revision:
            return Ok(held)
        self._number += 1
        revision = StoreRevision(self.era, self._number)
        self.records[name] = StoredRecord(revision, record.fields)
        return Ok(self.records[name])


class _Owner:
    """An owner of one cell, with two engines unless told otherwise."""

    def __init__(self, store: _Store, *engines: Any) -> None:
        self.cell = make_cell()
        self.cell.origins = OriginBook(always_certain)
        self.cell.origins.awaits_stored = True
        self.cell.origins.history.add_earlier((), now_ms())
        self.cell.origins.update_engines(engines or (V1, V2), now_ms())
        self.is_writer = True
        self.counts = {'read': 0, 'written': 0}
        self.store = OriginStore(
            store.open(),
            {'desk': self.cell},
            lambda: self.is_writer,
            lambda: store.era,
            self._count,
        )

    def begin(self, request_id: str, at: Any = V1) -> None:
        request = make_request(request_id, resumable_ms=10_000)
        self.cell.origins.record_grant(request, at, now_ms())
        self.cell.origins.record_first_event(request_id, at, now_ms())

    def version(self, request_id: str) -> str | None:
        return _bound_version(self.cell, request_id)

    async def async_sync(self, times: int = 1) -> bool:
        return all([await self.store.async_sync() for _ in range(times)])

    def _count(self, direction: str, count: int) -> None:
        self.counts[direction] += count


def _bound_version(cell: EngineCell, request_id: str) -> str | None:
    request = make_request('again', resumes=request_id)
    cell.origins.bind(request, now_ms(), asked_ms=now_ms())
    return None if request.version is None else str(request.version)


def test_next_owner_knows_what_began_at_which_version() -> None:
    """Guards against streams that no instance outlived."""
    store = _Store()
    lost, owner = _Owner(store), _Owner(store)
    lost.begin('a')
    lost.begin('b', V2)
    run(lost.async_sync, 2)
    assert owner.cell.origins.may_learn(now_ms())
    run(owner.async_sync)
    assert not owner.cell.origins.may_learn(now_ms())
    assert (owner.version('a'), owner.version('b')) == ('v1', 'v2')
    assert owner.version('c') is None
    assert (lost.counts['written'], owner.counts['read']) == (2, 2)


def test_origins_outlast_two_losses_in_turn() -> None:
    """Guards against an owner that keeps what it has read to itself."""
    store = _Store()
    first, second, third = _Owner(store), _Owner(store), _Owner(store)
    first.begin('a')
    run(first.async_sync)
    run(second.async_sync)
    second.begin('b', V2)
    run(second.async_sync)
    run(third.async_sync)
    assert (third.version('a'), third.version('b')) == ('v1', 'v2')


def test_nothing_is_written_while_one_version_serves() -> None:
    """Guards against calls that are paid for nothing."""
    store = _Store()
    owner = _Owner(store, V1)
    for number in range(20):
        owner.begin(f'{number}')
        run(owner.async_sync)
    assert store.calls == 1
    owner.cell.origins.update_engines([V1, V2], now_ms())
    run(owner.async_sync, 5)
    assert store.calls == 2
    assert owner.counts['written'] == 20


def test_calls_per_second_are_bounded() -> None:
    """Guards against a write for each stream."""
    store = _Store()
    owner = _Owner(store)

    async def _async_run() -> None:
        task = await spawn(owner.store.async_run, daemon=True)
        for number in range(400):
            owner.begin(f'{number}')
            await sleep(0.005)
        await sleep(0.2)
        await task.cancel()

    started_ms = now_ms()
    run(_async_run)
    taken_s = (now_ms() - started_ms) / 1000
    assert owner.counts['written'] == 400
    assert store.calls <= 10 * taken_s + 1


def test_failed_read_is_repeated() -> None:
    """Guards against streams that stay unknown after an outage."""
    store = _Store()
    lost, owner = _Owner(store), _Owner(store)
    lost.begin('a')
    run(lost.async_sync)
    store.is_away = True
    assert not run(owner.async_sync)
    assert owner.cell.origins.may_learn(now_ms())
    store.is_away = False
    assert run(owner.async_sync)
    assert owner.version('a') == 'v1'


def test_failed_write_is_repeated() -> None:
    """Guards against origins that are dropped in an outage."""
    store = _Store()
    lost, owner = _Owner(store), _Owner(store)
    run(lost.async_sync)
    lost.begin('a')
    store.is_away = True
    run(lost.async_sync)
    store.is_away = False
    run(lost.async_sync)
    run(owner.async_sync)
    assert owner.version('a') == 'v1'


def test_restored_store_is_written_again() -> None:
    """Guards against origins that a copy of the store does not hold."""
    store = _Store()
    lost, owner = _Owner(store), _Owner(store)
    lost.begin('a')
    run(lost.async_sync)
    store.records.clear()
    store.era = 2
    run(lost.async_sync)
    run(owner.async_sync)
    assert owner.version('a') == 'v1'


def test_two_owners_keep_what_the_other_has_written() -> None:
    """Guards against owners that replace each other's objects."""
    store = _Store()
    one, other, later = _Owner(store), _Owner(store), _Owner(store)
    for owner in (one, other):
        run(owner.async_sync)
    one.begin('a')
    other.begin('b', V2)
    run(one.async_sync, 2)
    run(other.async_sync, 3)
    run(later.async_sync)
    assert (later.version('a'), later.version('b')) == ('v1', 'v2')


def test_owners_that_differ_leave_a_stream_in_doubt() -> None:
    """Guards against the version that happens to be read last."""
    store = _Store()
    one, other, later = _Owner(store), _Owner(store), _Owner(store)
    for owner in (one, other):
        run(owner.async_sync)
    one.begin('a')
    other.begin('a', V2)
    run(one.async_sync, 2)
    run(other.async_sync, 4)
    run(later.async_sync)
    assert other.version('a') is None
    assert later.version('a') is None


def test_former_owner_reads_again_when_it_is_the_owner_again() -> None:
    """Guards against an owner that missed what its successor has granted."""
    store = _Store()
    former, other = _Owner(store), _Owner(store)
    run(former.async_sync)
    former.is_writer = False
    run(former.async_sync)
    assert former.cell.origins.may_learn(now_ms())
    other.begin('a')
    run(other.async_sync)
    former.is_writer = True
    run(former.async_sync)
    assert former.version('a') == 'v1'


@pytest.mark.parametrize(
    'fields',
    [None, 1, [], {}, {'services': 1}, {'services': {'desk': {'a': 1}}}],
)
def test_odd_objects_stop_nothing(fields: Any) -> None:
    """Guards against a task that ends with what another writer has written."""
    store = _Store()
    revision = StoreRevision(1, 1)
    for name in ('origins-0', 'origins-x', 'origins-999', 'origins-'):
        store.records[name] = StoredRecord(revision, fields)
    owner, later = _Owner(store), _Owner(store)
    owner.begin('a')
    assert run(owner.async_sync, 2)
    run(later.async_sync)
    assert later.version('a') == 'v1'


def test_deeply_nested_response_counts_as_an_outage() -> None:
    """Guards against a task that ends with the parser's recursion."""
    response = HttpResponse(200, {}, b'[' * 100_000)
    assert isinstance(parse_body(response), Err)
