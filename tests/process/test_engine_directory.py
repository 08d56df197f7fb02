"""Tests of which list of engines is used and of its confirmation time."""

import math

from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.process.engine_directory import EngineDirectory
from hornbeamdeck.process.list_version import ListVersion
from hornbeamdeck.scheduling.engine import Engine


def _version(number: int) -> ListVersion:
    return ListVersion(StoreRevision(1, number))


def _engine(*, is_draining: bool) -> Engine:
    return Engine('engine-1', 'desk', '127.0.0.1:1', 'z1', 4, is_draining, 1)


def test_confirmation_of_a_newer_list_does_not_confirm_an_older_one() -> None:
    """Guards against a stale list that counts as current and is not reread."""
    directory = EngineDirectory()
    directory.update(_version(100), [_engine(is_draining=False)])
    directory.confirm(_version(105), 5000)
    assert directory.confirmed_ms == -math.inf


def test_confirmation_of_an_older_list_confirms_a_newer_one() -> None:
    """Guards against unnecessary reads after a list was applied."""
    directory = EngineDirectory()
    directory.confirm(_version(95), 5000)
    directory.update(_version(100), [_engine(is_draining=True)])
    assert directory.confirmed_ms == 5000


def test_older_revision_never_replaces_a_newer_list() -> None:
    """Guards against a slow reader that restores a draining engine."""
    directory = EngineDirectory()
    version = directory.version_for_revision(StoreRevision(1, 100))
    assert version is not None
    directory.update(version, [_engine(is_draining=True)])
    assert directory.version_for_revision(StoreRevision(1, 99)) is None
    again = directory.version_for_revision(StoreRevision(1, 100))
    assert again is not None
    assert again > version
    directory.update(again, [_engine(is_draining=True)])
    later = EngineDirectory().version_for_revision(StoreRevision(1, 101))
    assert later is not None
    assert later > again


def test_engine_is_recognized_as_draining_or_removed() -> None:
    """Guards against grants that are used after their engine was removed."""
    directory = EngineDirectory()
    assert not directory.is_draining_or_removed('engine-1')
    directory.update(_version(1), [_engine(is_draining=False)])
    assert not directory.is_draining_or_removed('engine-1')
    directory.update(_version(2), [_engine(is_draining=True)])
    assert directory.is_draining_or_removed('engine-1')
    directory.update(_version(3), [])
    assert directory.is_draining_or_removed('engine-1')
    directory.update(_version(4), [_engine(is_draining=False)])
    assert not directory.is_draining_or_removed('engine-1')
