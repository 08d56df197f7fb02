"""Keeps the origins of begun streams in the store while versions differ.

Load pattern: power is lost at all instances at once, and the callers of all
streams go on with them a second later, while engines of several versions serve.
Nobody remembers which version began which stream. With a single version there
is nothing to remember, and nothing is written.

What the store loses makes streams unknown: a stream that has begun never
changes its version, so an old origin is never a wrong one.
"""

from collections.abc import Callable, Mapping
from itertools import count
from typing import Any, Final

import structlog
from curio import sleep
from result import Err

from hornbeamdeck.clock import now_ms, wall_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.origin_buckets import BUCKETS, OriginBuckets
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface
from hornbeamdeck.wire import StreamOrigin

__all__ = ('OriginStore',)

_LOGGER = structlog.get_logger(prefix='origins')

# How long origins are collected for one write.
COLLECT_MS: Final = 100
# The same until they are read or this process has had time to start.
START_CHECK_INTERVAL_MS: Final = 20
START_CHECKS: Final = 100
RETRY_MS: Final = 200
# Merged without giving other tasks a turn.
MAX_MERGED_AT_ONCE: Final = 500
NAME_PREFIX: Final = 'origins-'
# Source of origins that were read. No instance has this id.
SOURCE: Final = '<store>'
_FIELD_SERVICES: Final = 'services'
_FIELD_WRITTEN_MS: Final = 'written_ms'


class OriginStore:
    """Reads and writes the origins of all services."""

    def __init__(
        self,
        store: StoreInterface,
        cells: Mapping[str, EngineCell],
        is_writer: Callable[[], bool],
        era: Callable[[], int],
        count_origins: Callable[[str, int], None],
    ) -> None:
        """Start without knowing what the store holds.

        :param cells: the cells of this process by service.
        :param is_writer: whether this process owns the fleet's cells now.
        :param era: returns the newest era of the store that is known here.
        :param count_origins: counts origins that were `read` or `written`.
        """
        self._store = store
        self._cells = cells
        self._is_writer = is_writer
        self._era = era
        self._count_origins = count_origins
        self._held = _HeldOrigins()

    async def async_run(self) -> None:
        """Keep the store current while this process is the owner; forever."""
        for checks in count():
            interval_ms = COLLECT_MS
            if checks < START_CHECKS and self._held.era is None:
                interval_ms = START_CHECK_INTERVAL_MS
            await sleep(interval_ms / MILLIS_PER_SECOND)
            if not await self.async_sync():
                await sleep(RETRY_MS / MILLIS_PER_SECOND)

    async def async_sync(self) -> bool:
        """Read what the store holds once, and write what has changed.

        :returns: whether the store has responded, if it was called.
        """
        if not self._is_writer():
            self._held = _HeldOrigins()
            for cell in self._cells.values():
                cell.origins.awaits_stored = True
            return True
        # A restored store may hold older objects, or none.
        if self._held.era != self._era() and not await self._async_read():
            return False
        await self._async_inform_cells()
        self._collect()
        return await self._async_write()

    async def _async_read(self) -> bool:
        listed = await self._store.list_records()
        if isinstance(listed, Err):
            return False
        held = self._held
        found = held.restore(listed.ok_value, now_ms())
        held.era = self._era()
        self._count_origins('read', found)
        _LOGGER.info(
            'origins read',
            origins=found,
            objects=len(held.revisions),
            left_out=held.buckets.left_out,
            age_ms=held.age_ms(),
            era=held.era,
        )
        return True

    async def _async_inform_cells(self) -> None:
        """Tell the cells which streams began before this process owned them."""
        for service, cell in tuple(self._cells.items()):
            found = self._held.unread.pop(service, [])
            for start in range(0, len(found), MAX_MERGED_AT_ONCE):
                merged = found[start : start + MAX_MERGED_AT_ONCE]
                cell.origins.merge(merged, SOURCE, now_ms())
                await sleep(0)
            cell.origins.awaits_stored = False

    def _collect(self) -> None:
        now = now_ms()
        for service, cell in self._cells.items():
            book = cell.origins
            if not book.history.is_ambiguous(now):
                # All are collected again once there are several versions.
                self._held.collected.pop(service, None)
                continue
            collected = self._held.collected.get(service, 0)
            if book.sequence == collected:
                continue
            self._held.collected[service] = book.sequence
            changed = book.changed_since(collected, SOURCE, now)
            # The oldest first, which leave first.
            self._held.unwritten += self._held.buckets.apply(
                service, reversed(changed), now
            )

    def _has_several_versions(self) -> bool:
        now = now_ms()
        return any(
            cell.origins.history.is_ambiguous(now)
            for cell in self._cells.values()
        )

    async def _async_write(self) -> bool:
        """Write one object, if any is due."""
        held = self._held
        if not self._has_several_versions():
            return True
        due = held.buckets.pop_due(now_ms())
        if due is None:
            return True
        number, services = due
        unwritten = held.unwritten
        fields = {_FIELD_SERVICES: services, _FIELD_WRITTEN_MS: wall_ms()}
        written = await self._store.write_record(
            f'{NAME_PREFIX}{number}',
            StoredRecord(held.revisions.get(number), fields),
        )
        if isinstance(written, Err) or written.ok_value.fields != fields:
            held.buckets.mark_due(number)
            if isinstance(written, Err):
                return False
            # Another owner has written it, or it is gone.
            held.revisions[number] = written.ok_value.revision
            held.restore_one(number, written.ok_value.fields, now_ms())
            return True
        held.revisions[number] = written.ok_value.revision
        held.unwritten -= unwritten
        self._count_origins('written', unwritten)
        _LOGGER.info(
            'origins written',
            origins=unwritten,
            stored=len(held.buckets),
            number=number,
        )
        return True


