"""Follows objects in the store and applies new configurations."""

from collections.abc import Awaitable, Callable
from typing import Final, Generic, NamedTuple, Protocol, TypeAlias, TypeVar

import structlog
from curio import Event, sleep
from result import Err, Ok, Result

from hornbeamdeck.connection.store_client import (
    PlatformClient,
    StoredObject,
    StoreUnavailable,
    WatchResponse,
)
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.store.applied_documents import AppliedDocuments
from hornbeamdeck.version.configuration import Configuration, parse_document

__all__ = (
    'ConfigurationFollower',
    'DocumentSource',
    'VersionedDocument',
    'async_follow',
    'make_configuration_follower',
)

_LOGGER = structlog.get_logger(prefix='follower')

WATCH_TIMEOUT_MS: Final = 30_000
WATCH_INTERVAL_S: Final = 0.05
HINT_INTERVAL_S: Final = 0.1
CONFIGURATION_ROLE: Final = 'configuration'
MAX_LOGGED_ERRORS: Final = 20
MAX_LOGGED_CHARS: Final = 200

OnChange: TypeAlias = Callable[[StoredObject], Awaitable[None]]
FetchFromPeer: TypeAlias = Callable[[str], Awaitable[None]]


async def async_follow(
    platform: PlatformClient,
    prefix: str,
    on_change: OnChange,
    *,
    role: str,
) -> None:
    """Report all objects under a prefix, then each change; never returns.

    After an error or a gap in the watch, all objects are listed again, so that
    missed changes are reported as well.
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
    revision: StoreRevision,
) -> None:
    while True:
        response = await platform.async_watch(
            prefix,
            since=revision,
            role=role,
            wait_ms=WATCH_TIMEOUT_MS,
        )
        if isinstance(response, Err):
            return
        await _async_report(response.ok_value, on_change)
        revision = response.ok_value.revision
        # A store that ends every watch immediately, even without a change,
        # would otherwise be called in a tight loop by every process of the
        # fleet.
        await sleep(WATCH_INTERVAL_S)


async def _async_report(response: WatchResponse, on_change: OnChange) -> None:
    for change in response.changes:
        await on_change(change)


_Fetched: TypeAlias = Result[StoredObject | None, StoreUnavailable]


class VersionedDocument(Protocol):
    """Interface that every kind of configuration implements."""

    @property
    def version(self) -> int:
        """Version of the document; 0 if no document was read yet."""

    @property
    def document(self) -> str:
        """The document's text, which is sent to peers."""


_Configuration = TypeVar('_Configuration', bound=VersionedDocument)
_Parsed: TypeAlias = Result[_Configuration, tuple[object, ...]]


class DocumentSource(NamedTuple, Generic[_Configuration]):
    """Functions and initial value for the kind of document to follow.

    :param empty: the configuration used before the first document is read.
    :param parse: takes a document's text and its version.
    :param fetch: reads the document from the store.
    :param on_applied: called with each configuration that comes into force.
    :param count_invalid: called for each document that can't be applied.
    """

    empty: _Configuration
    parse: Callable[[str, int], _Parsed[_Configuration]]
    fetch: Callable[[], Awaitable[_Fetched]]
    on_applied: Callable[[_Configuration], Awaitable[None]]
    count_invalid: Callable[[], None] | None = None


class ConfigurationFollower(Generic[_Configuration]):
    """Holds the configuration in force; its version never decreases."""

    def __init__(self, kind: DocumentSource[_Configuration]) -> None:
        """Start with the empty configuration, version 0."""
        self.configuration = kind.empty
        self._kind = kind
        self._hinting_peer = ''
        self._hinted_version = 0
        self._hinted = Event()
        self._ignored_version = 0
        # May be higher than that of the configuration: a restored store holds
        # earlier documents, which are not applied, under newer versions.
        self._newest_version = 0
        self._applied = AppliedDocuments()
        # The last one that could not be applied, which is read again and again.
        self._invalid: StoredObject | None = None

    async def async_note(self, change: StoredObject) -> None:
        """Apply a document if it is newer and valid."""
        if change.key != KEY_CONFIGURATION or change.body is None:
            return
        if change == self._invalid:
            return
        if change.version <= self._newest_version:
            # From a stale list or watch response, or from a lagging peer.
            self._log_ignored(change.version)
            return
        if self._applied.contains(change):
            # The store was restored, and holds again what it held before.
            self._newest_version = change.version
            self._log_ignored(change.version)
            return
        parsed = self._kind.parse(change.body, change.version)
        if isinstance(parsed, Err):
            self._record_invalid(change, parsed.err_value)
            return
        self._applied.record(change)
        self._newest_version = change.version
        self.configuration = parsed.ok_value
        _LOGGER.info('configuration applied', version=change.version)
        await self._kind.on_applied(parsed.ok_value)

    async def async_hint(self, peer_id: str, version: int) -> None:
        """Record that a peer has a version, to fetch it if it is newer."""
        if version > self._newest_version:
            self._hinting_peer = peer_id
            self._hinted_version = version
            await self._hinted.set()

    async def async_fetch_hinted(self, take_from_peer: FetchFromPeer) -> None:
        """Fetch newer versions that peers have reported; never returns.

        A watch may hang on a dead connection until its timeout, and the store
        may be down. This process would then stay on an old version although
        its peers received the change. The document is first requested from
        the peer that reported the version: if every instance read from the
        store, each change would cause one store call per instance.

        :param take_from_peer: requests the document from a peer.
        """
        while True:
            await self._hinted.wait()
            await take_from_peer(self._hinting_peer)
            if self._newest_version < self._hinted_version:
                await self._async_fetch()
            # If both fetches failed, the peer's next message reports the
            # version again. This wait limits how often that causes a fetch.
            await sleep(HINT_INTERVAL_S)
            self._hinted.clear()

    def _record_invalid(
        self, change: StoredObject, errors: tuple[object, ...]
    ) -> None:
        self._invalid = change
        if self._kind.count_invalid is not None:
            self._kind.count_invalid()
        _LOGGER.error(
            'invalid document ignored',
            version=change.version,
            errors=[
                ascii(str(each))[:MAX_LOGGED_CHARS]
                for each in errors[:MAX_LOGGED_ERRORS]
            ],
        )

    def _log_ignored(self, version: int) -> None:
        held = self.configuration.version
        if version not in {held, self._ignored_version}:
            self._ignored_version = version
            _LOGGER.info(
                'older configuration ignored', version=version, held=held
            )

    async def _async_fetch(self) -> None:
        fetched = await self._kind.fetch()
        if isinstance(fetched, Ok) and fetched.ok_value is not None:
            await self.async_note(fetched.ok_value)


def make_configuration_follower(
    platform: PlatformClient,
    on_applied: Callable[[Configuration], Awaitable[None]],
) -> ConfigurationFollower[Configuration]:
    """Create the follower of the product's own configuration document."""

    def _parse(
        text: str,
        version: int,
    ) -> Result[Configuration, tuple[object, ...]]:
        return parse_document(text, version=version)

    async def _async_fetch() -> Result[StoredObject | None, StoreUnavailable]:
        return await platform.async_get(
            KEY_CONFIGURATION, role=CONFIGURATION_ROLE
        )

    source = DocumentSource(
        empty=Configuration.empty(),
        parse=_parse,
        fetch=_async_fetch,
        on_applied=on_applied,
    )
    return ConfigurationFollower(source)
