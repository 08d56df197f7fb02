"""Which connections are kept, and for how long."""

from typing import cast

import curio

from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.kept import KEPT_AT_ENGINE, KeptConnections

IDLE_MS = 10_000


class _Connection:
    """A connection as far as keeping it goes."""

    def __init__(self) -> None:
        self.may_reuse = True
        self.is_open = True
        self.has_come = False

    def is_quiet(self) -> bool:
        return not self.has_come

    async def async_close(self) -> None:
        self.is_open = False


def _keep(
    kept: KeptConnections,
    *connections: _Connection,
    idle_ms: float = IDLE_MS,
) -> None:
    for each in connections:
        typed = cast(ClientConnection, each)
        curio.run(kept.async_keep, 'e1', typed, idle_ms)


def _take(kept: KeptConnections) -> object:
    return curio.run(kept.async_take, 'e1')


def test_the_last_used_is_taken_first() -> None:
    kept = KeptConnections(lambda: 1)
    older, newer = _Connection(), _Connection()
    _keep(kept, older, newer)
    assert _take(kept) is newer
    assert _take(kept) is older
    assert _take(kept) is None


def test_one_with_unread_bytes_is_closed() -> None:
    """A late answer lies in a kept connection, or its end."""
    kept = KeptConnections(lambda: 1)
    sound, spoilt = _Connection(), _Connection()
    _keep(kept, sound, spoilt)
    spoilt.has_come = True
    assert _take(kept) is sound
    assert not spoilt.is_open


def test_what_may_not_be_used_again_is_not_kept() -> None:
    kept = KeptConnections(lambda: 1)
    unfit, unannounced = _Connection(), _Connection()
    unfit.may_reuse = False
    _keep(kept, unfit)
    _keep(kept, unannounced, idle_ms=0)
    assert not len(kept)
    assert not unfit.is_open
    assert not unannounced.is_open


def test_an_old_one_is_closed() -> None:
    kept = KeptConnections(lambda: 1)
    old = _Connection()
    _keep(kept, old, idle_ms=1e-9)
    assert _take(kept) is None
    assert not old.is_open


def test_a_failure_costs_all_to_that_engine() -> None:
    """An engine breaks under a request on a kept connection. What else is kept
    to it is as old, and the next requests would break on it in turn.
    """
    kept = KeptConnections(lambda: 1)
    both = (_Connection(), _Connection())
    _keep(kept, *both)
    curio.run(kept.async_drop, 'e1')
    assert not any(each.is_open for each in both)
    assert _take(kept) is None


def test_a_large_fleet_leaves_an_engine_its_connections() -> None:
    """An engine accepts a few hundred connections. Each of a hundred instances
    keeps some, and the next new one is reset.
    """
    kept = KeptConnections(lambda: KEPT_AT_ENGINE // 2)
    _keep(kept, *(_Connection() for _ in range(5)))
    assert len(kept) == 2
    none = KeptConnections(lambda: KEPT_AT_ENGINE + 1)
    _keep(none, _Connection())
    assert not len(none)
