"""Tests of the limits on responses, each on a pair of sockets."""

import pytest
from curio import TaskGroup, sleep, socket
from result import Err, Ok

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.response_limits import ResponseLimits
from tests.support import curio_test

REQUEST = HttpRequest('GET', '/', '', {}, b'')
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
LIMITS = ResponseLimits(
    max_head_bytes=1000,
    max_body_bytes=1000,
    max_framing_bytes=200,
    max_event_bytes=300,
    max_unfinished_bytes=300,
    max_interim_responses=3,
    head_ms=100,
    silence_ms=300,
)


def _chunks(part: bytes, count: int) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part) * count


def _open(
    limits: ResponseLimits = LIMITS,
) -> tuple[ClientConnection, socket.socket]:
    own, server = socket.socketpair()
    address = Address('127.0.0.1', 80)
    return ClientConnection(own, address, limits), server


async def _async_fetch(sent: bytes) -> tuple[ClientConnection, object]:
    connection, server = _open()
    (await connection.async_send(REQUEST)).unwrap()
    await server.sendall(sent)
    head = await connection.async_read_head()
    if isinstance(head, Err):
        return connection, head.err_value.limit
    body = await connection.async_read_body()
    if isinstance(body, Err):
        return connection, body.err_value.limit
    return connection, body.ok_value


@pytest.mark.parametrize(
    ('sent', 'limit'),
    [
        (HEAD + b'x: ' + b'y' * 1000, 'head'),
        (HEAD + b'x: ' + b'y' * 1000 + b'\r\n\r\n', 'head'),
        (INTERIM * 4, 'interim'),
        (INTERIM * 3 + HEAD, 'head_time'),
        (HEAD + b'content-length: 1001\r\n\r\n', 'body'),
        (CHUNKED + _chunks(b'z' * 101, 10), 'body'),
        (CHUNKED + _chunks(b'z', 60), 'framing'),
        (CHUNKED + b'1;' + b'e' * 300 + b'\r\nz\r\n', 'framing'),
        (HEAD, 'head_time'),
    ],
)
def test_response_beyond_a_limit_ends_with_its_name(
    sent: bytes, limit: str
) -> None:
    """Guards against responses that are read until the deadline."""

    @curio_test
    async def _run() -> None:
        connection, ended_by = await _async_fetch(sent)
        assert ended_by == limit
        assert not connection.is_reusable

    _run()


@pytest.mark.parametrize(
    ('sent', 'body'),
    [
        (HEAD + b'content-length: 1000\r\n\r\n' + b'z' * 1000, b'z' * 1000),
        (CHUNKED + _chunks(b'z' * 100, 10) + b'0\r\n\r\n', b'z' * 1000),
        (CHUNKED + _chunks(b'z', 20) + b'0\r\nx: y\r\n\r\n', b'z' * 20),
        (INTERIM * 3 + HEAD + b'content-length: 1\r\n\r\nz', b'z'),
        (b'HTTP/1.1 204 No Content\r\n\r\n', b''),
    ],
)
def test_response_within_the_limits_is_read_whole(
    sent: bytes, body: bytes
) -> None:
    """Guards against sound responses that are cut, and lost connections."""

    @curio_test
    async def _run() -> None:
        connection, read = await _async_fetch(sent)
        assert read == body
        assert connection.is_reusable
        connection, read = await _async_fetch(sent + b'more')
        assert read == body
        assert not connection.is_reusable

    _run()


@pytest.mark.parametrize(
    'sent',
    [
        CHUNKED + b'z\r\n',
        CHUNKED + b'1\r\nzz\r\n',
        CHUNKED + b'-1\r\nz\r\n',
        CHUNKED + b'0' * 5000,
        CHUNKED + b'0\r\n' + b'x: ' + b'y' * 5000,
        b'\r\n\r\n' + HEAD,
        b'not HTTP\r\n\r\n',
    ],
)
def test_malformed_response_is_broken(sent: bytes) -> None:
    """Guards against noise that is taken for a response, or waited for."""

    @curio_test
    async def _run() -> None:
        connection, ended_by = await _async_fetch(sent)
        assert ended_by == ''
        assert not connection.is_reusable

    _run()


@curio_test
async def test_several_responses_are_read_on_one_connection() -> None:
    """Guards against bytes or limits that one response leaves to the next."""
    connection, server = _open()
    for _ in range(3):
        (await connection.async_send(REQUEST)).unwrap()
        await server.sendall(CHUNKED + _chunks(b'z', 30) + b'0\r\n\r\n')
        (await connection.async_read_head()).unwrap()
        assert await connection.async_read_body() == Ok(b'z' * 30)
        assert connection.is_reusable


