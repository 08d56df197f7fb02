"""Keeps a record current for an owner that the store turns away.

New versions reach such an owner through its successors, which go on to read the
store. It holds back streams from a version that the record does not name, since
only the record outlasts all processes. So its successors add the version to the
record, and tell the owner what the store holds.
"""

import json
import math
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import structlog
from curio import sleep
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.store.recorded_names import (
    Recorded,
    make_fields,
    parse_record,
)
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface
from hornbeamdeck.wire import RecordCopy

__all__ = ('RecordRelay', 'record_from_wire')

_LOGGER = structlog.get_logger(prefix='records')

CHECK_INTERVAL_MS: Final = 200
# The owner is told again, since a message may be lost with its connection.
REPEAT_MS: Final = 1000


class RecordRelay:
    """Reads and extends one record while the owner can't."""

    def __init__(
        self,
        record_name: str,
        store: StoreInterface,
        cells: Mapping[str, EngineCell],
        owner_without_store: Callable[[], str | None],
        send: Callable[[str, RecordCopy], Awaitable[None]],
    ) -> None:
        """Start without knowing the record.

        :param cells: the cells of this process by service.
        :param owner_without_store: returns the owner if it can't reach the
            store and this process is one of its successors.
        :param send: sends a message to an instance.
        """
        self._record_name = record_name
        self._store = store
        self._cells = cells
        self._owner_without_store = owner_without_store
        self._send = send
        self._known: StoredRecord | None = None
        self._told_ms = -math.inf

    async def async_run(self) -> None:
        """Help the owner whenever that is needed; forever."""
        while True:
            await sleep(CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
            await self.async_check()

    async def async_check(self) -> None:
        """Help the owner once, if it needs that."""
        owner = self._owner_without_store()
        if owner is None:
            self._known = None
            return
        if self._known is None or self._extended_fields(self._known):
            self._known = await self._async_extend()
            self._told_ms = -math.inf
        known = self._known
        if known is None or known.revision is None:
            return
        if now_ms() - self._told_ms >= REPEAT_MS:
            self._told_ms = now_ms()
            await self._send(owner, _to_wire(self._record_name, known))

    async def _async_extend(self) -> StoredRecord | None:
        """Add what the record lacks; return what the store holds then."""
        read = await self._store.read_record(self._record_name)
        if isinstance(read, Err):
            return None
        fields = self._extended_fields(read.ok_value)
        if fields is None:
            return read.ok_value
        extended = read.ok_value._replace(fields=fields)
        written = await self._store.write_record(self._record_name, extended)
        _LOGGER.info(
            'record extended',
            record=self._record_name,
            current=fields,
            is_written=written.is_ok(),
        )
        return written.ok()

    def _extended_fields(self, stored: StoredRecord) -> dict[str, Any] | None:
        """Return the fields with the versions that are listed here.

        Only names that a reader would take for all have to be extended.

        :returns: `None` if there is nothing to add.
        """
        if stored.revision is None:
            return None
        recorded = parse_record(stored)
        extended = {
            service: _with_listed(each, self._cells[service])
            for service, each in recorded.items()
            if each.is_complete and service in self._cells
        }
        lacking = {
            service: each
            for service, each in extended.items()
            if len(each.names) > len(recorded[service].names)
        }
        if not lacking:
            return None
        return make_fields(stored.revision.era, {**recorded, **lacking})


def _with_listed(recorded: Recorded, cell: EngineCell) -> Recorded:
    history = cell.origins.history
    return recorded._replace(names=history.listed.union(recorded.names))


def record_from_wire(message: RecordCopy) -> StoredRecord | None:
    """Return the record that another instance has found.

    :returns: `None` if it can't be read.
    """
    try:
        fields = json.loads(message.fields)
    except (ValueError, RecursionError):
        return None
    return StoredRecord(StoreRevision(message.era, message.revision), fields)


def _to_wire(record_name: str, stored: StoredRecord) -> RecordCopy:
    era, number = stored.revision or (0, 0)
    return RecordCopy(
        record_name=record_name,
        era=era,
        revision=number,
        fields=json.dumps(stored.fields),
    )
