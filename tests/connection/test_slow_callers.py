"""Callers that send slowly, or nothing."""

from curio import socket, spawn

from hornbeamdeck.connection.errors import BadRequest, PeerClosed
from hornbeamdeck.connection.reader import ReadLimits
from hornbeamdeck.connection.server import ServerConnection
from tests.support import curio_test

LIMITS = ReadLimits(idle_ms=50, request_ms=50)
HEAD = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n'


async def _async_read(sent: bytes) -> object:
    near, far = socket.socketpair()
    async with near, far:
        await far.sendall(sent)
        connection = ServerConnection(near, LIMITS)
        return (await connection.async_read_request()).unwrap_err()


@curio_test
async def test_body_that_never_ends_is_given_up() -> None:
    """A caller opens a thousand connections and sends a byte on each now and
    then. Without a limit each would hold a task and its memory for ever.
    """
    error = await _async_read(HEAD + b'ab')
    assert isinstance(error, BadRequest)
    assert error.status == 408


@curio_test
async def test_silent_connection_is_closed() -> None:
    assert await _async_read(b'') == PeerClosed()


@curio_test
async def test_whole_request_is_read_in_time() -> None:
    near, far = socket.socketpair()
    async with near, far:
        reading = await spawn(
            ServerConnection(near, LIMITS).async_read_request,
        )
        await far.sendall(HEAD)
        await far.sendall(b'abcde')
        request = (await reading.join()).unwrap()
    assert request.body == b'abcde'
