"""Connections that a process opens when it may open no more sockets."""

from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.end_check import async_has_ended
from tests.connection.missing_sockets import missing_sockets
from tests.platform.standins import EngineStandin
from tests.support import curio_test

TIMEOUT_MS = 200


@curio_test
async def test_connect_waits_for_a_socket() -> None:
    """Guards against an owner or store given up for a moment without one."""
    engine = EngineStandin('desk-1')
    await engine.async_start()
    with missing_sockets(3):
        connected = await async_connect(engine.address, timeout_ms=TIMEOUT_MS)
    await connected.unwrap().close()


@curio_test
async def test_connect_without_a_socket_is_told_from_a_refusal() -> None:
    """Guards against tasks that end with the error of the operating system."""
    with missing_sockets():
        connected = await async_connect(
            Address('127.0.0.1', 1), timeout_ms=TIMEOUT_MS
        )
    assert connected.unwrap_err().is_local


@curio_test
async def test_engine_has_not_ended_if_no_socket_is_left() -> None:
    """Guards against a crash counted for an engine that was not reached."""
    engine = EngineStandin('desk-1')
    await engine.async_start()
    with missing_sockets():
        assert not await async_has_ended(str(engine.address))
