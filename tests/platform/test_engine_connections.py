"""Connections to engines that are kept open between requests."""

import pytest

from hornbeamdeck.connection.kept import kept_for_ms
from tests.platform.fleet import TOKENS, PlatformFleet, on_platform
from tests.platform.standins import EngineStandin

LATE_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate'


def _one_counter(fleet: PlatformFleet) -> EngineStandin:
    """Leave one counter that keeps connections; the other has no place."""
    fleet.counters[1].faults = ['not_run'] * 99
    fleet.counters[0].keep_alive_s = 10
    return fleet.counters[0]


@on_platform()
async def test_what_may_repeat_shares_a_connection(
    fleet: PlatformFleet,
) -> None:
    counter = _one_counter(fleet)
    for _ in range(5):
        got = await fleet.async_call('/seats/x')
        assert got.body == b'by counter-1'
    assert len(counter.ran) == 5
    assert counter.connections == 1


@on_platform()
async def test_streams_that_may_go_on_elsewhere_share_one_too(
    fleet: PlatformFleet,
) -> None:
    for desk in fleet.desks:
        desk.keep_alive_s = 10
    for _ in range(6):
        got = await fleet.async_call('/guide/x', tokens=TOKENS)
        assert got.status == 200
    assert sum(desk.connections for desk in fleet.desks) <= 2


@on_platform()
async def test_a_payment_has_a_connection_of_its_own(
    fleet: PlatformFleet,
) -> None:
    """A kept connection dies in the moment in which a payment is written to
    it. Nobody could tell whether the payment was made, and it could not be
    sent again; on a new connection that can't happen.
    """
    counter = _one_counter(fleet)
    await fleet.async_call('/seats/x')
    for _ in range(3):
        got = await fleet.async_call('/seats/pay/x')
        assert got.status == 200
    assert counter.connections == 4


@on_platform()
async def test_a_connection_that_the_engine_closed_is_not_used(
    fleet: PlatformFleet,
) -> None:
    """An engine closes what is idle. A lookup written to such a connection
    would be lost, and its caller would wait for the second engine.
    """
    counter = _one_counter(fleet)
    await fleet.async_call('/seats/x')
    await counter.async_hang_up()
    await fleet.async_until(lambda: True)
    got = await fleet.async_call('/seats/x')
    assert got.body == b'by counter-1'
    assert counter.connections == 2
    assert len(counter.ran) == 2


@on_platform()
async def test_bytes_after_an_answer_belong_to_nobody(
    fleet: PlatformFleet,
) -> None:
    """An engine sends an extra answer after a whole one. Read on the same
    connection, it would be taken for the answer to the next request.
    """
    counter = _one_counter(fleet)
    counter.extra = LATE_ANSWER
    await fleet.async_call('/seats/x')
    counter.extra = b''
    got = await fleet.async_call('/seats/x')
    assert got.body == b'by counter-1'
    assert counter.connections == 2


@on_platform()
async def test_without_a_promise_nothing_is_kept(fleet: PlatformFleet) -> None:
    counter = _one_counter(fleet)
    counter.keep_alive_s = 0
    for _ in range(3):
        await fleet.async_call('/seats/x')
    assert counter.connections == 3


@pytest.mark.parametrize(
    ('announced', 'kept_ms'),
    [
        ('timeout=10', 8000),
        ('max=5, timeout=5', 4000),
        ('max=5', 0),
        ('timeout=soon', 0),
    ],
)
def test_a_connection_is_kept_for_less_than_is_announced(
    announced: str,
    kept_ms: float,
) -> None:
    assert kept_for_ms({'keep-alive': announced}) == kept_ms
    assert not kept_for_ms({})
