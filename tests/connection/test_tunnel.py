"""Tunnels to an engine through another instance."""

from collections.abc import Awaitable, Callable

import pytest
from curio import TaskGroup, run, sleep, socket

from hornbeamdeck.connection.tunnel import (
    CHUNK_LENGTH,
    END_OF_STREAM,
    SPLICE_BYTES,
    TunnelSocket,
    async_splice,
)
from hornbeamdeck.const import MEBIBYTE
from hornbeamdeck.memory.budget import MemoryBudget, Purpose
from tests.platform.raw_engines import reset_when_closed

LARGE = bytes(range(256)) * 8192


class _BrokenSocket:
    """A socket that breaks when it is read."""

    async def recv(self, _max_bytes: int) -> bytes:
        raise ConnectionResetError

    async def sendall(self, _sent: bytes) -> None:
        """Discard bytes."""


def _on_curio(
    scenario: Callable[[], Awaitable[None]],
) -> Callable[[], None]:
    def _run() -> None:
        run(scenario)

    _run.__doc__ = scenario.__doc__
    return _run


async def _async_read_all(tunnel: TunnelSocket) -> bytes:
    read = bytearray()
    while received := await tunnel.recv(1000):
        read += received
    return bytes(read)


@_on_curio
async def test_bytes_of_both_sides_arrive_unchanged() -> None:
    """Guards against requests and responses that a relay changes."""
    ingress, relay_in = socket.socketpair()
    relay_out, engine = socket.socketpair()
    tunnel = TunnelSocket(ingress)

    async def _async_echo() -> None:
        left = len(LARGE)
        while left:
            received = await engine.recv(5000)
            left -= len(received)
            await engine.sendall(received)
        await engine.close()

    async with TaskGroup() as tasks:
        await tasks.spawn(async_splice, relay_in, relay_out, b'')
        await tasks.spawn(_async_echo)
        await tasks.spawn(tunnel.sendall, LARGE)
        reading = await tasks.spawn(_async_read_all, tunnel)
    assert reading.result == LARGE


@_on_curio
async def test_relay_that_ends_is_no_end_of_the_response() -> None:
    """Guards against a cut response that its caller takes for a whole one."""
    ingress, relay = socket.socketpair()
    tunnel = TunnelSocket(ingress)
    await relay.sendall(CHUNK_LENGTH.pack(3) + b'abc')
    assert await tunnel.recv(9) == b'abc'
    await relay.close()
    with pytest.raises(ConnectionResetError):
        await tunnel.recv(9)


@_on_curio
async def test_engine_that_closes_ends_the_response() -> None:
    """Guards against whole responses without a length that count as cut."""
    ingress, relay = socket.socketpair()
    tunnel = TunnelSocket(ingress, CHUNK_LENGTH.pack(3) + b'a')
    await relay.sendall(b'bc' + END_OF_STREAM)
    assert await _async_read_all(tunnel) == b'abc'
    assert not await tunnel.recv(9)


@_on_curio
async def test_engine_that_resets_does_not_end_the_response() -> None:
    """Guards against a relay that hides how a connection has ended."""
    ingress, relay_in = socket.socketpair()
    async with relay_in:
        await async_splice(relay_in, _BrokenSocket(), b'')
    with pytest.raises(ConnectionResetError):
        await TunnelSocket(ingress).recv(9)


async def _async_connect_tcp() -> tuple[socket.socket, socket.socket]:
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(1)
    engine = socket.socket()
    async with listener:
        await engine.connect(listener.getsockname())
        accepted, _ = await listener.accept()
    return engine, accepted


@_on_curio
async def test_engine_that_resets_during_an_upload_ends_no_response() -> None:
    """Guards against a reset that only the sending of the request notices."""
    ingress, relay_in = socket.socketpair()
    relay_out, engine = await _async_connect_tcp()
    await engine.sendall(b'abc')
    reset_when_closed(engine)
    await engine.close()
    async with relay_in, relay_out:
        await async_splice(relay_in, relay_out, LARGE)
    with pytest.raises(ConnectionResetError):
        await _async_read_all(TunnelSocket(ingress))


@_on_curio
async def test_engine_that_resets_after_its_close_ends_no_response() -> None:
    """Guards against a reset that the close before it hides from reads."""
    ingress, relay_in = socket.socketpair()
    relay_out, engine = await _async_connect_tcp()
    await engine.sendall(b'abc')
    await engine.shutdown(socket.SHUT_WR)
    reset_when_closed(engine)
    await engine.close()
    async with relay_in, relay_out:
        await async_splice(relay_in, relay_out, b'')
    with pytest.raises(ConnectionResetError):
        await _async_read_all(TunnelSocket(ingress))


@_on_curio
async def test_bytes_of_an_unread_tunnel_are_counted() -> None:
    """Guards against tunnels that hold memory without a limit."""
    _ingress, relay_in = socket.socketpair()
    relay_out, engine = socket.socketpair()
    budget = MemoryBudget(MEBIBYTE)
    account = budget.open_account(Purpose.TUNNELS)
    async with TaskGroup() as tasks:
        splice = await tasks.spawn(
            async_splice, relay_in, relay_out, b'', account
        )
        sending = await tasks.spawn(engine.sendall, LARGE)
        while not budget.held_bytes(Purpose.TUNNELS):
            await sleep(0.01)
        assert budget.held_bytes(Purpose.TUNNELS) <= SPLICE_BYTES
        await splice.cancel()
        await sending.cancel()
    assert not budget.held_bytes(Purpose.TUNNELS)


@_on_curio
async def test_ingress_that_closes_ends_the_tunnel() -> None:
    """Guards against runs that go on at an engine without their caller."""
    ingress, relay_in = socket.socketpair()
    relay_out, engine = socket.socketpair()
    async with TaskGroup() as tasks:
        splice = await tasks.spawn(async_splice, relay_in, relay_out, b'x')
        assert await engine.recv(9) == b'x'
        await TunnelSocket(ingress).close()
        await splice.join()
    await relay_out.close()
    assert not await engine.recv(9)
