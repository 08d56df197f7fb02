"""How an instance catches up with a version that a peer has told of."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio
import pytest
from result import Err, Ok, Result

from hornbeamdeck.connection.platform import PlatformDown, StoredObject
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.process.follower import ConfigurationFollower, DocumentKind


class _Held(NamedTuple):
    version: int
    document: str


class _Paused(Exception):
    """Raised in place of the pause after a hint was followed."""


_Fetched = Result[StoredObject | None, PlatformDown]


async def _async_ignore(_held: _Held) -> None:
    """Take no note."""


def _stored(version: int) -> StoredObject:
    return StoredObject(KEY_CONFIGURATION, version, 'text')


def _follow(
    monkeypatch: pytest.MonkeyPatch,
    *,
    fetch: Callable[[], Awaitable[_Fetched]],
    peer_gives: int,
) -> int:
    """Follow one hint of version 7.

    :returns: the version held then.
    """
    kind = DocumentKind(
        empty=_Held(0, ''),
        parse=lambda text, version: Ok(_Held(version, text)),
        fetch=fetch,
        on_adopted=_async_ignore,
    )
    follower = ConfigurationFollower(kind)

    async def _async_take(_peer_id: str) -> None:
        if peer_gives:
            await follower.async_note(_stored(peer_gives))

    async def _async_pause(_seconds: float) -> None:
        raise _Paused

    async def _async_follow() -> None:
        await follower.async_hint('peer', 7)
        await follower.async_fetch_hinted(_async_take)

    monkeypatch.setattr('hornbeamdeck.process.follower.sleep', _async_pause)
    with pytest.raises(_Paused):
        curio.run(_async_follow)
    return follower.configuration.version


def test_the_peer_that_hinted_is_asked_before_the_platform(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each change of the configuration reaches one instance first, which tells
    the others. Did all of them read the platform then, a storm of changes
    would cost it a call of every instance for each.
    """
    calls = []

    async def _async_fetch() -> _Fetched:
        calls.append('fetch')
        return Err(PlatformDown('away'))

    held = _follow(monkeypatch, fetch=_async_fetch, peer_gives=7)
    assert held == 7
    assert not calls


def test_the_platform_is_asked_where_the_peer_is_of_no_help(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The peer that hinted stops in the next moment, and nobody else tells."""

    async def _async_fetch() -> _Fetched:
        return Ok(_stored(8))

    assert _follow(monkeypatch, fetch=_async_fetch, peer_gives=0) == 8
