"""Engines that send bytes as a test gives them, valid or not."""

import enum
import struct
from typing import NamedTuple

from curio import sleep, socket

from hornbeamdeck.connection.listener import async_setup_listener
from tests.platform.standins import (
    ANY_LOCAL_PORT,
    REPORT_PATH,
    REQUEST_ID_HEADER,
    EngineStandin,
)

HEAD_END = b'\r\n\r\n'
READ_BYTES = 65_536
REPORT = b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{"born":1}'
LINE_END = '\r\n'


class End(enum.Enum):
    """How an engine ends its connection."""

    KEPT = enum.auto()
    CLOSED = enum.auto()
    RESET = enum.auto()
    GONE = enum.auto()


class Reply(NamedTuple):
    """What an engine sends to a request.

    :param encoded: the line `FIELDS` stands for the fields that a response
        must have to be valid.
    :param unread_bytes: how much of the request is read only when this has been
        sent, or not at all if the connection is reset.
    :param read_bytes: how much of that is read before a reset.
    """

    encoded: bytes
    end: End = End.CLOSED
    unread_bytes: int = 0
    read_bytes: int = 0


class RawEngine(EngineStandin):
    """An engine that answers its requests with these replies, in turn.

    `requests` counts what has reached it.
    """

    def __init__(self, name: str, *replies: Reply) -> None:
        super().__init__(name)
        self.replies = list(replies)
        self.requests = 0

    async def async_start(self) -> None:
        """Start to serve requests."""
        self._listener = await async_setup_listener(
            ANY_LOCAL_PORT, self._async_serve_raw
        )
        self.address = self._listener.address

    async def _async_serve_raw(self, sock: socket.socket) -> None:
        self._sockets.append(sock)
        received = b''
        while True:
            while HEAD_END not in received:
                part = await sock.recv(READ_BYTES)
                if not part:
                    return
                received += part
            head, _, body = received.partition(HEAD_END)
            fields = _fields_of(head)
            if REPORT_PATH.encode() in head.split(b'\r\n', 1)[0]:
                await sock.sendall(REPORT)
                return
            self.requests += 1
            reply = self.replies[min(self.requests, len(self.replies)) - 1]
            left = int(fields.get('content-length', '0')) - len(body)
            await _async_skip(sock, left - reply.unread_bytes)
            await sock.sendall(_complete(reply.encoded, fields))
            await _async_skip(sock, reply.read_bytes)
            if reply.end is not End.KEPT:
                await self._async_end(sock, reply.end)
                return
            received = b''

    async def _async_end(self, sock: socket.socket, end: End) -> None:
        if end is End.GONE:
            await self._listener.async_stop_accepting()
        if end is End.RESET:
            reset_when_closed(sock)
            return
        await sock.shutdown(socket.SHUT_WR)
        while await sock.recv(READ_BYTES):
            await sleep(0)


def reset_when_closed(sock: socket.socket) -> None:
    """Let a socket reset its connection as soon as it is closed."""
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _fields_of(head: bytes) -> dict[str, str]:
    lines = head.decode().split(LINE_END)[1:]
    pairs = (line.partition(':') for line in lines)
    return {name.lower(): text.strip() for name, _, text in pairs}


def _complete(encoded: bytes, fields: dict[str, str]) -> bytes:
    valid = (
        f'{REQUEST_ID_HEADER}: {fields.get(REQUEST_ID_HEADER, "")}\r\n'
        'hornbeamdeck-response-seal: seal\r\n'
    )
    return encoded.replace(b'FIELDS\r\n', valid.encode())


async def _async_skip(sock: socket.socket, left: int) -> None:
    while left > 0:
        received = await sock.recv(min(READ_BYTES, left))
        if not received:
            return
        left -= len(received)