class _HeldOrigins:
    """What the store holds, as far as this process knows."""

    def __init__(self) -> None:
        # In which it was read; `None`: it was not.
        self.era: int | None = None
        self.buckets = OriginBuckets()
        # By number of the object.
        self.revisions: dict[int, Any] = {}
        # By service, for the cells.
        self.unread: dict[str, list[StreamOrigin]] = {}
        # The last change of each service's origins that was collected.
        self.collected: dict[str, int] = {}
        self.unwritten = 0
        self._written_ms = 0

    def restore(self, records: Mapping[str, StoredRecord], now: float) -> int:
        """Add what a list of all records holds; return how many origins."""
        found = 0
        self.revisions.clear()
        for name, record in records.items():
            number = _number_of(name)
            if number is None:
                continue
            self.revisions[number] = record.revision
            found += self.restore_one(number, record.fields, now)
        if self.revisions:
            newest = max(self.revisions, key=self.revisions.__getitem__)
            self.buckets.continue_at(newest)
        if self.era is not None:
            # A restored store may hold less than it did.
            self.buckets.mark_all_due()
        return found

    def restore_one(self, number: int, fields: Any, now: float) -> int:
        """Add what an object holds; return how many origins."""
        if not isinstance(fields, dict) or _FIELD_SERVICES not in fields:
            if fields is not None:
                _LOGGER.warning('origins ignored', number=number)
            return 0
        found = self.buckets.restore(number, fields[_FIELD_SERVICES], now)
        for service, origin in found:
            self.unread.setdefault(service, []).append(origin)
        written_ms = fields.get(_FIELD_WRITTEN_MS)
        if isinstance(written_ms, int):
            self._written_ms = max(self._written_ms, written_ms)
        return len(found)

    def age_ms(self) -> int | None:
        """Return how long ago the newest object was written, for the log."""
        return wall_ms() - self._written_ms if self._written_ms else None


def _number_of(name: str) -> int | None:
    """Return the number of an object with origins; `None`: it is none."""
    text = name.removeprefix(NAME_PREFIX)
    if text == name or not text.isdecimal() or len(text) > len(str(BUCKETS)):
        return None
    return int(text) if int(text) < BUCKETS else None
