"""Responses that break while their request is sent, or after it."""

from itertools import product
from typing import NamedTuple

import pytest
from curio import sleep, socket
from result import Ok

from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)
from tests.platform.partitions import Cut, partition
from tests.platform.raw_engines import End, RawEngine, Reply
from tests.platform.standins import document

UPLOAD = b'x' * 1_000_000
UNREAD_BYTES = 700_000
READ_BYTES = 65_536
# More than the buffers of a connection take.
HELD_EVENTS = 120
ONCE = '/note/x'
REPEATED = '/guide/x'
TEXT = 'text/plain'
STREAM = 'text/event-stream'
EVENT = b'id: 1\ndata: word 1\n\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
FRAMINGS = ('', 'transfer-encoding: chunked\r\n', 'content-length: 99\r\n')
CHUNK = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)


class Received(NamedTuple):
    """What a caller has received.

    :param is_complete: whether its framing, or the end of its connection, shows
        a complete response.
    """

    status: int
    body: bytes
    is_complete: bool


async def _async_serve_raw(
    fleet: PlatformFleet, *replies: Reply
) -> list[RawEngine]:
    """Allow large requests, and serve them by engines with these replies."""
    allowed = document()
    allowed['limits']['max_body_bytes'] = 2 * len(UPLOAD)
    for route in allowed['routes']:
        route['target_latency_ms'] = 2000
    await fleet.store.async_put('config', 'main', allowed)
    await fleet.async_until(
        lambda: all(
            gateway.components.follower.configuration.limits.max_body_bytes
            > len(UPLOAD)
            for gateway in fleet.gateways
        )
    )
    engines = [RawEngine(f'desk-r{number}', *replies) for number in (1, 2)]
    await fleet.async_replace_model_engines(engines)
    return engines


def _part(kind: str, framing: str) -> bytes:
    """Make the head of a response and a part of its body."""
    head = f'HTTP/1.1 200 OK\r\nFIELDS\r\ncontent-type: {kind}\r\n{framing}'
    body = CHUNK if 'chunked' in framing else EVENT
    return head.encode() + b'\r\n' + body


async def _async_call(
    fleet: PlatformFleet,
    path: str,
    kind: str,
    version: str = '1.1',
    pause_s: float = 0.0,
    body: bytes = UPLOAD,
) -> Received:
    """Send a request with a long body on a connection of its own.

    :param pause_s: time before its response is read.
    """
    tokens = TOKEN_COUNTS if kind == STREAM else ''
    request = make_request(path, tokens=tokens)
    fields = {
        **request.headers,
        'content-length': str(len(body)),
        'connection': 'close',
    }
    lines = [f'{name}: {text}\r\n' for name, text in fields.items()]
    head = ''.join([f'POST {path} HTTP/{version}\r\n', *lines, '\r\n'])
    async with socket.socket() as sock:
        await sock.connect(fleet.address(0))
        await sock.sendall(head.encode() + body)
        await sleep(pause_s)
        return await _async_receive(sock)


async def _async_receive(sock: socket.socket) -> Received:
    received = b''
    is_reset = False
    try:
        while part := await sock.recv(READ_BYTES):
            received += part
    except ConnectionResetError:
        is_reset = True
    head, _, body = received.partition(b'\r\n\r\n')
    is_chunked = b'chunked' in head
    is_cut = is_chunked and not body.endswith(b'0\r\n\r\n')
    status = int(received[9:12] or b'0')
    return Received(status, body, not (is_reset or is_cut))


@pytest.mark.parametrize('version', ['1.1', '1.0'])
@pytest.mark.parametrize('via', ['direct', 'tunnel'])
@pytest.mark.parametrize('unread_bytes', [0, UNREAD_BYTES])
def test_reset_response_never_looks_complete(
    unread_bytes: int, via: str, version: str
) -> None:
    """Guards against a part of a body that passes for the whole."""

    @on_platform(count=2)
    async def _run(fleet: PlatformFleet) -> None:
        engines = await _async_serve_raw(fleet)
        cut_off = {0} if via == 'tunnel' else set()
        with partition(fleet, cut_off, Cut.RESET):
            for path, kind, framing, first in product(
                (ONCE, REPEATED), (TEXT, STREAM), FRAMINGS, (b'', INTERIM)
            ):
                for engine in engines:
                    engine.replies = [
                        Reply(
                            first + _part(kind, framing),
                            End.RESET,
                            unread_bytes,
                            unread_bytes // 2,
                        )
                    ]
                got = await _async_call(fleet, path, kind, version)
                # Only the events of a stream are passed on before its end.
                assert got.status == 502 or not got.is_complete
                assert kind == STREAM or got.status == 502

    _run()


