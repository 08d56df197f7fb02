"""Tests of when an instance reads the store itself."""

from types import SimpleNamespace
from typing import cast

import curio
import pytest
from result import Ok

from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.store.freshness import Freshness
from hornbeamdeck.store.store_interface import (
    ConfigurationRead,
    StoreInterface,
)
from hornbeamdeck.store.store_reader import (
    CONFIGURATION_MAX_AGE_MS,
    StoreReader,
    StoreReaderDependencies,
)

SLEEP = 'hornbeamdeck.store.store_reader.sleep'


async def _async_ignore(_stored: StoredObject) -> None:
    """Do nothing."""


def _reader(
    *, rank: int, is_owner: bool, has_owner_lost_store: bool
) -> StoreReader:
    return StoreReader(
        StoreReaderDependencies(
            store=cast(StoreInterface, None),
            freshness=Freshness(),
            directory=EngineDirectory(),
            rank=lambda: rank,
            is_owner=lambda: is_owner,
            has_owner_lost_store=lambda: has_owner_lost_store,
            configuration_version=lambda: 1,
            on_document=_async_ignore,
            on_engines_changed=lambda: None,
        ),
    )


def _is_due(reader: StoreReader, age_ms: float) -> bool:
    return reader._is_due(age_ms, CONFIGURATION_MAX_AGE_MS)


def test_owner_always_reads_and_others_read_when_their_data_is_old() -> None:
    assert _is_due(
        _reader(rank=0, is_owner=True, has_owner_lost_store=False), 0
    )
    other = _reader(rank=1, is_owner=False, has_owner_lost_store=False)
    assert not _is_due(other, 1000)
    assert _is_due(other, 1600)


def test_lower_ranks_wait_longer_before_they_read() -> None:
    """Guards against a fleet whose instances all receive no updates, read the
    store at the same time and overload it right after an outage.
    """
    readers = [
        _reader(rank=rank, is_owner=False, has_owner_lost_store=False)
        for rank in range(1, 8)
    ]
    due = [
        _is_due(reader, CONFIGURATION_MAX_AGE_MS + 350) for reader in readers
    ]
    assert due == [True, True, True, False, False, False, False]


def test_next_rank_reads_early_when_the_store_rejects_the_owner() -> None:
    """The store rejects the owner's calls while a key is revoked. An instance
    that waited until its data reaches the normal maximum age would accept the
    key for longer than allowed.
    """
    successor = _reader(rank=1, is_owner=False, has_owner_lost_store=True)
    assert _is_due(successor, 500)


class _SleepReached(Exception):
    """Raised instead of the first sleep, to end the loop."""


def test_reads_of_a_store_without_a_configuration_are_spaced_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fleet starts before its operator has written a configuration. The
    store responds to each read immediately that there is none. Without a wait
    between the reads, it would get hundreds of calls per second before the
    first request arrives.
    """
    calls = []

    async def _async_read() -> Ok[ConfigurationRead]:
        calls.append('read')
        return Ok(ConfigurationRead(StoreRevision(0, 0), 0, None))

    async def _async_sleep(_seconds: float) -> None:
        raise _SleepReached

    reader = _reader(rank=3, is_owner=False, has_owner_lost_store=False)
    store = SimpleNamespace(read_configuration=_async_read)
    reader._dependencies = reader._dependencies._replace(
        store=cast(StoreInterface, store)
    )
    monkeypatch.setattr(SLEEP, _async_sleep)
    with pytest.raises(_SleepReached):
        curio.run(reader.async_follow_configuration)
    assert calls == ['read']


def test_lower_ranks_retry_less_often() -> None:
    """The store is down for seconds, or rejects the calls of a third of the
    fleet. Each rejected call incurs a cost, and all instances together make
    hundreds of calls.
    """
    owner = _reader(rank=0, is_owner=True, has_owner_lost_store=False)
    last = _reader(rank=14, is_owner=False, has_owner_lost_store=False)
    assert owner._retry_ms() * 3 < last._retry_ms()
    assert last._retry_ms() < 2000
