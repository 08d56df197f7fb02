"""Which list of engines counts, and how current it is taken to be."""

import math

from hornbeamdeck.connection.address import Address
from hornbeamdeck.process.engine_directory import Engine, EngineDirectory


def _engine(*, is_leaving: bool) -> Engine:
    address = Address('127.0.0.1', 1)
    return Engine('engine-1', 'desk', address, 'z1', 4, is_leaving, 1)


def test_proof_of_a_newer_list_does_not_make_an_older_one_current() -> None:
    """Guards against a stale list taken for current, so that none is read."""
    directory = EngineDirectory()
    directory.adopt(100, [_engine(is_leaving=False)])
    directory.confirm(105, 5000)
    assert directory.confirmed_ms == -math.inf


def test_proof_of_an_older_list_counts_for_a_newer_one() -> None:
    """Guards against needless reads after a list was adopted."""
    directory = EngineDirectory()
    directory.confirm(95, 5000)
    directory.adopt(100, [_engine(is_leaving=True)])
    assert directory.confirmed_ms == 5000


def test_a_list_that_was_read_earlier_never_wins() -> None:
    """Guards against a late reader that brings a leaving engine back."""
    directory = EngineDirectory()
    version = directory.version_at(100)
    assert version is not None
    directory.adopt(version, [_engine(is_leaving=True)])
    assert directory.version_at(99) is None
    again = directory.version_at(100)
    assert again is not None
    assert again > version
    directory.adopt(again, [_engine(is_leaving=True)])
    later = EngineDirectory().version_at(101)
    assert later is not None
    assert later > again


def test_an_engine_has_left_when_it_says_so_or_is_listed_no_more() -> None:
    """Guards against grants that outlive their engine."""
    directory = EngineDirectory()
    assert not directory.has_left('engine-1')
    directory.adopt(1, [_engine(is_leaving=False)])
    assert not directory.has_left('engine-1')
    directory.adopt(2, [_engine(is_leaving=True)])
    assert directory.has_left('engine-1')
    directory.adopt(3, [])
    assert directory.has_left('engine-1')
    directory.adopt(4, [_engine(is_leaving=False)])
    assert not directory.has_left('engine-1')
