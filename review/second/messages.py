"""HTTP/1.1 messages of the stand-ins and clients, as far as they need them."""

import asyncio
from typing import NamedTuple

__all__ = ('LOOPBACK', 'Message', 'async_call', 'async_read', 'encode')

LOOPBACK = '127.0.0.1'
CHARSET = 'latin-1'
BLANK_LINE = b'\r\n\r\n'
HEX_BASE = 16


class Message(NamedTuple):
    """A request or a response; `start` is its first line."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(' ')[1])


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a message with the length of its body."""
    fields = {**headers, 'content-length': str(len(body))}
    lines = [start, *(f'{name}: {text}' for name, text in fields.items())]
    return '\r\n'.join(lines).encode(CHARSET) + BLANK_LINE + body


async def async_read(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or comes in chunks."""
    head = await reader.readuntil(BLANK_LINE)
    start, *lines = head.decode(CHARSET).strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    if 'transfer-encoding' in headers:
        return Message(start, headers, await _async_read_chunks(reader))
    length = int(headers.get('content-length', '0'))
    return Message(start, headers, await reader.readexactly(length))


async def async_call(
    port: int,
    start: str,
    headers: dict[str, str],
    *,
    patience_s: float,
) -> Message | None:
    """Make one call on a new connection; leave after some time.

    :returns: the response; `None`: there was none in that time, or no whole
        one.
    """
    try:
        return await asyncio.wait_for(
            _async_exchange(port, encode(start, headers)), patience_s
        )
    except (OSError, EOFError):
        return None


async def _async_exchange(port: int, request: bytes) -> Message:
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        writer.write(request)
        return await async_read(reader)
    finally:
        writer.transport.abort()


async def _async_read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int(await reader.readline(), base=HEX_BASE)
        chunk = await reader.readexactly(size + len(b'\r\n'))
        if not size:
            return body
        body += chunk[:size]
