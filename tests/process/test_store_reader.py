"""When an instance reads the store for itself."""

from types import SimpleNamespace
from typing import cast

import curio
import pytest
from result import Ok

from hornbeamdeck.connection.platform import StoredObject
from hornbeamdeck.process.engine_directory import EngineDirectory
from hornbeamdeck.process.freshness import Freshness
from hornbeamdeck.process.store_access import ConfigurationRead, StoreAccess
from hornbeamdeck.process.store_reader import (
    CONFIGURATION_OLD_MS,
    ReaderParts,
    StoreReader,
)

MODULE = 'hornbeamdeck.process.store_reader.sleep'


async def _async_forget(_stored: StoredObject) -> None:
    """Take no document."""


def _reader(*, rank: int, is_owner: bool, is_owner_lost: bool) -> StoreReader:
    return StoreReader(
        ReaderParts(
            access=cast(StoreAccess, None),
            freshness=Freshness(),
            directory=EngineDirectory(),
            rank=lambda: rank,
            is_owner=lambda: is_owner,
            is_owner_lost=lambda: is_owner_lost,
            version=lambda: 1,
            note=_async_forget,
            on_engines=lambda: None,
        ),
    )


def _is_due(reader: StoreReader, age_ms: float) -> bool:
    return reader._is_due(age_ms, CONFIGURATION_OLD_MS)


def test_the_owner_reads_always_the_others_when_news_is_old() -> None:
    assert _is_due(_reader(rank=0, is_owner=True, is_owner_lost=False), 0)
    other = _reader(rank=1, is_owner=False, is_owner_lost=False)
    assert not _is_due(other, 1000)
    assert _is_due(other, 1600)


def test_those_further_down_wait_longer() -> None:
    """All that hear nothing read at once, and a store that is just coming back
    is called by the whole fleet.
    """
    readers = [
        _reader(rank=rank, is_owner=False, is_owner_lost=False)
        for rank in range(1, 8)
    ]
    due = [_is_due(reader, CONFIGURATION_OLD_MS + 350) for reader in readers]
    assert due == [True, True, True, False, False, False, False]


def test_when_the_owner_is_turned_away_the_next_reads_at_once() -> None:
    """The store turns the owner away as a key is taken away. An instance that
    waited until all it holds is old would serve that key past its time.
    """
    told = _reader(rank=1, is_owner=False, is_owner_lost=True)
    assert _is_due(told, 500)


class _Paused(Exception):
    """Raised in place of the first pause."""


def test_a_store_without_a_configuration_is_not_asked_without_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fleet starts before its operator has written a configuration. The
    store answers each read at once that there is none; asked again without a
    pause, it gets hundreds of calls a second before the first request comes.
    """
    calls = []

    async def _async_read() -> Ok[ConfigurationRead]:
        calls.append('read')
        return Ok(ConfigurationRead(0, None))

    async def _async_pause(_seconds: float) -> None:
        raise _Paused

    reader = _reader(rank=3, is_owner=False, is_owner_lost=False)
    access = SimpleNamespace(read_configuration=_async_read)
    reader._parts = reader._parts._replace(access=cast(StoreAccess, access))
    monkeypatch.setattr(MODULE, _async_pause)
    with pytest.raises(_Paused):
        curio.run(reader.async_follow_configuration)
    assert calls == ['read']


def test_those_further_down_try_again_less_often() -> None:
    """The store is away for seconds, or turns a third of the fleet away. Each
    refused call is paid for, and all instances together make hundreds.
    """
    owner = _reader(rank=0, is_owner=True, is_owner_lost=False)
    last = _reader(rank=14, is_owner=False, is_owner_lost=False)
    assert owner._retry_ms() * 3 < last._retry_ms()
    assert last._retry_ms() < 2000
