"""Asks the store which versions served, for streams that nobody knows.

Load pattern: an instance that stood still, or was cut off, gets the callers of
streams that have begun elsewhere meanwhile. What it holds names a single
version, since it has missed the others. So a stream of unknown origin waits
until the store was asked after its request arrived. All that wait share one
question.
"""

from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any, Final

import structlog
from curio import Event, sleep, spawn

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.observability.logs import age_for_log
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.stream_origins import VersionQuestion
from hornbeamdeck.store.fleet_record import FleetRecord

__all__ = ('VersionConfirmation',)

_LOGGER = structlog.get_logger(prefix='versions')

# Streams that instances relayed are taken up within milliseconds of their loss.
COLLECT_MS: Final = 10
# Between the end of a question and the next one.
INTERVAL_MS: Final = 100


class VersionConfirmation:
    """Confirms what the cells know of versions while requests wait for it."""

    def __init__(
        self,
        versions: FleetRecord,
        read_engines: Callable[[], Coroutine[Any, Any, bool]],
        cells: Mapping[str, EngineCell],
    ) -> None:
        """Start without questions.

        :param versions: the record of versions.
        :param read_engines: reads the list of engines and returns whether the
            store has responded.
        :param cells: the cells of this process by service.
        """
        self._versions = versions
        self._read_engines = read_engines
        self._cells = cells
        self._is_wanted = Event()
        self._on_confirmed: Callable[[], Awaitable[None]] | None = None

    def set_callback(self, on_confirmed: Callable[[], Awaitable[None]]) -> None:
        """Set what is called after each question that was answered."""
        self._on_confirmed = on_confirmed

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
            if self._has_waiting():
                await self._is_wanted.set()

    async def async_confirm(self) -> bool:
        """Ask once.

        :returns: whether the store has responded.
        """
        asked_ms = now_ms()
        engines = await spawn(self._read_engines, daemon=True)
        is_read = await self._versions.async_confirm()
        if not await engines.join() or not is_read:
            return False
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

    def _has_waiting(self) -> bool:
        now = now_ms()
        return any(
            isinstance(
                cell.origins.question(waiting.request, now), VersionQuestion
            )
            for cell in self._cells.values()
            for waiting in cell.learning()
        )
