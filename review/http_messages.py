"""HTTP messages as the stand-ins read and write them."""

import asyncio
from collections.abc import Mapping
from typing import Final, NamedTuple

CHARSET: Final = 'latin-1'
HEAD_END: Final = b'\r\n\r\n'
LENGTH: Final = 'content-length'
OK: Final = 200


class Message(NamedTuple):
    """A request or a response that was read completely."""

    start_line: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start_line.split(' ')[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start_line.split(' ')[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start_line.split(' ')[0]


def encode(
    start_line: str, headers: Mapping[str, object], body: bytes = b''
) -> bytes:
    """Encode a message whose body has a length."""
    fields = {**headers, 'Content-Length': len(body)}
    lines = [f'{name}: {text}' for name, text in fields.items()]
    head = '\r\n'.join((start_line, *lines))
    return head.encode(CHARSET) + HEAD_END + body


async def async_read(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose body has a length; `None`: the peer has left."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, OSError):
        return None
    start_line, *lines = head.decode(CHARSET).strip().split('\r\n')
    fields = (line.partition(':') for line in lines)
    headers = {name.strip().lower(): text.strip() for name, _, text in fields}
    try:
        body = await reader.readexactly(int(headers.get(LENGTH, '0')))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(start_line, headers, body)


async def async_exchange(
    host: str, port: int, request: bytes, limit_s: float
) -> Message | None:
    """Make a call on a new connection; `None`: no whole response came."""
    try:
        return await asyncio.wait_for(
            _async_exchange(host, port, request), limit_s
        )
    except (TimeoutError, OSError):
        return None


async def _async_exchange(
    host: str, port: int, request: bytes
) -> Message | None:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(request)
        return await async_read(reader)
    finally:
        writer.close()
