"""Tests of pooled connections to engines."""

import pytest

from hornbeamdeck.connection.connection_pool import keep_alive_ms
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform
from tests.platform.standins import EngineStandin

EXTRA_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate'


def _single_booking_engine(fleet: PlatformFleet) -> EngineStandin:
    """Return the booking engine that runs all requests.

    It keeps connections open. The other booking engine rejects its requests.
    """
    fleet.booking_engines[1].faults = ['not_run'] * 99
    fleet.booking_engines[0].keep_alive_s = 10
    return fleet.booking_engines[0]


@on_platform()
async def test_idempotent_requests_share_a_connection(
    fleet: PlatformFleet,
) -> None:
    engine = _single_booking_engine(fleet)
    for _ in range(5):
        got = await fleet.async_call('/seats/x')
        assert got.body == b'by counter-1'
    assert len(engine.executed) == 5
    assert engine.connections == 1


@on_platform()
async def test_resumable_streams_share_a_connection(
    fleet: PlatformFleet,
) -> None:
    for engine in fleet.model_engines:
        engine.keep_alive_s = 10
    for _ in range(6):
        got = await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
        assert got.status == 200
    assert sum(engine.connections for engine in fleet.model_engines) <= 2


@on_platform()
async def test_non_idempotent_request_uses_new_connection(
    fleet: PlatformFleet,
) -> None:
    """Guards against payments with an unknown outcome.

    An idle connection may break at the moment at which a payment is written
    to it. It would be unknown whether the payment was made, so it could not be
    retried. On a new connection this can't happen.
    """
    engine = _single_booking_engine(fleet)
    await fleet.async_call('/seats/x')
    for _ in range(3):
        got = await fleet.async_call('/seats/pay/x')
        assert got.status == 200
    assert engine.connections == 4


@on_platform()
async def test_connection_closed_by_engine_is_not_reused(
    fleet: PlatformFleet,
) -> None:
    """Guards against requests on a connection that the engine has closed.

    Engines close idle connections. A lookup written to such a connection
    would be lost, and its caller would wait for the second engine.
    """
    engine = _single_booking_engine(fleet)
    await fleet.async_call('/seats/x')
    await engine.async_close_connections()
    await fleet.async_until(lambda: True)
    got = await fleet.async_call('/seats/x')
    assert got.body == b'by counter-1'
    assert engine.connections == 2
    assert len(engine.executed) == 2


@on_platform()
async def test_connection_with_extra_bytes_is_not_reused(
    fleet: PlatformFleet,
) -> None:
    """Guards against returning the response to another request.

    An engine sends a second response after a complete one. On a reused
    connection it would be taken for the response to the next request.
    """
    engine = _single_booking_engine(fleet)
    engine.extra_bytes = EXTRA_RESPONSE
    await fleet.async_call('/seats/x')
    engine.extra_bytes = b''
    got = await fleet.async_call('/seats/x')
    assert got.body == b'by counter-1'
    assert engine.connections == 2


@on_platform()
async def test_connection_without_keep_alive_is_not_pooled(
    fleet: PlatformFleet,
) -> None:
    engine = _single_booking_engine(fleet)
    engine.keep_alive_s = 0
    for _ in range(3):
        await fleet.async_call('/seats/x')
    assert engine.connections == 3


@pytest.mark.parametrize(
    ('header', 'idle_ms'),
    [
        ('timeout=10', 8000),
        ('max=5, timeout=5', 4000),
        ('max=5', 0),
        ('timeout=soon', 0),
    ],
)
def test_idle_time_is_shorter_than_announced(
    header: str,
    idle_ms: float,
) -> None:
    assert keep_alive_ms({'keep-alive': header}) == idle_ms
    assert not keep_alive_ms({})
