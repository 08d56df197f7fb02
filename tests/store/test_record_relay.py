"""Tests of records that successors extend for an owner without the store."""

from typing import Any

import pytest
from curio import run
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.store.record_relay import RecordRelay, record_from_wire
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface
from hornbeamdeck.wire import RecordCopy
from tests.scheduling.engine_cell_factories import engine, make_cell

ERA = 3


def _fields(*versions: str, **changes: Any) -> dict[str, Any]:
    return {
        'era': ERA,
        'names': {'desk': list(versions)},
        'complete': ['desk'],
        'doubted': [],
        **changes,
    }


class _Store:
    """A store of one record, and a successor that reaches it."""

    def __init__(self, fields: Any) -> None:
        self.record = StoredRecord(StoreRevision(ERA, 7), fields)
        self.calls = 0
        self.owner: str | None = 'owner'
        # What another instance writes between a read and the write after it.
        self.written_between: Any = None
        self.sent: list[RecordCopy] = []
        self.cell: EngineCell = make_cell()
        unused: dict[str, Any] = dict.fromkeys(StoreInterface._fields)
        interface = StoreInterface(
            **{
                **unused,
                'read_record': self._async_read,
                'write_record': self._async_write,
            }
        )
        self.relay = RecordRelay(
            'engine-versions',
            interface,
            {'desk': self.cell},
            lambda: self.owner,
            self._async_send,
        )

    def list_versions(self, *versions: str) -> None:
        listed = [engine(f'of-{each}', version=each) for each in versions]
        self.cell.origins.update_engines(listed, now_ms())

    def told(self) -> Any:
        record = record_from_wire(self.sent[-1])
        assert record is not None
        assert record.revision == self.record.revision
        return record.fields

    def _replace(self, fields: Any) -> None:
        number = self.record.revision.number if self.record.revision else 0
        revision = StoreRevision(ERA, number + 1)
        self.record = StoredRecord(revision, fields)

    async def _async_read(
        self, _name: str
    ) -> Result[StoredRecord, StoreUnavailable]:
        self.calls += 1
        read = self.record
        if self.written_between is not None:
            self._replace(self.written_between)
            self.written_between = None
        return Ok(read)

    async def _async_write(
        self, _name: str, record: StoredRecord
    ) -> Result[StoredRecord, StoreUnavailable]:
        self.calls += 1
        if record.revision == self.record.revision:
            self._replace(record.fields)
        return Ok(self.record)

    async def _async_send(self, receiver: str, message: RecordCopy) -> None:
        assert receiver == self.owner
        self.sent.append(message)


def test_new_version_is_recorded_for_an_owner_without_the_store() -> None:
    """Guards against versions that stay unused, or serve without a record."""
    store = _Store(_fields('v1'))
    store.list_versions('v1', 'v2')
    run(store.relay.async_check)
    assert store.record.fields == _fields('v1', 'v2')
    assert store.told() == _fields('v1', 'v2')


def test_names_that_another_successor_has_written_are_kept() -> None:
    """Guards against a record that loses a version which has served."""
    store = _Store(_fields('v1'))
    store.written_between = _fields('v1', 'v3')
    store.list_versions('v1', 'v2')
    for _ in range(2):
        run(store.relay.async_check)
    assert store.record.fields == _fields('v1', 'v2', 'v3')


def test_owner_is_told_what_it_can_not_read() -> None:
    """Guards against versions that are held although they are recorded."""
    store = _Store(_fields('v1', 'v2'))
    store.list_versions('v1', 'v2')
    run(store.relay.async_check)
    assert store.record.revision == StoreRevision(ERA, 7)
    assert store.told() == _fields('v1', 'v2')


@pytest.mark.parametrize(
    'fields',
    [_fields('v1', complete=[]), _fields('v1', era=ERA - 1), {}, 'text'],
)
def test_record_that_proves_nothing_is_not_extended(fields: Any) -> None:
    """Guards against a successor that vouches for what it does not know."""
    store = _Store(fields)
    store.list_versions('v1', 'v2')
    run(store.relay.async_check)
    assert store.record.fields == fields


def test_store_is_not_called_while_the_owner_reaches_it() -> None:
    """Guards against calls of each successor in calm."""
    store = _Store(_fields('v1'))
    store.list_versions('v1', 'v2')
    store.owner = None
    run(store.relay.async_check)
    assert not store.calls


def test_owner_is_not_told_of_a_store_that_does_not_answer() -> None:
    """Guards against a message about a record that was not read."""
    store = _Store(_fields('v1'))

    async def _async_fail(_name: str) -> Result[StoredRecord, StoreUnavailable]:
        return Err(StoreUnavailable('away'))

    store.relay._store = store.relay._store._replace(read_record=_async_fail)  # noqa: SLF001
    run(store.relay.async_check)
    assert not store.sent
    unreadable = RecordCopy('engine-versions', ERA, 7, '{')
    assert record_from_wire(unreadable) is None