@pytest.mark.parametrize('kind', [TEXT, STREAM])
@pytest.mark.parametrize('via', ['direct', 'tunnel'])
def test_connection_closed_before_the_request_is_read_ends_no_response(
    via: str, kind: str
) -> None:
    """Guards against a reset that follows the end of an unframed response."""

    @on_platform(count=2)
    async def _run(fleet: PlatformFleet) -> None:
        engines = await _async_serve_raw(fleet)
        cut_off = {0} if via == 'tunnel' else set()
        # It fits into the buffers of connections, so that no write fails.
        body = UPLOAD[:READ_BYTES]
        with partition(fleet, cut_off, Cut.RESET):
            for end, unread_bytes in (
                (End.CLOSED_EARLY, len(body) // 2),
                # A relay does not pass on what is read after the response.
                (End.CLOSED, 0 if cut_off else len(body) // 2),
            ):
                for engine in engines:
                    engine.replies = [Reply(_part(kind, ''), end, unread_bytes)]
                got = await _async_call(fleet, ONCE, kind, body=body)
                is_whole = got.status == 200 and got.is_complete
                assert is_whole == (end is End.CLOSED)

    _run()


@pytest.mark.parametrize('end', [End.CLOSED, End.RESET])
@pytest.mark.parametrize('via', ['direct', 'tunnel'])
def test_cut_head_is_no_response(via: str, end: End) -> None:
    """Guards against a part of a head that passes as an empty response."""

    @on_platform(count=2)
    async def _run(fleet: PlatformFleet) -> None:
        engines = await _async_serve_raw(fleet)
        cut_off = {0} if via == 'tunnel' else set()
        head = _part(TEXT, '').partition(b'\r\n\r\n')[0]
        with partition(fleet, cut_off, Cut.RESET):
            for cut, first in product((0, 15, 17, 90), (b'', INTERIM)):
                for engine in engines:
                    engine.replies = [Reply(first + head[:cut], end)]
                got = await _async_call(fleet, ONCE, TEXT)
                assert got.status == 502

    _run()


@on_platform()
async def test_next_request_gets_its_own_response(
    fleet: PlatformFleet,
) -> None:
    """Guards against the rest of a broken response that the next one gets."""
    whole = Reply(
        b'HTTP/1.1 200 OK\r\nFIELDS\r\nkeep-alive: timeout=10\r\n'
        b'content-length: 4\r\n\r\nmine',
        End.KEPT,
    )
    engines = await _async_serve_raw(fleet)
    caller = await fleet.async_open()
    for framing in FRAMINGS:
        for reply, status in (
            (whole, 200),
            (Reply(_part(TEXT, framing), End.RESET, READ_BYTES), 502),
            (whole, 200),
        ):
            for engine in engines:
                engine.replies = [reply]
            request = make_request(REPEATED)._replace(body=UPLOAD)
            got = await caller.async_fetch(request)
            assert isinstance(got, Ok)
            assert got.ok_value.status == status
            assert status == 502 or got.ok_value.body == b'mine'


@pytest.mark.parametrize('framing', FRAMINGS)
def test_error_that_is_kept_is_sent_when_the_next_engine_breaks(
    framing: str,
) -> None:
    """Guards against the head of one engine above the body of another."""
    error = Reply(
        b'HTTP/1.1 500 Broken\r\nFIELDS\r\ncontent-length: 5\r\n\r\nerror'
    )
    broken = Reply(_part(TEXT, framing), End.RESET, UNREAD_BYTES)

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        engines = await _async_serve_raw(fleet)
        replies = [error, broken]
        for engine in engines:
            engine.replies = replies
        got = await _async_call(fleet, REPEATED, TEXT)
        assert sum(engine.requests for engine in engines) == 2
        assert (got.status, got.body) == (500, b'error')

    _run()


@pytest.mark.parametrize('version', ['1.1', '1.0'])
def test_held_response_that_breaks_is_not_complete(version: str) -> None:
    """Guards against what is held for a slow caller passing for the whole."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        events = b''.join(
            b'id: %d\ndata: %b\n\n' % (number, b'w' * READ_BYTES)
            for number in range(1, HELD_EVENTS + 1)
        )
        head = _part(STREAM, FRAMINGS[1]).removesuffix(CHUNK)
        chunk = b'%x\r\n%b\r\n' % (len(events), events)
        await _async_serve_raw(fleet, Reply(head + chunk))
        for pause_s in (0.0, 0.5):
            got = await _async_call(fleet, ONCE, STREAM, version, pause_s)
            assert got.status == 200
            assert not got.is_complete

    _run()
