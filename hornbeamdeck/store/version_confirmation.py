"""Asks the store which versions served, for streams that nobody knows.

Load pattern: an instance that stood still, or was cut off, gets the callers of
streams that have begun elsewhere meanwhile. What it holds names a single
version, since it has missed the others. So a stream of unknown origin waits
until the store was asked after its request arrived. All that wait share one
question.

An engine that has started again may run a version that the store does not name
yet. So the listed engines are asked for their start, too.
"""

from collections.abc import (
    Awaitable,
    Callable,
    Coroutine,
    Iterable,
    Iterator,
    Mapping,
)
from typing import Any, Final, TypeAlias

import structlog
from curio import Event, TaskGroup, sleep
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.observability.logs import age_for_log
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.stream_origins import VersionQuestion
from hornbeamdeck.store.fleet_record import FleetRecord
from hornbeamdeck.store.store_interface import StoreInterface
from hornbeamdeck.wire import Grant

__all__ = ('VersionConfirmation',)

_LOGGER = structlog.get_logger(prefix='versions')

# Streams that instances relayed are taken up within milliseconds of their loss.
COLLECT_MS: Final = 10
# Between the end of a question and the next one.
INTERVAL_MS: Final = 100

# Takes a grant and a time. Returns whether its engine ran the granted
# incarnation then, after asking the engine if that is needed; `None`: this is
# not known.
CheckIncarnation: TypeAlias = Callable[
    [Grant, float], Coroutine[Any, Any, bool | None]
]


class VersionConfirmation:
    """Confirms what the cells know of versions while requests wait for it."""

    def __init__(
        self,
        store: StoreInterface,
        read_engines: Callable[[], Awaitable[bool]],
        cells: Mapping[str, EngineCell],
        records: Iterable[FleetRecord],
    ) -> None:
        """Start without questions.

        :param read_engines: reads the list of engines and returns whether the
            store has responded.
        :param cells: the cells of this process by service.
        """
        self._store = store
        self._read_engines = read_engines
        self._cells = cells
        self._records = tuple(records)
        self._is_wanted = Event()
        self._on_confirmed: Callable[[], Awaitable[None]] | None = None
        self._async_check_incarnation: CheckIncarnation | None = None

    def set_callback(self, on_confirmed: Callable[[], Awaitable[None]]) -> None:
        """Set what is called after each question that was answered."""
        self._on_confirmed = on_confirmed

    def set_incarnation_check(self, check: CheckIncarnation) -> None:
        """Set how engines are asked for the start of their incarnation."""
        self._async_check_incarnation = check

    async def async_request(self) -> None:
        """Ask the store soon, since a request waits for its answer."""
        await self._is_wanted.set()

    async def async_run(self) -> None:
        """Ask while requests wait, forever."""
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            await sleep(COLLECT_MS / MILLIS_PER_SECOND)
            await self.async_confirm()
            # Limits the calls that callers can cause by streams that nobody
            # knows.
            await sleep(INTERVAL_MS / MILLIS_PER_SECOND)
            if any(self._services_with_waiting()):
                await self._is_wanted.set()

    async def async_confirm(self) -> bool:
        """Ask once.

        :returns: whether the store has responded.
        """
        asked_ms = now_ms()
        listed = await self._store.list_records()
        if isinstance(listed, Err) or not await self._read_engines():
            return False
        await self._async_check_engines(asked_ms)
        for record in self._records:
            record.apply_listed(listed.ok_value, asked_ms)
        _LOGGER.info(
            'versions confirmed',
            took_ms=age_for_log(now_ms() - asked_ms),
            versions={
                service: sorted(cell.origins.history.versions(now_ms()))
                for service, cell in self._cells.items()
            },
        )
        if self._on_confirmed is not None:
            await self._on_confirmed()
        return True

    async def _async_check_engines(self, asked_ms: float) -> None:
        """Ask the engines that may have begun the streams that wait.

        One that states another start than its entry may have begun them at a
        version that was never listed.
        """
        check = self._async_check_incarnation
        if check is None:
            return
        for service in tuple(self._services_with_waiting()):
            cell = self._cells[service]
            async with TaskGroup() as questions:
                for load in tuple(cell.loads.values()):
                    grant = _to_grant(load.engine)
                    await questions.spawn(check, grant, asked_ms)
                await questions.join()
                if any(verdict is False for verdict in questions.results):
                    cell.origins.history.record_unlisted(now_ms())

    def _services_with_waiting(self) -> Iterator[str]:
        now = now_ms()
        for service, cell in self._cells.items():
            if any(
                isinstance(
                    cell.origins.question(waiting.request, now), VersionQuestion
                )
                for waiting in cell.learning()
            ):
                yield service


def _to_grant(engine: Engine) -> Grant:
    return Grant(
        request_id='',
        cell=engine.service,
        upstream=engine.name,
        address=engine.address,
        version=engine.version,
        born_ms=engine.born_ms,
    )
