"""The serving side of one HTTP connection."""

import struct
from typing import Final

import h11
from curio import socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.errors import ConnectionBroken, ReadError
from hornbeamdeck.connection.http import (
    Headers,
    HttpRequest,
    HttpResponse,
    header_pairs,
)
from hornbeamdeck.connection.reader import ReadLimits, RequestReader

__all__ = ('ServerConnection',)

WRITE_TIMEOUT_MS: Final = 30_000
LINGER_MS: Final = 2000


class ServerConnection:
    """Reads requests from one connection and writes their responses."""

    def __init__(
        self,
        sock: socket.socket,
        limits: ReadLimits | None = None,
    ) -> None:
        """Take a connected socket."""
        chosen = limits or ReadLimits()
        self._sock = sock
        self._will_close = False
        self._is_head = False
        self._protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=chosen.max_header_bytes,
        )
        self._reader = RequestReader(sock, self._protocol, chosen)

    @property
    def may_reuse(self) -> bool:
        """Whether another request can come on this connection."""
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
        )

    @property
    def has_started(self) -> bool:
        """Whether a response has begun on this connection."""
        return self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    def close_after_response(self) -> None:
        """Tell the caller, with the next response, to connect elsewhere."""
        self._will_close = True

    def start_next(self) -> None:
        """Make ready for the next request."""
        self._protocol.start_next_cycle()

    async def async_read_request(self) -> Result[HttpRequest, ReadError]:
        """Read one whole request."""
        request = await self._reader.async_read()
        if isinstance(request, Ok):
            self._is_head = request.ok_value.method == 'HEAD'
        return request

    async def async_wait_closed(self) -> None:
        """Return once the caller has left."""
        await self._reader.async_wait_closed()

    async def async_respond(
        self,
        response: HttpResponse,
    ) -> Result[None, ConnectionBroken]:
        """Write a whole response."""
        length = {'content-length': str(len(response.body))}
        encoded = self._head(response.status, {**response.headers, **length})
        if response.body and not self._is_head:
            encoded += self._protocol.send(h11.Data(data=response.body)) or b''
        encoded += self._protocol.send(h11.EndOfMessage()) or b''
        return await self._async_write(encoded)

    async def async_start(
        self,
        status: int,
        headers: Headers,
    ) -> Result[None, ConnectionBroken]:
        """Write the head of a response whose body follows in pieces."""
        return await self._async_write(self._head(status, headers))

    async def async_send(self, piece: bytes) -> Result[None, ConnectionBroken]:
        """Write a piece of a body."""
        return await self._async_write(
            self._protocol.send(h11.Data(data=piece)) or b'',
        )

    async def async_end(self) -> Result[None, ConnectionBroken]:
        """End a body that is whole."""
        return await self._async_write(
            self._protocol.send(h11.EndOfMessage()) or b'',
        )

    def abort(self) -> None:
        """Have the connection reset when it is closed, so no part seems whole.

        To a caller of HTTP/1.0 a body ends where the connection is closed;
        only a reset tells it that this one is cut. The closing itself is left
        to the end of the connection's task: the task that watches for the
        caller still waits on the socket, and its number might be given to
        another connection meanwhile.
        """
        reset = struct.pack('ii', 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self._protocol.send_failed()

    async def async_linger(self) -> None:
        """Discard what still comes after a refusal, for a short while.

        To close with bytes unread resets the connection, and the caller loses
        the response that says what was wrong with its request.
        """
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            await async_within(LINGER_MS, self._reader.async_discard())
        except (OSError, TaskTimeout):
            return

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._will_close:
            headers = {**headers, 'connection': 'close'}
        event = h11.Response(status_code=status, headers=header_pairs(headers))
        return self._protocol.send(event) or b''

    async def _async_write(
        self,
        encoded: bytes,
    ) -> Result[None, ConnectionBroken]:
        try:
            await async_within(WRITE_TIMEOUT_MS, self._sock.sendall(encoded))
        except (OSError, TaskTimeout) as error:
            return Err(ConnectionBroken(repr(error)))
        return Ok(None)
