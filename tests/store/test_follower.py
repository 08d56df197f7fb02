"""Tests of how an instance fetches a version that a peer has reported."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio
import pytest
from result import Err, Ok, Result

from hornbeamdeck.connection.store_client import StoredObject, StoreUnavailable
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.store.follower import ConfigurationFollower, DocumentSource


class _Document(NamedTuple):
    version: int
    document: str


class _SleepReached(Exception):
    """Raised instead of sleeping, to end the loop after one round."""


_Fetched = Result[StoredObject | None, StoreUnavailable]


async def _async_ignore(_document: _Document) -> None:
    """Do nothing."""


def _stored(version: int) -> StoredObject:
    return StoredObject(KEY_CONFIGURATION, version, 'text')


def _follow(
    monkeypatch: pytest.MonkeyPatch,
    *,
    fetch: Callable[[], Awaitable[_Fetched]],
    peer_version: int,
) -> int:
    """Run one round of fetches after a peer has reported version 7.

    :param peer_version: the version that the peer returns; 0 for none.
    :returns: the version in force afterwards.
    """
    source = DocumentSource(
        empty=_Document(0, ''),
        parse=lambda text, version: Ok(_Document(version, text)),
        fetch=fetch,
        on_applied=_async_ignore,
    )
    follower = ConfigurationFollower(source)

    async def _async_fetch_from_peer(_peer_id: str) -> None:
        if peer_version:
            await follower.async_note(_stored(peer_version))

    async def _async_sleep(_seconds: float) -> None:
        raise _SleepReached

    async def _async_follow() -> None:
        await follower.async_hint('peer', 7)
        await follower.async_fetch_hinted(_async_fetch_from_peer)

    monkeypatch.setattr('hornbeamdeck.store.follower.sleep', _async_sleep)
    with pytest.raises(_SleepReached):
        curio.run(_async_follow)
    return follower.configuration.version


def test_reporting_peer_is_requested_before_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each configuration change reaches one instance first, which reports it to
    the others. If all of them then read from the store, each change would cost
    one store call per instance.
    """
    calls = []

    async def _async_fetch() -> _Fetched:
        calls.append('fetch')
        return Err(StoreUnavailable('down'))

    version = _follow(monkeypatch, fetch=_async_fetch, peer_version=7)
    assert version == 7
    assert not calls


def test_store_is_read_if_the_peer_returns_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The peer that reported the version stops before it can return it, and no
    other peer reports the version.
    """

    async def _async_fetch() -> _Fetched:
        return Ok(_stored(8))

    assert _follow(monkeypatch, fetch=_async_fetch, peer_version=0) == 8
