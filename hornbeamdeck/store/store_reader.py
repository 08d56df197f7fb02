"""Reads configuration and engines from the store when a read is due.

The owner of the fleet's cells reads for all instances. Another instance reads
only when the data that the owner sent is too old: the owner may be unable to
reach the store, or have its calls rejected, while this instance is not
affected. Instances further down the ranking wait longer, so that usually only
one of them reads.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import structlog
from curio import sleep
from result import Err, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.store_client import (
    StoredObject,
    StoreUnavailable,
    WatchGap,
)
from hornbeamdeck.connection.store_revision import (
    NO_REVISION,
    StoreRevision,
)
from hornbeamdeck.const import KEY_CONFIGURATION, MILLIS_PER_SECOND
from hornbeamdeck.membership.liveness import HEARTBEAT_RECEIVERS
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.freshness import Freshness
from hornbeamdeck.store.store_engine_list import StoreEngineList
from hornbeamdeck.store.store_interface import (
    ConfigurationRead,
    EnginesRead,
    StoreInterface,
)

__all__ = ('StoreReaderDependencies', 'StoreReader')

_LOGGER = structlog.get_logger(prefix='store')

# How long the store may hold a watch open. A store that does not respond is
# detected a little later.
WATCH_TIMEOUT_MS: Final = 500
# Engines that start at the same time write their entries one after another.
# Waiting before the next watch collects several changes in one response. There
# is no wait after a watch that ended without changes; with it, the list would
# become so old that the other instances read it themselves.
ENGINES_WATCH_GAP_MS: Final = 350
# An instance that is not the owner reads the store itself when its data is
# older than this. A revoked key must be refused everywhere within seconds, and
# a draining engine must get no more requests after two seconds.
CONFIGURATION_MAX_AGE_MS: Final = 1400
ENGINES_MAX_AGE_MS: Final = 1200
# The same limit after the owner has reported that the store does not respond.
OWNER_LOST_MAX_AGE_MS: Final = 250
# Additional wait per rank before an instance reads the store itself.
RANK_DELAY_MS: Final = 100
MAX_RANK_DELAY_MS: Final = 900
# Intervals between checks whether a read is due. The first ranks, which may
# become the next owners, check often. The others read up to a second later or
# not at all, and check less often.
CHECK_INTERVAL_MS: Final = 50
SLOW_CHECK_INTERVAL_MS: Final = 250
# Retry interval while the store does not respond or holds no data yet. Each
# rank waits a little longer: in an outage of 4.5 s, a fleet of 15 made about
# 430 calls when all instances retried at the owner's interval.
RETRY_MS: Final = 300


class StoreReaderDependencies(NamedTuple):
    """Dependencies and callbacks of the reader.

    :param rank: returns this process's rank; the owner has rank 0.
    :param is_owner: whether this process owns the fleet's cells now.
    :param has_owner_lost_store: whether the owner can't reach the store.
    :param configuration_version: returns the configuration version held here.
    :param on_document: called with each document that was read.
    :param on_engines_changed: called when the list of engines has changed.
    """

    store: StoreInterface
    freshness: Freshness[int]
    directory: EngineDirectory
    rank: Callable[[], int]
    is_owner: Callable[[], bool]
    has_owner_lost_store: Callable[[], bool]
    configuration_version: Callable[[], int]
    on_document: Callable[[StoredObject], Awaitable[None]]
    on_engines_changed: Callable[[], None]


class StoreReader:
    """Reads the store for this process and, through heartbeats, for others."""

    def __init__(self, dependencies: StoreReaderDependencies) -> None:
        """Create the reader; reading starts with the `async_follow` methods."""
        self._dependencies = dependencies
        self._engine_list = StoreEngineList()
        self._configuration_read: ConfigurationRead | None = None
        self._engines_revision = NO_REVISION
        self._ignored_revision = NO_REVISION
        self._has_engines_read_failed = False
        self.is_store_reached = True

    async def async_follow_configuration(self) -> None:
        """Keep the configuration current; never returns."""
        is_watching = False
        while True:
            if not self._is_due(
                self._configuration_age_ms(), CONFIGURATION_MAX_AGE_MS
            ):
                is_watching = False
                await sleep(self._check_interval_ms() / MILLIS_PER_SECOND)
                continue
            is_watching = await self._async_read_or_watch(
                self._configuration_read if is_watching else None
            )
            if not is_watching:
                # A store that lost its history ends every watch immediately, a
                # store without a document responds to every read immediately,
                # and what it holds may be no configuration. Without this wait,
                # each instance would call the store hundreds of times per
                # second in these cases.
                await sleep(self._retry_ms() / MILLIS_PER_SECOND)

    async def async_follow_engines(self) -> None:
        """Keep the list of engines current; never returns."""
        revision: StoreRevision | None = None
        while True:
            age_ms = self._dependencies.directory.age_ms(now_ms())
            if not self._is_due(age_ms, ENGINES_MAX_AGE_MS):
                revision = None
                await sleep(self._check_interval_ms() / MILLIS_PER_SECOND)
                continue
            requested_ms = now_ms()
            revision = await self._async_read_engines(revision)
            if revision is None:
                await sleep(self._retry_ms() / MILLIS_PER_SECOND)
            elif now_ms() - requested_ms < WATCH_TIMEOUT_MS:
                await sleep(ENGINES_WATCH_GAP_MS / MILLIS_PER_SECOND)

    async def async_read_configuration(self) -> bool:
        """Read the configuration document once.

        :returns: whether the store returned a document that could be applied,
            now or earlier.
        """
        requested_ms = now_ms()
        response = await self._dependencies.store.read_configuration()
        if isinstance(response, Err):
            self._record_failure('configuration', response.err_value)
            return False
        self._record_success('configuration')
        read = response.ok_value
        await self._async_apply_configuration(read, requested_ms)
        return read.document is not None and (
            read.version <= self._dependencies.configuration_version()
        )

    async def async_read_engines(self) -> bool:
        """Read the list of engines once.

        :returns: whether the store returned a list.
        """
        return await self._async_read_engines(None) is not None

    async def _async_read_or_watch(
        self, last_read: ConfigurationRead | None
    ) -> bool:
        if last_read is not None and self._dependencies.is_owner():
            return await self._async_watch_configuration(last_read)
        return await self.async_read_configuration()

    async def _async_watch_configuration(
        self, last_read: ConfigurationRead
    ) -> bool:
        requested_ms = now_ms()
        response = await self._dependencies.store.watch_configuration(
            last_read.revision, WATCH_TIMEOUT_MS
        )
        if isinstance(response, Err):
            if isinstance(response.err_value, StoreUnavailable):
                self._record_failure('configuration', response.err_value)
            return False
        read = response.ok_value
        if read.document is None:
            # The store held no newer version when the request was sent.
            self._dependencies.freshness.confirm(
                last_read.version, requested_ms
            )
            return True
        await self._async_apply_configuration(read, requested_ms)
        return True

    async def _async_apply_configuration(
        self, read: ConfigurationRead, requested_ms: float
    ) -> None:
        if read.document is None:
            return
        self._configuration_read = read
        stored = StoredObject(KEY_CONFIGURATION, read.version, read.document)
        await self._dependencies.on_document(stored)
        self._dependencies.freshness.confirm(read.version, requested_ms)

    async def _async_read_engines(
        self, since: StoreRevision | None
    ) -> StoreRevision | None:
        requested_ms = now_ms()
        store = self._dependencies.store
        response: Result[EnginesRead, StoreUnavailable | WatchGap]
        if since is None:
            response = await store.list_engines()
        else:
            response = await store.watch_engines(since, WATCH_TIMEOUT_MS)
        if isinstance(response, Err):
            if isinstance(response.err_value, StoreUnavailable):
                self._has_engines_read_failed = True
                self._record_failure('engines', response.err_value)
            return None
        self._record_success('engines')
        self._apply_engines(
            response.ok_value, requested_ms, is_complete=since is None
        )
        return response.ok_value.revision

    def _apply_engines(
        self,
        read: EnginesRead,
        requested_ms: float,
        *,
        is_complete: bool,
    ) -> None:
        directory = self._dependencies.directory
        now = now_ms()
        if read.revision < self._engines_revision:
            # This read is older than the last one that was applied.
            self._log_ignored(read.revision)
            directory.confirm_revision(read.revision, requested_ms)
            return
        self._engines_revision = read.revision
        is_restored = directory.is_read and read.revision.era > directory.era
        if is_complete:
            self._engine_list.apply_list(
                read.changes,
                directory.engines,
                gone=directory.gone_before(read.revision.era),
                restored_ms=now if is_restored else directory.restored_ms,
                # A stale list without a failed read is caused by a lagging
                # instance, not by an outage of the store.
                confirmation_age_ms=directory.age_ms(now)
                if self._has_engines_read_failed
                else 0,
                now=now,
            )
            self._has_engines_read_failed = False
        else:
            self._engine_list.apply_changes(read.changes, now)
        engines = directory.notices.apply(
            self._engine_list.usable_engines(now).values()
        )
        version = directory.version_for_revision(read.revision)
        # The others go on with a list of the era before until they get one of
        # this era, even if it names the same engines.
        if version is not None and (
            is_restored or engines != dict(directory.engines)
        ):
            directory.update(version, engines.values())
            _LOGGER.info(
                'engines changed',
                revision=read.revision.number,
                era=read.revision.era,
                engines=len(engines),
                leaving=sorted(
                    name
                    for name, engine in engines.items()
                    if engine.is_draining
                ),
            )
            self._dependencies.on_engines_changed()
        directory.confirm_revision(read.revision, requested_ms)

    def _log_ignored(self, revision: StoreRevision) -> None:
        if revision != self._ignored_revision:
            self._ignored_revision = revision
            _LOGGER.info(
                'older list of engines ignored',
                revision=revision.number,
                era=revision.era,
                held=self._engines_revision.number,
                held_era=self._engines_revision.era,
            )

    def _is_due(self, age_ms: float, max_age_ms: float) -> bool:
        dependencies = self._dependencies
        if dependencies.is_owner():
            return True
        wait_ms = min(dependencies.rank() * RANK_DELAY_MS, MAX_RANK_DELAY_MS)
        if dependencies.has_owner_lost_store():
            max_age_ms = OWNER_LOST_MAX_AGE_MS
        return age_ms > max_age_ms + wait_ms

    def _check_interval_ms(self) -> int:
        return (
            CHECK_INTERVAL_MS
            if self._dependencies.rank() < HEARTBEAT_RECEIVERS
            else SLOW_CHECK_INTERVAL_MS
        )

    def _retry_ms(self) -> int:
        dependencies = self._dependencies
        if dependencies.is_owner():
            return RETRY_MS
        return RETRY_MS + min(
            dependencies.rank() * RANK_DELAY_MS, MAX_RANK_DELAY_MS
        )

    def _configuration_age_ms(self) -> float:
        return self._dependencies.freshness.age_ms(
            self._dependencies.configuration_version(), now_ms()
        )

    def _record_failure(self, resource: str, error: StoreUnavailable) -> None:
        if self.is_store_reached:
            self.is_store_reached = False
            _LOGGER.warning('store lost', reading=resource, cause=error.cause)

    def _record_success(self, resource: str) -> None:
        if not self.is_store_reached:
            self.is_store_reached = True
            _LOGGER.warning('store regained', reading=resource)
