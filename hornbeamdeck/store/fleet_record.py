"""What the store remembers for a fleet that loses all its processes.

The owner of the fleet's cells keeps each record current. A process that becomes
the owner reads it: the first write returns what another owner wrote.
"""

from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from itertools import count
from typing import Any, Final, Self

import structlog
from curio import Event, sleep
from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.store_revision import NO_REVISION
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.store.record_kinds import (
    CRASHING_REQUESTS,
    ENGINE_VERSIONS,
    RecordKind,
)
from hornbeamdeck.store.recorded_names import (
    NOTHING_RECORDED,
    Recorded,
    is_empty,
    make_fields,
    names_for_all,
    parse_fields,
    parse_record,
)
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface

__all__ = ('FleetRecord',)

_LOGGER = structlog.get_logger(prefix='records')

CHECK_INTERVAL_MS: Final = 200
# The same until the record is known or this process has had time to start.
START_CHECK_INTERVAL_MS: Final = 20
START_CHECKS: Final = 100
RETRY_MS: Final = 500

# What the store holds before this process has written to it.
_UNKNOWN: Final = StoredRecord(None, {})


class FleetRecord:
    """Keeps one record current."""

    def __init__(
        self,
        kind: RecordKind,
        store: StoreInterface,
        cells: Mapping[str, EngineCell],
        is_writer: Callable[[], bool],
        era: Callable[[], int],
    ) -> None:
        """Start without knowing what the store holds.

        :param cells: the cells of this process by service.
        :param is_writer: whether this process owns the fleet's cells now.
        :param era: returns the newest era of the store that is known here.
        """
        self._kind = kind
        self._store = store
        self._cells = cells
        self._is_writer = is_writer
        self._era = era
        self._stored = _UNKNOWN
        # What it says, by service.
        self._recorded: Mapping[str, Recorded] = {}
        # Written since, without an answer: the store may hold any of them.
        self._unanswered: list[Any] = []
        # Services whose cells know what was recorded.
        self._informed: set[str] = set()
        self._is_wanted = Event()

    @classmethod
    def of_every_kind(
        cls,
        store: StoreInterface,
        cells: Mapping[str, EngineCell],
        is_writer: Callable[[], bool],
        era: Callable[[], int],
    ) -> tuple[Self, ...]:
        """Make all records of a fleet; the parameters are those of one."""
        return tuple(
            cls(kind, store, cells, is_writer, era)
            for kind in (ENGINE_VERSIONS, CRASHING_REQUESTS)
        )

    @property
    def name(self) -> str:
        """Name of the record in the store."""
        return self._kind.record_name

    async def async_run(self) -> None:
        """Keep the record current while this process is the owner; forever."""
        for checks in count():
            interval_ms = CHECK_INTERVAL_MS
            if checks < START_CHECKS and self._stored is _UNKNOWN:
                interval_ms = START_CHECK_INTERVAL_MS
            with suppress(TaskTimeout):
                await async_with_timeout(interval_ms, self._is_wanted.wait())
            self._is_wanted.clear()
            if not self._is_writer():
                self._replace(_UNKNOWN)
                self._tell_what_is_recorded()
            elif not await self.async_sync():
                await sleep(RETRY_MS / MILLIS_PER_SECOND)

    async def async_request(self) -> None:
        """Have the record written now if it is outdated."""
        await self._is_wanted.set()

    async def async_sync(self) -> bool:
        """Write the record if it is outdated, or if it is not known.

        :returns: whether the store has responded, if it was called.
        """
        revision = self._stored.revision
        if revision is not None and revision.era < self._era():
            # A restored store may hold an older record, or none.
            self._replace(_UNKNOWN)
        if self._lacks_proof() and not await self.async_confirm():
            return False
        self._inform_cells()
        current = self._current_fields()
        if is_empty(current) or current == self._stored.fields:
            return True
        due = self._stored._replace(fields=current)
        if current not in self._unanswered:
            self._unanswered.append(current)
            # Until the store answers, it may hold what is written now.
            self._tell_what_is_recorded()
        record_name = self._kind.record_name
        asked_ms = now_ms()
        response = await self._store.write_record(record_name, due)
        if isinstance(response, Err):
            return False
        if (self._stored.revision or NO_REVISION) <= (
            response.ok_value.revision or NO_REVISION
        ):
            self._replace(response.ok_value)
        self._informed.clear()
        self._inform_cells()
        self._confirm(parse_record(response.ok_value), asked_ms)
        _LOGGER.info(
            'record written',
            record=record_name,
            current=current,
            stored=self._stored.fields,
        )
        return True

    async def async_confirm(self) -> bool:
        """Read the record, whoever has written it, and tell the cells.

        :returns: whether the store has responded.
        """
        asked_ms = now_ms()
        read = await self._store.read_record(self._kind.record_name)
        if isinstance(read, Err):
            return False
        self.apply_read(read.ok_value, asked_ms)
        return True

    def apply_read(self, stored: StoredRecord, asked_ms: float) -> None:
        """Tell the cells what the store holds.

        :param asked_ms: when the store was asked for it.
        """
        known = self._stored.revision
        recorded = parse_record(stored)
        if stored.revision != known:
            self._inform(recorded, self._cells.keys())
        if stored.revision and known and stored.revision > known:
            self._replace(stored)
        self._confirm(recorded, asked_ms)

    def apply_relayed(self, stored: StoredRecord) -> None:
        """Apply what another instance has found in the store.

        The owner may not reach it itself.
        """
        known = self._stored.revision
        if stored.revision is None or not self._is_writer():
            return
        if known is None or stored.revision > known:
            self._replace(stored)
            self._informed.clear()
            self._inform_cells()

    def _complete_cells(
        self, recorded: Mapping[str, Recorded]
    ) -> dict[str, EngineCell]:
        """Return the cells of the services of which a record has all names."""
        return {
            service: cell
            for service, cell in self._cells.items()
            if recorded.get(service, NOTHING_RECORDED).is_complete
        }

    def _confirm(
        self, recorded: Mapping[str, Recorded], asked_ms: float
    ) -> None:
        for cell in self._complete_cells(recorded).values():
            self._kind.confirm(cell, asked_ms)

    def _lacks_proof(self) -> bool:
        """Return whether the record has to be read again.

        Another owner may have written to it while this process stood still or
        was cut off.
        """
        now = now_ms()
        return any(
            self._kind.lacks_proof(cell, now)
            for cell in self._complete_cells(self._recorded).values()
        )

    def _replace(self, stored: StoredRecord) -> None:
        """Replace what is known of the store's record.

        What was written on an earlier revision can't take effect any more.
        """
        self._stored = stored
        self._recorded = parse_record(stored)
        self._unanswered.clear()

    def _inform_cells(self) -> None:
        """Tell the cells what was recorded before this process owned them."""
        self._tell_what_is_recorded()
        if self._stored.revision is None:
            return
        uninformed = self._cells.keys() - self._informed
        self._informed |= uninformed
        self._inform(self._recorded, uninformed)

    def _inform(
        self, recorded: Mapping[str, Recorded], services: Iterable[str]
    ) -> None:
        now = now_ms()
        for service in services:
            self._kind.add_earlier(
                self._cells[service],
                recorded.get(service, NOTHING_RECORDED),
                now,
            )

    def _tell_what_is_recorded(self) -> None:
        """Tell the cells which names a reader of the store takes for all."""
        era = self._era()
        possible = [
            self._recorded,
            *(parse_fields(fields, era) for fields in self._unanswered),
        ]
        for service, cell in self._cells.items():
            self._kind.apply_recorded(cell, names_for_all(service, possible))

    def _current_fields(self) -> dict[str, Any]:
        now = now_ms()
        kind = self._kind
        # A write that succeeds shows that no other owner has written since.
        complete = self._complete_cells(self._recorded)
        recorded = {
            service: Recorded(
                names,
                is_complete=(service in complete or kind.may_vouch(cell, now))
                and not kind.is_doubted(cell, now),
                is_doubted=kind.is_doubted(cell, now),
            )
            for service, cell in self._cells.items()
            if (names := kind.current(cell, now)) is not None
        }
        return make_fields(self._era(), recorded)
