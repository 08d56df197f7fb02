"""Reads configuration and engines from the store, where that is due.

The owner of the fleet's cells reads for all. Another instance reads only when
what it has from the owner grows old: the owner may be cut off from the store,
or turned away by it, while this one is not. Those further down the ranking wait
longer, so that one of them is enough.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import structlog
from curio import sleep
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.platform import PlatformDown, StoredObject
from hornbeamdeck.const import KEY_CONFIGURATION, MILLIS_PER_SECOND
from hornbeamdeck.process.attendance import INFORMED
from hornbeamdeck.process.engine_book import EngineBook
from hornbeamdeck.process.engine_directory import EngineDirectory
from hornbeamdeck.process.freshness import Freshness
from hornbeamdeck.process.store_access import (
    ConfigurationRead,
    EnginesRead,
    StoreAccess,
)

__all__ = ('ReaderParts', 'StoreReader')

_LOGGER = structlog.get_logger(prefix='store')

# How long the store holds a watch. A silent one is noticed a little later.
WATCH_MS: Final = 500
# Engines that start together write one after another; a pause gathers several
# into one answer. After a watch that waited in vain there is none, or the list
# would grow old enough for the others to read it for themselves.
ENGINES_PAUSE_MS: Final = 350
# Ages from which an instance that is not the owner reads for itself: keys must
# be dead within seconds, leaving engines be left alone within two.
CONFIGURATION_OLD_MS: Final = 1400
ENGINES_OLD_MS: Final = 1200
# The same once the owner has said that the store does not answer it.
OWNER_LOST_MS: Final = 250
# How much longer each rank waits before it reads for itself.
RANK_MS: Final = 100
MAX_RANK_MS: Final = 900
# Between looks at whether reading is due: for the first ranks, which may own
# the cells next, and for the others, which read a second later or not at all.
LOOK_MS: Final = 50
SLOW_LOOK_MS: Final = 250
# Between tries at a store that does not answer or holds nothing yet. Each rank
# waits a little longer: in an outage of 4.5 s a fleet of 15 made some 430 calls
# while all tried at the owner's pace.
RETRY_MS: Final = 300


class ReaderParts(NamedTuple):
    """What the reader reads from and tells.

    :param rank: this process's place in the ranking, the owner's is 0.
    :param is_owner: whether this process owns the fleet's cells now.
    :param is_owner_lost: whether the store does not answer the owner.
    :param version: the version of the configuration held here.
    :param note: takes a document that was read.
    :param on_engines: told that the list of engines has changed.
    """

    access: StoreAccess
    freshness: Freshness
    directory: EngineDirectory
    rank: Callable[[], int]
    is_owner: Callable[[], bool]
    is_owner_lost: Callable[[], bool]
    version: Callable[[], int]
    note: Callable[[StoredObject], Awaitable[None]]
    on_engines: Callable[[], None]


class StoreReader:
    """Follows the store for this process and, through beats, for others."""

    def __init__(self, parts: ReaderParts) -> None:
        """Start without anything read."""
        self._parts = parts
        self._book = EngineBook()
        self._engines_at = 0
        self._is_list_lost = False
        self.is_reached = True

    async def async_follow_configuration(self) -> None:
        """Keep the configuration current, for ever."""
        is_watching = False
        while True:
            if not self._is_due(
                self._configuration_age(), CONFIGURATION_OLD_MS
            ):
                is_watching = False
                await sleep(self._look_interval_ms() / MILLIS_PER_SECOND)
                continue
            if is_watching and self._parts.is_owner():
                is_watching = await self._async_watch_configuration()
            else:
                is_watching = await self.async_read_configuration()
            if not is_watching:
                # A store whose history is gone ends every watch at once, and
                # one that holds no document yet answers every read at once;
                # read without a pause either would be called hundreds of
                # times a second by each instance.
                await sleep(self._retry_ms() / MILLIS_PER_SECOND)

    async def async_follow_engines(self) -> None:
        """Keep the list of engines current, for ever."""
        at = 0
        while True:
            age_ms = self._parts.directory.age_ms(now_ms())
            if not self._is_due(age_ms, ENGINES_OLD_MS):
                at = 0
                await sleep(self._look_interval_ms() / MILLIS_PER_SECOND)
                continue
            asked_ms = now_ms()
            at = await self._async_read_engines(at)
            if not at:
                await sleep(self._retry_ms() / MILLIS_PER_SECOND)
            elif now_ms() - asked_ms < WATCH_MS:
                await sleep(ENGINES_PAUSE_MS / MILLIS_PER_SECOND)

    async def async_read_configuration(self) -> bool:
        """Read the document once.

        :returns: whether the store gave one.
        """
        asked_ms = now_ms()
        got = await self._parts.access.read_configuration()
        if isinstance(got, Err):
            self._note_lost('configuration', got.err_value)
            return False
        self._note_reached('configuration')
        await self._async_take(got.ok_value, asked_ms)
        return got.ok_value.document is not None

    async def async_read_engines(self) -> bool:
        """Read the list of engines once.

        :returns: whether the store gave one.
        """
        return bool(await self._async_read_engines(0))

    async def _async_watch_configuration(self) -> bool:
        asked_ms = now_ms()
        version = self._parts.version()
        got = await self._parts.access.watch_configuration(version, WATCH_MS)
        if isinstance(got, Err):
            if isinstance(got.err_value, PlatformDown):
                self._note_lost('configuration', got.err_value)
            return False
        read = got.ok_value
        if read.document is None:
            # Nothing newer than what is held was there when this was asked.
            self._parts.freshness.confirm(version, asked_ms)
            return True
        await self._async_take(read, asked_ms)
        return True

    async def _async_take(self, read: ConfigurationRead, asked: float) -> None:
        if read.document is None:
            return
        stored = StoredObject(KEY_CONFIGURATION, read.revision, read.document)
        await self._parts.note(stored)
        self._parts.freshness.confirm(read.revision, asked)

    async def _async_read_engines(self, at: int) -> int:
        asked_ms = now_ms()
        access = self._parts.access
        if at:
            got = await access.watch_engines(at, WATCH_MS)
        else:
            got = await access.list_engines()
        if isinstance(got, Err):
            if isinstance(got.err_value, PlatformDown):
                self._is_list_lost = True
                self._note_lost('engines', got.err_value)
            return 0
        self._note_reached('engines')
        self._take_engines(got.ok_value, asked_ms, is_complete=not at)
        return got.ok_value.at

    def _take_engines(
        self,
        read: EnginesRead,
        asked_ms: float,
        *,
        is_complete: bool,
    ) -> None:
        directory = self._parts.directory
        now = now_ms()
        if read.at < self._engines_at:
            # The answer to an earlier question than that of the last one.
            directory.confirm_at(read.at, asked_ms)
            return
        self._engines_at = read.at
        if is_complete:
            self._book.replace(
                read.changes,
                directory.engines,
                # An instance that merely lags has missed no outage.
                proof_age_ms=directory.age_ms(now) if self._is_list_lost else 0,
                now=now,
            )
            self._is_list_lost = False
        else:
            self._book.change(read.changes, now)
        engines = self._book.engines(now)
        version = directory.version_at(read.at)
        if version is not None and engines != dict(directory.engines):
            directory.adopt(version, engines.values())
            _LOGGER.info(
                'engines changed',
                version=version,
                engines=len(engines),
                leaving=sorted(
                    name
                    for name, engine in engines.items()
                    if engine.is_leaving
                ),
            )
            self._parts.on_engines()
        directory.confirm_at(read.at, asked_ms)

    def _is_due(self, age_ms: float, old_ms: float) -> bool:
        parts = self._parts
        if parts.is_owner():
            return True
        wait_ms = min(parts.rank() * RANK_MS, MAX_RANK_MS)
        if parts.is_owner_lost():
            old_ms = OWNER_LOST_MS
        return age_ms > old_ms + wait_ms

    def _look_interval_ms(self) -> int:
        return LOOK_MS if self._parts.rank() < INFORMED else SLOW_LOOK_MS

    def _retry_ms(self) -> int:
        parts = self._parts
        if parts.is_owner():
            return RETRY_MS
        return RETRY_MS + min(parts.rank() * RANK_MS, MAX_RANK_MS)

    def _configuration_age(self) -> float:
        return self._parts.freshness.age_ms(self._parts.version(), now_ms())

    def _note_lost(self, what: str, error: PlatformDown) -> None:
        if self.is_reached:
            self.is_reached = False
            _LOGGER.warning('store lost', reading=what, cause=error.cause)

    def _note_reached(self, what: str) -> None:
        if not self.is_reached:
            self.is_reached = True
            _LOGGER.warning('store regained', reading=what)
