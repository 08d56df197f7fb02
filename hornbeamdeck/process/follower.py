"""Follows objects of the platform, and adopts configurations."""

from collections.abc import Awaitable, Callable
from typing import Final, Generic, NamedTuple, Protocol, TypeAlias, TypeVar

import structlog
from curio import Event, sleep
from result import Err, Ok, Result

from hornbeamdeck.connection.platform import (
    PlatformClient,
    PlatformDown,
    StoredObject,
    WatchAnswer,
)
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.version.configuration import Configuration, parse_document

__all__ = (
    'ConfigurationFollower',
    'DocumentKind',
    'HeldDocument',
    'async_follow',
    'follow_platform',
)

_LOGGER = structlog.get_logger(prefix='follower')

WATCH_MS: Final = 30_000
WATCH_PAUSE_S: Final = 0.05
HINT_PAUSE_S: Final = 0.1
ROLE: Final = 'configuration'

OnChange: TypeAlias = Callable[[StoredObject], Awaitable[None]]
TakeFromPeer: TypeAlias = Callable[[str], Awaitable[None]]


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


_Fetched: TypeAlias = Result[StoredObject | None, PlatformDown]


class HeldDocument(Protocol):
    """What every kind of configuration tells of its document."""

    @property
    def version(self) -> int:
        """Version of the document; 0: none is known yet."""

    @property
    def document(self) -> str:
        """Its text, to pass on to peers."""


_Held = TypeVar('_Held', bound=HeldDocument)
_Parsed: TypeAlias = Result[_Held, tuple[object, ...]]


class DocumentKind(NamedTuple, Generic[_Held]):
    """What a follower has to know of the document that it follows.

    :param empty: what is held before any is known.
    :param parse: takes a text and its version.
    :param fetch: reads the document from where it is stored.
    :param on_adopted: told of each version that comes into force.
    """

    empty: _Held
    parse: Callable[[str, int], _Parsed[_Held]]
    fetch: Callable[[], Awaitable[_Fetched]]
    on_adopted: Callable[[_Held], Awaitable[None]]


class ConfigurationFollower(Generic[_Held]):
    """Holds the configuration in force; a version never goes down."""

    def __init__(self, kind: DocumentKind[_Held]) -> None:
        """Start with the empty configuration, version 0."""
        self.configuration = kind.empty
        self._kind = kind
        self._hinting_peer = ''
        self._hinted_version = 0
        self._hinted = Event()

    async def async_note(self, change: StoredObject) -> None:
        """Adopt a document if it is newer and valid."""
        if change.key != KEY_CONFIGURATION or change.body is None:
            return
        if change.version <= self.configuration.version:
            # A stale list or watch answer, or a peer that lags.
            return
        parsed = self._kind.parse(change.body, change.version)
        if isinstance(parsed, Err):
            _LOGGER.error(
                'invalid document ignored',
                version=change.version,
                errors=[str(each) for each in parsed.err_value],
            )
            return
        self.configuration = parsed.ok_value
        _LOGGER.info('configuration adopted', version=change.version)
        await self._kind.on_adopted(parsed.ok_value)

    async def async_hint(self, peer_id: str, version: int) -> None:
        """Take note that a peer has a version."""
        if version > self.configuration.version:
            self._hinting_peer = peer_id
            self._hinted_version = version
            await self._hinted.set()

    async def async_fetch_hinted(self, take_from_peer: TakeFromPeer) -> None:
        """Fetch, for ever, what peers are known to have already.

        A watch may hang on a dead connection for its whole wait, and the
        platform may be down; peers that learned of the change in time would
        leave this process behind. The peer that hinted is asked first: were it
        the platform, each change would cost a call of every instance.

        :param take_from_peer: asks the peer.
        """
        while True:
            await self._hinted.wait()
            await take_from_peer(self._hinting_peer)
            if self.configuration.version < self._hinted_version:
                await self._async_fetch()
            # A hint that could not be followed comes again with the next
            # message; the pause keeps that from becoming a storm.
            await sleep(HINT_PAUSE_S)
            self._hinted.clear()

    async def _async_fetch(self) -> None:
        got = await self._kind.fetch()
        if isinstance(got, Ok) and got.ok_value is not None:
            await self.async_note(got.ok_value)


def follow_platform(
    platform: PlatformClient,
    on_adopted: Callable[[Configuration], Awaitable[None]],
) -> ConfigurationFollower[Configuration]:
    """Make the follower of the product's own document in its own platform."""

    def _parse(
        text: str,
        version: int,
    ) -> Result[Configuration, tuple[object, ...]]:
        return parse_document(text, version=version)

    async def _async_fetch() -> Result[StoredObject | None, PlatformDown]:
        return await platform.async_get(KEY_CONFIGURATION, role=ROLE)

    kind = DocumentKind(
        empty=Configuration.empty(),
        parse=_parse,
        fetch=_async_fetch,
        on_adopted=on_adopted,
    )
    return ConfigurationFollower(kind)