@pytest.mark.parametrize(
    'parts',
    [
        (HEAD + b'content-length: 2\r\n\r\n', b'z', b'z'),
        (CHUNKED, b'2\r', b'\nzz', b'\r\n0\r\n', b'\r\n'),
        (HEAD, b'content-length: 2\r\n\r', b'\nzz'),
    ],
)
def test_response_in_several_packets_is_read_whole(
    parts: tuple[bytes, ...],
) -> None:
    """Guards against a head that comes alone and is taken for the end."""

    @curio_test
    async def _run() -> None:
        connection, server = _open()
        async with TaskGroup() as tasks:
            reading = await tasks.spawn(connection.async_fetch, REQUEST)
            for part in parts:
                await sleep(0.01)
                await server.sendall(part)
        assert reading.result.unwrap().body == b'zz'
        assert connection.is_reusable

    _run()


async def _async_read_stream(
    connection: ClientConnection,
) -> ConnectionBroken | bytes:
    (await connection.async_read_head()).unwrap()
    received = b''
    while True:
        chunk = await connection.async_read_chunk()
        if isinstance(chunk, Err):
            return chunk.err_value
        if not chunk.ok_value:
            return received
        received += chunk.ok_value


@pytest.mark.parametrize(
    ('sent', 'limit'),
    [
        (
            _chunks(b'data: x\n\n', 9) + _chunks(b'x' * 50, 7),
            'unfinished_event',
        ),
        (_chunks(b'x' * 299 + b'\n\n', 1), 'event'),
        (_chunks(b'data: x\n\n', 9) + _chunks(b'x', 40), 'framing'),
        (_chunks(b'\n\n', 60), 'framing'),
    ],
)
def test_stream_beyond_a_limit_ends_with_its_name(
    sent: bytes, limit: str
) -> None:
    """Guards against streams that end no event and are read on."""

    @curio_test
    async def _run() -> None:
        connection, server = _open()
        (await connection.async_send(REQUEST)).unwrap()
        await server.sendall(CHUNKED + sent)
        ended = await _async_read_stream(connection)
        assert isinstance(ended, ConnectionBroken)
        assert ended.limit == limit
        assert not ended.is_timeout

    _run()


async def _async_send_slowly(
    server: socket.socket, part: bytes, count: int
) -> None:
    await server.sendall(CHUNKED)
    for _ in range(count):
        await sleep(0.1)
        await server.sendall(_chunks(part, 1))
    await server.sendall(b'0\r\n\r\n')


@curio_test
async def test_time_counts_from_the_last_event() -> None:
    """Guards against slow streams that are cut, and bytes that hold a call.

    Each stream takes longer than the limit, and only one makes progress.
    """
    for part, limit in ((b'data: x\n\n', None), (b': x', 'progress')):
        connection, server = _open()
        (await connection.async_send(REQUEST)).unwrap()
        async with TaskGroup(wait=any) as tasks:
            reading = await tasks.spawn(_async_read_stream, connection)
            sending = await tasks.spawn(_async_send_slowly, server, part, 8)
            ended = await reading.join()
            await sending.cancel()
        assert getattr(ended, 'limit', None) == limit


@curio_test
async def test_silence_is_told_from_bytes_without_progress() -> None:
    """Guards against silent engines that count as broken ones."""
    connection, _server = _open()
    (await connection.async_send(REQUEST)).unwrap()
    head = await connection.async_read_head()
    assert head.unwrap_err().is_timeout
    assert not head.unwrap_err().limit


@curio_test
async def test_time_in_which_nothing_is_read_does_not_count() -> None:
    """Guards against engines that are blamed for a slow caller."""
    connection, server = _open()
    (await connection.async_send(REQUEST)).unwrap()
    await server.sendall(CHUNKED + _chunks(b'data: x\n\n', 1))
    (await connection.async_read_head()).unwrap()
    (await connection.async_read_chunk()).unwrap()
    await sleep(0.5)
    await server.sendall(_chunks(b'data: y\n\n', 1))
    assert await connection.async_read_chunk() == Ok(b'data: y\n\n')


@curio_test
async def test_unsent_request_is_told_from_a_partly_sent_one() -> None:
    """Guards against a request that may have run and is called not run."""
    body = b'x' * 10_000_000
    connection, _server = _open()
    sent = await connection.async_send(REQUEST._replace(body=body), limit_ms=50)
    assert sent.unwrap_err().limit == 'sending'
    assert not sent.unwrap_err().is_unsent
    connection, server = _open()
    await server.close()
    sent = await connection.async_send(REQUEST, limit_ms=50)
    assert sent.unwrap_err().is_unsent
