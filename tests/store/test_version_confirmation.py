"""Tests of questions to the store which versions served."""

from collections.abc import Callable
from typing import Any

import pytest
from curio import Event, Kernel, sleep, spawn
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.stream_origins import OriginBook
from hornbeamdeck.store.fleet_record import FleetRecord
from hornbeamdeck.store.record_kinds import ENGINE_VERSIONS
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface
from hornbeamdeck.store.version_confirmation import VersionConfirmation
from hornbeamdeck.wire import RefusalReason
from tests.scheduling.engine_cell_factories import (
    always_certain,
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)

ERA = 3


class _Store:
    """A store with one record, and a process that asks it."""

    def __init__(self) -> None:
        self.versions = ['v1']
        self.complete = ['desk']
        self.record_era = ERA
        self.is_away = False
        self.answer_s = 0.0
        self.calls = 0
        self.may_answer = Event()
        self._listed_ms = -1.0
        self.cell = _make_cell(self._listed_at)
        cells = {'desk': self.cell}
        unused: dict[str, Any] = dict.fromkeys(StoreInterface._fields)
        store = StoreInterface(
            **{**unused, 'read_record': self._async_read_record}
        )
        self.confirmation = VersionConfirmation(
            FleetRecord(ENGINE_VERSIONS, store, cells, bool, lambda: ERA),
            self._async_read_engines,
            cells,
        )

    async def async_start(self) -> None:
        await self.may_answer.set()
        await spawn(self.confirmation.async_run, daemon=True)

    def _listed_at(self) -> float:
        return self._listed_ms

    async def _async_read_record(
        self, _name: str
    ) -> Result[StoredRecord, StoreUnavailable]:
        self.calls += 1
        fields = {
            'era': self.record_era,
            'names': {'desk': list(self.versions)},
            'complete': list(self.complete),
        }
        await self.may_answer.wait()
        await sleep(self.answer_s)
        if self.is_away:
            return Err(StoreUnavailable('away'))
        revision = StoreRevision(ERA, 10 + len(self.versions))
        return Ok(StoredRecord(revision, fields))

    async def _async_read_engines(self) -> bool:
        requested_ms = now_ms()
        await sleep(self.answer_s)
        self._listed_ms = requested_ms
        return not self.is_away


def _make_cell(listed_ms: Callable[[], float]) -> EngineCell:
    listed = engine('of-v1', version='v1')
    cell = make_cell(listed)
    cell.origins = OriginBook(always_certain, lambda: 1.0, listed_ms)
    cell.origins.history.add_earlier((), now_ms())
    cell.origins.update_engines([listed], now_ms())
    return cell


async def _async_outcome(store: _Store) -> str:
    """Take an unknown stream up; return the version, or why there is none."""
    request = make_request(
        'again', resumes='first', objective_ms=3000, deadline_ms=3000
    )
    refused = enqueue(store.cell, request, now_ms())
    assert refused is None
    await store.confirmation.async_request()
    while True:
        await sleep(0.02)
        if granted(store.cell, now_ms()):
            return str(request.version)
        expired = list(store.cell.refuse_expired(now_ms()))
        if expired:
            return RefusalReason(expired[0].refusal.reason).name


def _run(
    prepare: Callable[[_Store], None],
) -> tuple[str, _Store]:
    async def _async_run() -> tuple[str, _Store]:
        store = _Store()
        prepare(store)
        await store.async_start()
        return await _async_outcome(store), store

    with Kernel() as kernel:
        outcome, store = kernel.run(_async_run)
    return outcome, store


def test_stream_goes_on_once_the_store_was_asked() -> None:
    """Guards against refusing streams where one version served."""
    outcome, store = _run(lambda _store: None)
    assert (outcome, store.calls) == ('v1', 1)


def test_stream_goes_on_where_the_store_is_slow() -> None:
    """Guards against two calls that take longer than a stream waits."""
    outcome, _store = _run(lambda store: setattr(store, 'answer_s', 0.5))
    assert outcome == 'v1'


@pytest.mark.parametrize(
    'prepare',
    [
        lambda store: store.versions.append('v2'),
        lambda store: store.complete.clear(),
        lambda store: setattr(store, 'record_era', ERA - 1),
        lambda store: setattr(store, 'is_away', True),
    ],
    ids=['missed version', 'incomplete record', 'restored record', 'outage'],
)
def test_stream_is_refused_without_proof(
    prepare: Callable[[_Store], None],
) -> None:
    """Guards against a version that the store does not show to be the only."""
    outcome, store = _run(prepare)
    assert outcome == 'UNKNOWN_STREAM'
    # One question is asked in 100 ms, for as long as the stream waits.
    assert store.calls <= 10


def test_question_that_was_asked_before_a_request_is_no_answer_to_it() -> None:
    """Guards against an answer that a version may have joined after."""

    async def _async_run() -> str:
        store = _Store()
        await store.async_start()
        store.may_answer.clear()
        await store.confirmation.async_request()
        while not store.calls:
            await sleep(0.01)
        # The answer that is on its way still names v1 alone.
        outcome = await spawn(_async_outcome, store)
        await sleep(0.05)
        store.versions.append('v2')
        await store.may_answer.set()
        return str(await outcome.join())

    with Kernel() as kernel:
        assert kernel.run(_async_run) == 'UNKNOWN_STREAM'
