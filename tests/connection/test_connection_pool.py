"""The pool of idle connections to engines."""

from typing import cast

import curio
import pytest

from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.connection_pool import (
    MAX_IDLE_AT_ENGINE,
    ConnectionPool,
    keep_alive_ms,
)

IDLE_MS = 10_000


class _FakeConnection:
    """Stands in for a client connection in the pool."""

    def __init__(self) -> None:
        self.is_reusable = True
        self.is_open = True
        self.has_input = False

    def has_no_pending_input(self) -> bool:
        return not self.has_input

    async def async_close(self) -> None:
        self.is_open = False


def _release(
    pool: ConnectionPool,
    *connections: _FakeConnection,
    idle_ms: float = IDLE_MS,
) -> None:
    for each in connections:
        typed = cast(ClientConnection, each)
        curio.run(pool.async_release, 'e1', typed, idle_ms)


def _acquire(pool: ConnectionPool) -> object:
    return curio.run(pool.async_acquire, 'e1')


def test_last_used_connection_is_acquired_first() -> None:
    pool = ConnectionPool(lambda: 1)
    older, newer = _FakeConnection(), _FakeConnection()
    _release(pool, older, newer)
    assert _acquire(pool) is newer
    assert _acquire(pool) is older
    assert _acquire(pool) is None


def test_connection_with_unread_bytes_is_closed() -> None:
    """Guards against reading a late response, or a close, on an idle
    connection as the response to the next request.
    """
    pool = ConnectionPool(lambda: 1)
    clean, stale = _FakeConnection(), _FakeConnection()
    _release(pool, clean, stale)
    stale.has_input = True
    assert _acquire(pool) is clean
    assert not stale.is_open


def test_connection_that_cannot_be_reused_is_closed() -> None:
    pool = ConnectionPool(lambda: 1)
    not_reusable, no_keep_alive = _FakeConnection(), _FakeConnection()
    not_reusable.is_reusable = False
    _release(pool, not_reusable)
    _release(pool, no_keep_alive, idle_ms=0)
    assert not len(pool)
    assert not not_reusable.is_open
    assert not no_keep_alive.is_open


def test_expired_connection_is_closed() -> None:
    pool = ConnectionPool(lambda: 1)
    expired = _FakeConnection()
    _release(pool, expired, idle_ms=1e-9)
    assert _acquire(pool) is None
    assert not expired.is_open


def test_failure_closes_all_connections_to_the_engine() -> None:
    """Guards against repeated failures after an engine breaks an idle
    connection. The others to that engine are as old, and the next requests on
    them would fail in turn.
    """
    pool = ConnectionPool(lambda: 1)
    both = (_FakeConnection(), _FakeConnection())
    _release(pool, *both)
    curio.run(pool.async_close_engine, 'e1')
    assert not any(each.is_open for each in both)
    assert _acquire(pool) is None


def test_idle_limit_is_shared_by_all_instances() -> None:
    """Guards against idle connections of a hundred instances that use up the
    few hundred connections an engine accepts, so that new ones are reset.
    """
    pool = ConnectionPool(lambda: MAX_IDLE_AT_ENGINE // 2)
    _release(pool, *(_FakeConnection() for _ in range(5)))
    assert len(pool) == 2
    empty = ConnectionPool(lambda: MAX_IDLE_AT_ENGINE + 1)
    _release(empty, _FakeConnection())
    assert not len(empty)


@pytest.mark.parametrize(
    ('text', 'expected_s'),
    [
        ('timeout=5', 4),
        ('max=9, timeout=5', 4),
        ('timeout=²', 0),
        ('timeout=-5', 0),
        ('timeout=nan', 0),
        ('timeout=', 0),
        ('', 0),
    ],
)
def test_keep_alive_time_is_a_share_of_what_is_announced(
    text: str, expected_s: int
) -> None:
    """Guards against callers that lose a response whose head is odd."""
    assert keep_alive_ms({'keep-alive': text}) == expected_s * 1000


@pytest.mark.parametrize('digits', [19, 400, 5000])
def test_keep_alive_time_has_a_bound(digits: int) -> None:
    """Guards against numbers that Python doesn't convert."""
    announced = {'keep-alive': f'timeout={"9" * digits}'}
    assert 0 < keep_alive_ms(announced) < 10**12
