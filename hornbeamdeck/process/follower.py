"""Follows objects of the platform, and adopts configurations."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

import structlog
from curio import Event, sleep
from result import Err

from hornbeamdeck.connection.platform import (
    PlatformClient,
    StoredObject,
    WatchAnswer,
)
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.version.configuration import Configuration, parse_document

__all__ = ('ConfigurationFollower', 'async_follow')

_LOGGER = structlog.get_logger(prefix='follower')

WATCH_MS: Final = 30_000
WATCH_PAUSE_S: Final = 0.05
HINT_PAUSE_S: Final = 0.1
ROLE: Final = 'configuration'

OnChange: TypeAlias = Callable[[StoredObject], Awaitable[None]]
TakeFromPeer: TypeAlias = Callable[[str], Awaitable[None]]
OnAdopted: TypeAlias = Callable[[Configuration], Awaitable[None]]


async def async_follow(
    platform: PlatformClient,
    prefix: str,
    on_change: OnChange,
    *,
    role: str,
) -> None:
    """Report all objects under a prefix, then each change, for ever.

    After an error or a gap in the watch everything is listed again, so a
    change that was missed is seen then.
    """
    waits = backoff_s()
    while True:
        listed = await platform.async_list(prefix, role=role)
        if isinstance(listed, Err):
            await sleep(next(waits))
            continue
        waits = backoff_s()
        await _async_report(listed.ok_value, on_change)
        revision = listed.ok_value.revision
        await _async_watch(platform, prefix, on_change, role, revision)
        await sleep(next(waits))


async def _async_watch(
    platform: PlatformClient,
    prefix: str,
    on_change: OnChange,
    role: str,
    revision: int,
) -> None:
    while True:
        seen = await platform.async_watch(
            prefix,
            since=revision,
            role=role,
            wait_ms=WATCH_MS,
        )
        if isinstance(seen, Err):
            return
        await _async_report(seen.ok_value, on_change)
        revision = seen.ok_value.revision
        # A platform that answers a watch at once, changed or not, would be
        # called without pause by every process of the fleet.
        await sleep(WATCH_PAUSE_S)


async def _async_report(answer: WatchAnswer, on_change: OnChange) -> None:
    for change in answer.changes:
        await on_change(change)


class ConfigurationFollower:
    """Holds the configuration in force; a version never goes down."""

    def __init__(
        self,
        platform: PlatformClient,
        on_adopted: OnAdopted,
    ) -> None:
        """Start with the empty configuration, version 0."""
        self.configuration = Configuration.empty()
        self._platform = platform
        self._on_adopted = on_adopted
        self._hinting_peer = ''
        self._hinted = Event()

    async def async_note(self, change: StoredObject) -> None:
        """Adopt a document if it is newer and valid."""
        if change.key != KEY_CONFIGURATION or change.body is None:
            return
        if change.version <= self.configuration.version:
            # A stale list or watch answer, or a peer that lags.
            return
        parsed = parse_document(change.body, version=change.version)
        if isinstance(parsed, Err):
            _LOGGER.error(
                'invalid document ignored',
                version=change.version,
                errors=[str(each) for each in parsed.err_value],
            )
            return
        self.configuration = parsed.ok_value
        _LOGGER.info('configuration adopted', version=change.version)
        await self._on_adopted(parsed.ok_value)

    async def async_hint(self, peer_id: str, version: int) -> None:
        """Take note that a peer has a version."""
        if version > self.configuration.version:
            self._hinting_peer = peer_id
            await self._hinted.set()

    async def async_fetch_hinted(self, take_from_peer: TakeFromPeer) -> None:
        """Fetch, for ever, what peers are known to have already.

        A watch may hang on a dead connection for its whole wait, and the
        platform may be down; peers that learned of the change in time would
        leave this process behind.

        :param take_from_peer: asks the peer, where the platform fails.
        """
        while True:
            await self._hinted.wait()
            got = await self._platform.async_get(KEY_CONFIGURATION, role=ROLE)
            if isinstance(got, Err):
                await take_from_peer(self._hinting_peer)
            elif got.ok_value is not None:
                await self.async_note(got.ok_value)
            # A hint that could not be followed comes again with the next
            # message; the pause keeps that from becoming a storm.
            await sleep(HINT_PAUSE_S)
            self._hinted.clear()
