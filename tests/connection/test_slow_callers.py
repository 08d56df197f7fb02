"""Callers that send slowly or not at all."""

import itertools

from curio import sleep, socket, spawn

from hornbeamdeck.connection.errors import BadRequest, CallerClosed
from hornbeamdeck.connection.reader import ReadLimits
from hornbeamdeck.connection.server import ServerConnection
from tests.support import curio_test

LIMITS = ReadLimits(idle_ms=50, request_ms=50)
HEAD = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n'
CHUNKED_HEAD = (
    b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
)
CHUNKS = 6400
TINY_CHUNKS = b'1\r\nx\r\n' * CHUNKS
# Others run at least once for so many chunks.
MIN_TURNS = CHUNKS // 100


async def _async_read(sent: bytes) -> object:
    server_sock, caller_sock = socket.socketpair()
    async with server_sock, caller_sock:
        await caller_sock.sendall(sent)
        connection = ServerConnection(server_sock, lambda: LIMITS)
        return (await connection.async_read_request()).unwrap_err()


@curio_test
async def test_incomplete_body_times_out() -> None:
    """Guards against a caller that opens a thousand connections and rarely
    sends a byte. Without a time limit each would hold a task and its memory
    without end.
    """
    error = await _async_read(HEAD + b'ab')
    assert isinstance(error, BadRequest)
    assert error.status == 408


@curio_test
async def test_idle_connection_times_out() -> None:
    assert await _async_read(b'') == CallerClosed()


@curio_test
async def test_complete_request_is_read() -> None:
    server_sock, caller_sock = socket.socketpair()
    async with server_sock, caller_sock:
        reading = await spawn(
            ServerConnection(server_sock, lambda: LIMITS).async_read_request,
        )
        await caller_sock.sendall(HEAD)
        await caller_sock.sendall(b'abcde')
        request = (await reading.join()).unwrap()
    assert request.body == b'abcde'


@curio_test
async def test_body_in_tiny_chunks_lets_other_tasks_run() -> None:
    """Guards against a caller whose chunks occupy the whole process."""
    server_sock, caller_sock = socket.socketpair()
    turns = itertools.count()

    async def _async_count_turns() -> None:
        while True:
            await sleep(0)
            next(turns)

    async with server_sock, caller_sock:
        await caller_sock.sendall(CHUNKED_HEAD)
        sending = await spawn(caller_sock.sendall, TINY_CHUNKS + b'0\r\n\r\n')
        counting = await spawn(_async_count_turns)
        connection = ServerConnection(server_sock)
        request = (await connection.async_read_request()).unwrap()
        await sending.join()
        await counting.cancel()
    assert len(request.body) == CHUNKS
    assert next(turns) > MIN_TURNS
