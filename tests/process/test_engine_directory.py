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
