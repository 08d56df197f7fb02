"""What the store remembers for a fleet that loses all its processes.

The owner of the fleet's cells keeps each record current. A process that becomes
the owner reads it: the first write returns what another owner wrote.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from contextlib import suppress
from itertools import count
from typing import Any, Final, NamedTuple, Self, TypeAlias

import structlog
import voluptuous as vol
from curio import Event, sleep
from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.json_validators import encodable_text
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.store.store_interface import StoredRecord, StoreInterface

__all__ = ('FleetRecord',)

_LOGGER = structlog.get_logger(prefix='records')

CHECK_INTERVAL_MS: Final = 200
# The same until the record is known or this process has had time to start.
START_CHECK_INTERVAL_MS: Final = 20
START_CHECKS: Final = 100
RETRY_MS: Final = 500

_Names: TypeAlias = dict[str, list[str]]
_NAMES: Final = vol.Schema({encodable_text: [encodable_text]})
_FIELD_ERA: Final = 'era'
_FIELD_NAMES: Final = 'names'
_FIELD_COMPLETE: Final = 'complete'
_FIELD_DOUBTED: Final = 'doubted'
_RECORD: Final = vol.Schema(
    {
        vol.Required(_FIELD_ERA): int,
        vol.Required(_FIELD_NAMES): _NAMES,
        vol.Required(_FIELD_COMPLETE): [encodable_text],
        vol.Optional(_FIELD_DOUBTED, default=list): [encodable_text],
    }
)


# What the store holds before this process has written to it.
_UNKNOWN: Final = StoredRecord(None, {})


class RecordKind(NamedTuple):
    """Which names of each service a record holds.

    :param record_name: name of the record in the store.
    :param current: returns the names that a cell knows; `None`: nothing is to
        be recorded of its service yet.
    :param is_complete: whether these are all names that matter.
    :param is_doubted: whether there may be a name that no owner knows.
    :param add_earlier: tells a cell which names were recorded before, and
        whether these are all.
    :param apply_recorded: tells a cell which names a reader of the record takes
        for all; `None`: none.
    :param confirm: tells a cell when the store was asked for a record that has
        all names, and told which.
    """

    record_name: str
    current: Callable[[EngineCell, float], Collection[str] | None]
    is_complete: Callable[[EngineCell, float], bool]
    is_doubted: Callable[[EngineCell, float], bool]
    add_earlier: Callable[[EngineCell, '_Recorded', float], None]
    apply_recorded: Callable[[EngineCell, Collection[str] | None], None]
    confirm: Callable[[EngineCell, float], None]


class _Recorded(NamedTuple):
    """What a record says of one service.

    :param is_complete: whether its writer knew all names. A record that an
        earlier era of the store holds may have been followed by a newer one.
    :param is_doubted: whether its writer knew that there may be others, which
        no owner knows.
    """

    names: Collection[str]
    is_complete: bool
    is_doubted: bool = False


_NOTHING_RECORDED: Final = _Recorded((), is_complete=False)


def _current_versions(cell: EngineCell, now: float) -> Collection[str] | None:
    return cell.origins.history.versions(now) or None


def _knows_all_versions(cell: EngineCell, now: float) -> bool:
    return cell.origins.history.is_complete(now)


def _may_miss_a_version(cell: EngineCell, now: float) -> bool:
    return cell.origins.history.has_unlisted(now)


def _add_versions(cell: EngineCell, recorded: _Recorded, now: float) -> None:
    history = cell.origins.history
    history.add_earlier(recorded.names, now, is_complete=recorded.is_complete)
    if recorded.is_doubted:
        history.record_unlisted(now)


def _apply_recorded_versions(
    cell: EngineCell, versions: Collection[str] | None
) -> None:
    cell.origins.history.apply_recorded(versions)


def _confirm_versions(cell: EngineCell, asked_ms: float) -> None:
    cell.origins.history.confirm_recorded(asked_ms)


def _crashing_requests(cell: EngineCell, now: float) -> Collection[str]:
    return cell.crash_tracker.confirmed(now)


def _add_crashing_requests(
    cell: EngineCell, recorded: _Recorded, now: float
) -> None:
    for fingerprint in recorded.names:
        cell.crash_tracker.add_confirmed(fingerprint, now)


# Without them, a process that has lost its memory does not know whether a
# stream may go on at the version that is listed now.
ENGINE_VERSIONS: Final = RecordKind(
    'engine-versions',
    _current_versions,
    _knows_all_versions,
    _may_miss_a_version,
    _add_versions,
    _apply_recorded_versions,
    _confirm_versions,
)
# Without them, each would crash several engines again. That one is not recorded
# proves nothing.
CRASHING_REQUESTS: Final = RecordKind(
    'crashing-requests',
    _crashing_requests,
    lambda _cell, _now: False,
    lambda _cell, _now: False,
    _add_crashing_requests,
    lambda _cell, _names: None,
    lambda _cell, _asked_ms: None,
)


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
                self._stored = _UNKNOWN
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
            self._stored = _UNKNOWN
        self._inform_cells()
        current = self._current_fields()
        if not current[_FIELD_NAMES] or current == self._stored.fields:
            return True
        due = self._stored._replace(fields=current)
        record_name = self._kind.record_name
        response = await self._store.write_record(record_name, due)
        if isinstance(response, Err):
            return False
        self._stored = response.ok_value
        self._informed.clear()
        self._inform_cells()
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
        if stored.revision != known:
            self._inform(stored, self._cells.keys())
        if stored.revision and known and stored.revision > known:
            self._stored = stored
        recorded = _parse(stored)
        for service, cell in self._cells.items():
            if recorded.get(service, _NOTHING_RECORDED).is_complete:
                self._kind.confirm(cell, asked_ms)

    def _inform_cells(self) -> None:
        """Tell the cells what was recorded before this process owned them."""
        self._tell_what_is_recorded()
        if self._stored.revision is None:
            return
        uninformed = self._cells.keys() - self._informed
        self._informed |= uninformed
        self._inform(self._stored, uninformed)

    def _inform(self, stored: StoredRecord, services: Iterable[str]) -> None:
        now = now_ms()
        recorded = _parse(stored)
        for service in services:
            self._kind.add_earlier(
                self._cells[service],
                recorded.get(service, _NOTHING_RECORDED),
                now,
            )

    def _tell_what_is_recorded(self) -> None:
        recorded = _parse(self._stored)
        for service, cell in self._cells.items():
            of_service = recorded.get(service, _NOTHING_RECORDED)
            names = of_service.names if of_service.is_complete else None
            self._kind.apply_recorded(cell, names)

    def _current_fields(self) -> dict[str, Any]:
        now = now_ms()
        names = {
            service: self._kind.current(cell, now)
            for service, cell in self._cells.items()
        }
        return {
            _FIELD_ERA: self._era(),
            _FIELD_NAMES: {
                service: sorted(of_service)
                for service, of_service in names.items()
                if of_service is not None
            },
            _FIELD_COMPLETE: self._services(self._kind.is_complete, now),
            _FIELD_DOUBTED: self._services(self._kind.is_doubted, now),
        }

    def _services(
        self, is_listed: Callable[[EngineCell, float], bool], now: float
    ) -> list[str]:
        return sorted(
            service
            for service, cell in self._cells.items()
            if is_listed(cell, now)
        )


def _parse(stored: StoredRecord) -> dict[str, _Recorded]:
    """Return what a record says, by service.

    Only what was written in the era of the store that it was read in is
    complete: what a restored store holds may have been followed by more.
    """
    if stored.revision is None:
        return {}
    fields = stored.fields
    if not isinstance(fields, dict) or _FIELD_NAMES not in fields:
        # The format of earlier releases.
        fields = {_FIELD_ERA: -1, _FIELD_NAMES: fields, _FIELD_COMPLETE: []}
    try:
        parsed = _RECORD(fields)
    except vol.Invalid as error:
        _LOGGER.warning('record ignored', cause=str(error))
        return {}
    is_current = parsed[_FIELD_ERA] == stored.revision.era
    return {
        service: _Recorded(
            names,
            is_current and service in parsed[_FIELD_COMPLETE],
            service in parsed[_FIELD_DOUBTED],
        )
        for service, names in parsed[_FIELD_NAMES].items()
    }
