"""What engines send without end, and how they read requests."""

from collections.abc import Mapping
from typing import Any, NamedTuple, cast

from curio import sleep, socket

from hornbeamdeck.connection.http import Headers, HttpRequest
from hornbeamdeck.connection.server import ServerConnection


class Endless(NamedTuple):
    """Bytes that an engine sends until its connection is closed.

    :param block: repeated without end.
    :param first: sent before.
    :param has_head: whether a valid head comes before all.
    :param gap_s: wait after each block.
    """

    block: bytes
    first: bytes = b''
    has_head: bool = False
    gap_s: float = 0.0


def _repeat(part: bytes) -> bytes:
    return part * (65_536 // len(part))


def _chunk(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)


ENDLESS: Mapping[str, Endless] = {
    'endless_head': Endless(
        _repeat(b'x: ' + b'y' * 61 + b'\r\n'), b'HTTP/1.1 200 OK\r\n'
    ),
    'endless_field': Endless(b'y' * 65_536, b'HTTP/1.1 200 OK\r\nx: '),
    'noise': Endless(bytes(range(256)) * 256),
    'slow_head': Endless(b'x: y\r\n', b'HTTP/1.1 200 OK\r\n', gap_s=0.01),
    'endless_interim': Endless(
        _repeat(b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n')
    ),
    'slow_interim': Endless(b'HTTP/1.1 103 Hints\r\n\r\n', gap_s=0.05),
    'endless_chunks': Endless(_chunk(b'z' * 16_384) * 4, has_head=True),
    'paced_chunks': Endless(
        _chunk(b'z' * 16_384) * 4, has_head=True, gap_s=0.005
    ),
    'endless_lines': Endless(_repeat(_chunk(b'short\n')), has_head=True),
    'endless_bytes': Endless(_repeat(_chunk(b'z')), has_head=True),
    'endless_extension': Endless(
        _repeat(b'1;%b\r\nz\r\n' % (b'e' * 2000)), has_head=True
    ),
    'endless_size': Endless(b'0' * 65_536, has_head=True),
    'endless_event': Endless(
        _repeat(_chunk(b'data: more\n')),
        _chunk(b'id: 1\ndata: word 1\n\n'),
        has_head=True,
    ),
    # Little less than the largest body, or event, and then nothing.
    'stalled_body': Endless(
        b'', _chunk(b'z' * 4_000_000), has_head=True, gap_s=1
    ),
    'stalled_event': Endless(
        b'', _chunk(b'data: %b' % (b'z' * 1_000_000)), has_head=True, gap_s=1
    ),
    'blank_lines': Endless(_repeat(_chunk(b'\n\n')), has_head=True),
}


INTERIM = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'


async def async_send_raw(
    caller: ServerConnection,
    fault: str,
    headers: Headers,
    request: HttpRequest,
) -> None:
    """Send what a fault puts in place of a response, or before it.

    :param headers: of a valid response, without type and framing.
    """
    sock = caller._sock  # noqa: SLF001
    if fault == 'interim':
        await sock.sendall(INTERIM * 4)
    if fault in ENDLESS:
        await _async_send_endlessly(sock, fault, headers, request)


async def _async_send_endlessly(
    sock: socket.socket, fault: str, headers: Headers, request: HttpRequest
) -> None:
    sent = ENDLESS[fault]
    kind = 'text/plain'
    if 'hornbeamdeck-token-counts' in request.headers:
        kind = 'text/event-stream'
    fields = {
        **headers,
        'content-type': kind,
        'transfer-encoding': 'chunked',
    }
    lines = [f'{name}: {text}\r\n' for name, text in fields.items()]
    head = ''.join(['HTTP/1.1 200 OK\r\n', *lines, '\r\n'])
    if sent.has_head:
        await sock.sendall(head.encode())
    await sock.sendall(sent.first)
    while True:
        await sock.sendall(sent.block)
        await sleep(sent.gap_s)


class Reading:
    """How an engine reads requests.

    `is_on` is not set: not at all. Otherwise `gap_s` is the wait before each
    `most_bytes`.
    """

    def __init__(self) -> None:
        self.is_on = True
        self.gap_s = 0.0
        self.most_bytes = 65_536


class PacedReader:
    """Reads requests as `reading` tells."""

    def __init__(self) -> None:
        self.reading = Reading()

    async def async_pace(self, sock: socket.socket) -> socket.socket:
        """Return a socket that is read as set, or wait without end."""
        if not self.reading.is_on:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await sleep(3600)
        return cast(socket.socket, _PacedSocket(sock, self.reading))


class _PacedSocket:
    """A socket that is read no faster than an engine is set to."""

    def __init__(self, sock: socket.socket, reading: Reading) -> None:
        self._sock = sock
        self._reading = reading

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    async def recv(self, max_bytes: int) -> bytes:
        """Receive bytes after a wait."""
        if self._reading.gap_s:
            await sleep(self._reading.gap_s)
            max_bytes = min(max_bytes, self._reading.most_bytes)
        return bytes(await self._sock.recv(max_bytes))
