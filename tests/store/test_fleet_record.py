"""Tests of what a process concludes from a record in the store."""

import math
from typing import Any

import pytest
from curio import run
from result import Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.stream_origins import OriginBook
from hornbeamdeck.scheduling.version_history import HISTORY_MS, VersionHistory
from hornbeamdeck.store.fleet_record import FleetRecord
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface
from tests.scheduling.engine_cell_factories import (
    always_certain,
    engine,
    make_cell,
)

NAMES = {'desk': ['v1']}


def _cell() -> EngineCell:
    cell = make_cell()
    cell.origins = OriginBook(always_certain)
    cell.origins.update_engines([engine('of-v1', version='v1')], now_ms())
    return cell


def _can_begin_nowhere_else(fields: Any, era: int) -> bool:
    """Return whether a process that reads a record relies on it."""
    stored = StoredRecord(StoreRevision(era, 5), fields)

    async def _async_write(
        _name: str, record: StoredRecord
    ) -> Result[StoredRecord, StoreUnavailable]:
        if fields is None:
            written = record._replace(revision=StoreRevision(era, 6))
            return Ok(written)
        return Ok(stored)

    unused: dict[str, Any] = dict.fromkeys(StoreInterface._fields)
    store = StoreInterface(**{**unused, 'write_record': _async_write})
    cell = _cell()
    versions, _ = FleetRecord.of_every_kind(
        store, {'desk': cell}, lambda: True, lambda: era
    )
    assert run(versions.async_sync)
    assert cell.origins.history.is_read
    return cell.origins.history.only_version(now_ms()) == 'v1'


def test_record_of_this_era_proves_the_past() -> None:
    """Guards against refusing streams where the store tells all versions."""
    fields = {'era': 3, 'names': NAMES, 'complete': ['desk']}
    assert _can_begin_nowhere_else(fields, 3)


@pytest.mark.parametrize(
    'fields',
    [
        None,
        {},
        NAMES,
        {'era': 2, 'names': NAMES, 'complete': ['desk']},
        {'era': 3, 'names': NAMES, 'complete': []},
        {'era': 3, 'names': {}, 'complete': ['desk']},
        {'era': 3, 'names': 1, 'complete': ['desk']},
        {'era': '3', 'names': NAMES, 'complete': [[['desk']]]},
        'text',
    ],
)
def test_other_records_prove_nothing(fields: Any) -> None:
    """Guards against relying on what a store does not hold."""
    assert not _can_begin_nowhere_else(fields, 3)


def _written_by(cell: EngineCell) -> Any:
    """Return what an owner of a cell writes into an empty store."""
    written = []

    async def _async_write(
        _name: str, record: StoredRecord
    ) -> Result[StoredRecord, StoreUnavailable]:
        written.append(record.fields)
        return Ok(record._replace(revision=StoreRevision(3, 6)))

    unused: dict[str, Any] = dict.fromkeys(StoreInterface._fields)
    store = StoreInterface(**{**unused, 'write_record': _async_write})
    versions, _ = FleetRecord.of_every_kind(
        store, {'desk': cell}, lambda: True, lambda: 3
    )
    run(versions.async_sync)
    return written[-1]


def test_owner_that_has_just_started_writes_no_proof() -> None:
    """Guards against a restarted owner that takes its own list for all."""
    assert not _can_begin_nowhere_else(_written_by(_cell()), 3)


def test_owner_that_has_watched_for_long_writes_a_proof() -> None:
    """Guards against streams that are refused for as long as a fleet lives."""
    cell = _cell()
    listed = [engine('of-v1', version='v1')]
    cell.origins.history = VersionHistory(lambda _now: -math.inf)
    cell.origins.update_engines(listed, now_ms() - HISTORY_MS - 1)
    assert _can_begin_nowhere_else(_written_by(cell), 3)
