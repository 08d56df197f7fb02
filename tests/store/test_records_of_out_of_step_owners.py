"""Tests of what the record of an owner that was out of step proves."""

import math
from typing import Any

from curio import run
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.stream_origins import OriginBook
from hornbeamdeck.scheduling.version_history import HISTORY_MS
from hornbeamdeck.store.fleet_record import FleetRecord
from hornbeamdeck.store.record_kinds import ENGINE_VERSIONS
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface
from tests.scheduling.engine_cell_factories import (
    always_certain,
    engine,
    make_cell,
    make_request,
)


class _Store:
    """A store of one record, which may come back from an older copy."""

    def __init__(self) -> None:
        self.era = 3
        self.record = StoredRecord(None, {})
        self.takes_writes = True
        self._changes = 0
        unused: dict[str, Any] = dict.fromkeys(StoreInterface._fields)
        self.interface = StoreInterface(
            **{
                **unused,
                'write_record': self._async_write,
                'read_record': self._async_read,
            }
        )

    def restore(self, copy: StoredRecord) -> None:
        self.era += 1
        revision = StoreRevision(self.era, self._changes)
        self.record = copy._replace(revision=revision)

    async def _async_read(
        self, _name: str
    ) -> Result[StoredRecord, StoreUnavailable]:
        return Ok(self.record)

    async def _async_write(
        self, _name: str, record: StoredRecord
    ) -> Result[StoredRecord, StoreUnavailable]:
        if not self.takes_writes:
            return Err(StoreUnavailable('away'))
        if record.revision == self.record.revision:
            self._changes += 1
            revision = StoreRevision(self.era, self._changes)
            self.record = record._replace(revision=revision)
        return Ok(self.record)


class _Owner:
    """An instance that owns the cells while it is in step."""

    def __init__(self, store: _Store) -> None:
        self.store = store
        self.confirmed_ms = now_ms()
        self.owned_since_ms = -math.inf
        self.cell: EngineCell = make_cell()
        self.cell.origins = OriginBook(
            always_certain,
            lambda: 1.0,
            lambda: self.confirmed_ms,
            lambda _now: self.owned_since_ms,
        )
        self.cell.origins.history.add_earlier((), now_ms())
        self.record = FleetRecord(
            ENGINE_VERSIONS,
            store.interface,
            {'desk': self.cell},
            lambda: True,
            lambda: store.era,
        )

    def list_versions(self, *versions: str) -> None:
        listed = [engine(f'of-{each}', version=each) for each in versions]
        self.confirmed_ms = now_ms()
        self.cell.origins.update_engines(listed, now_ms())

    def sync(self) -> None:
        for _ in range(3):
            assert run(self.record.async_sync)

    def held_from_streams(self, now: float) -> frozenset[str]:
        history = self.cell.origins.history
        return history.unrecorded(now, is_resumable=True)

    def version_of_unknown_stream(self) -> str | None:
        asked_ms = now_ms()
        self.confirmed_ms = math.inf
        self.record.apply_read(self.store.record, asked_ms)
        request = make_request('again', resumes='first')
        self.cell.origins.bind(request, now_ms(), asked_ms=asked_ms)
        return None if request.version is None else str(request.version)


def _owner_that_missed_v2(store: _Store) -> _Owner:
    """Let another owner record that v2 has come and gone."""
    out_of_step, other = _Owner(store), _Owner(store)
    out_of_step.list_versions('v1')
    out_of_step.sync()
    for versions in (('v1', 'v2'), ('v1',)):
        other.list_versions(*versions)
        other.sync()
    return out_of_step


def test_owner_that_was_out_of_step_is_told_by_the_record() -> None:
    """Guards against a version that has come and gone meanwhile."""
    store = _Store()
    out_of_step = _owner_that_missed_v2(store)
    out_of_step.sync()
    assert out_of_step.version_of_unknown_stream() is None


def test_owner_that_was_out_of_step_proves_nothing_to_a_restored_store() -> (
    None
):
    """Guards against its claim to know all where the record was lost."""
    store = _Store()
    out_of_step, other = _Owner(store), _Owner(store)
    out_of_step.list_versions('v1')
    out_of_step.sync()
    copy = store.record
    other.list_versions('v1', 'v2')
    other.sync()
    # The list that the instance out of step has missed is 5 s old.
    out_of_step.confirmed_ms = now_ms() - 5000
    out_of_step.owned_since_ms = now_ms()
    store.restore(copy)
    out_of_step.list_versions('v1')
    out_of_step.sync()
    assert out_of_step.version_of_unknown_stream() is None


def test_owner_that_was_in_step_tells_a_restored_store() -> None:
    """Guards against streams that are refused after each drill."""
    store = _Store()
    owner = _Owner(store)
    copy = store.record
    owner.list_versions('v1')
    owner.sync()
    store.restore(copy)
    owner.sync()
    assert owner.version_of_unknown_stream() == 'v1'


def test_owner_that_stood_still_is_told_before_it_vouches() -> None:
    """Guards against a claim that only the read after it would refute."""
    store = _Store()
    out_of_step = _owner_that_missed_v2(store)
    out_of_step.owned_since_ms = now_ms()
    out_of_step.sync()
    store.restore(StoredRecord(None, {}))
    out_of_step.sync()
    assert out_of_step.version_of_unknown_stream() is None


def test_new_owner_goes_on_with_the_proof_of_the_one_before() -> None:
    """Guards against streams that are refused after each change of owner."""
    store = _Store()
    former, successor = _Owner(store), _Owner(store)
    former.list_versions('v1')
    former.sync()
    successor.owned_since_ms = now_ms()
    successor.list_versions('v1')
    successor.sync()
    assert successor.version_of_unknown_stream() == 'v1'
    copy = store.record
    successor.list_versions('v1')
    store.restore(copy)
    successor.sync()
    assert successor.version_of_unknown_stream() == 'v1'


def test_version_begins_no_streams_before_it_is_recorded() -> None:
    """Guards against streams of a version that the record does not name."""
    store = _Store()
    out_of_step, other = _Owner(store), _Owner(store)
    out_of_step.list_versions('v1')
    out_of_step.sync()
    other.list_versions('v1')
    other.sync()
    store.takes_writes = False
    other.list_versions('v1', 'v2')
    assert not run(other.record.async_sync)
    assert other.held_from_streams(now_ms() + HISTORY_MS) == {'v2'}
    store.takes_writes = True
    other.sync()
    assert not other.held_from_streams(now_ms())
    assert out_of_step.version_of_unknown_stream() is None


def test_version_is_held_while_the_answer_to_a_write_is_missing() -> None:
    """Guards against a record that lands after its writer has given up."""
    store = _Store()
    owner = _Owner(store)
    owner.list_versions('v1')
    store.takes_writes = False
    assert not run(owner.record.async_sync)
    owner.list_versions('v1', 'v2')
    assert owner.held_from_streams(now_ms()) == {'v2'}
