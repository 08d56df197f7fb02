"""The server side of an HTTP connection."""

import struct
import sys
from typing import Final, Protocol

import h11
from curio import socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.byte_account import ByteAccount
from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.connection.errors import ConnectionBroken, ReadError
from hornbeamdeck.connection.http import (
    Headers,
    HttpRequest,
    HttpResponse,
    header_pairs,
)
from hornbeamdeck.connection.reader import (
    GetLimits,
    OnBegun,
    ReadLimits,
    RequestReader,
)

__all__ = (
    'Outlet',
    'ServerConnection',
    'async_reset_connection',
    'confirm_delivered',
)

WRITE_TIMEOUT_MS: Final = 30_000
LINGER_MS: Final = 2000
OLD_VERSION: Final = b'1.0'


class Outlet(Protocol):
    """Writes a response to the caller, at the caller's pace."""

    async def async_write(
        self, encoded: bytes, *, is_last: bool
    ) -> Result[None, ConnectionBroken]:
        """Accept bytes; return when more may be written.

        :param is_last: whether these bytes end the response.
        """


class ServerConnection:
    """Reads requests from one connection and writes the responses."""

    def __init__(
        self,
        sock: socket.socket,
        limits: GetLimits = ReadLimits,
        bodies: ByteAccount | None = None,
        connections: ConnectionLimit | None = None,
    ) -> None:
        """Use a connected socket.

        :param limits: on the caller's requests, called when one begins.
        :param bodies: counts the bytes of requests; `None`: nothing does.
        :param connections: of the listener; told while this one waits until
            its caller reads.
        """
        self.connections = connections or ConnectionLimit()
        self._sock = sock
        self._outlet: Outlet | None = None
        self._is_closing = False
        # Whether a part of a response was not written.
        self._is_broken = False
        self._is_head_request = False
        # The reader limits what is incomplete, as the limits may change.
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self._reader = RequestReader(
            sock,
            self._protocol,
            limits,
            bodies,
            self.connections.async_end_waiting,
        )

    @property
    def sock(self) -> socket.socket:
        """The connected socket, for an outlet."""
        return self._sock

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be read from this connection."""
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            and not self._is_broken
        )

    @property
    def has_response_started(self) -> bool:
        """Whether a response has begun on this connection."""
        return self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    @property
    def is_response_complete(self) -> bool:
        """Whether a response has been written to its end."""
        return self._protocol.our_state in {h11.DONE, h11.MUST_CLOSE}

    def write_through(self, outlet: Outlet | None) -> None:
        """Write through an outlet from now on; `None`: write to the socket."""
        self._outlet = outlet

    def close_after_response(self, *, is_input_ended: bool = False) -> None:
        """Send `connection: close` with the next response.

        The caller then opens a new connection, which may reach another
        instance.

        :param is_input_ended: whether the socket is shut down for reading.
        """
        self._is_closing = True
        if is_input_ended:
            self._reader.end_input()

    def start_next(self) -> None:
        """Prepare to read the next request."""
        self._protocol.start_next_cycle()

    async def async_read_request(
        self, on_begun: OnBegun | None = None
    ) -> Result[HttpRequest, ReadError]:
        """Read one complete request.

        :param on_begun: called when its first bytes have arrived.
        """
        request = await self._reader.async_read(on_begun)
        if isinstance(request, Ok):
            self._is_head_request = request.ok_value.method == 'HEAD'
        return request

    async def async_wait_disconnected(self) -> None:
        """Return when the caller has disconnected."""
        await self._reader.async_wait_disconnected()

    async def async_respond(
        self,
        response: HttpResponse,
    ) -> Result[None, ConnectionBroken]:
        """Write a complete response."""
        length = {'content-length': str(len(response.body))}
        encoded = self._encode_head(
            response.status, {**response.headers, **length}
        )
        if response.body and not self._is_head_request:
            encoded += self._protocol.send(h11.Data(data=response.body)) or b''
        encoded += self._protocol.send(h11.EndOfMessage()) or b''
        return await self._async_write(encoded, is_last=True)

    async def async_start_response(
        self,
        status: int,
        headers: Headers,
    ) -> Result[None, ConnectionBroken]:
        """Write the head of a response whose body is sent in chunks.

        For an HTTP/1.0 caller the body ends with the connection. Until it is
        delivered, the connection is reset if this process ends.
        """
        if self._protocol.their_http_version == OLD_VERSION:
            _set_reset(self._sock, is_on=True)
        return await self._async_write(self._encode_head(status, headers))

    async def async_send_chunk(
        self, chunk: bytes
    ) -> Result[None, ConnectionBroken]:
        """Write a chunk of the body."""
        return await self._async_write(
            self._protocol.send(h11.Data(data=chunk)) or b'',
        )

    async def async_end_response(self) -> Result[None, ConnectionBroken]:
        """Write the end of a complete body."""
        written = await self._async_write(
            self._protocol.send(h11.EndOfMessage()) or b'',
            is_last=True,
        )
        if self._outlet is None:
            confirm_delivered(self)
        return written

    def reset_on_close(self) -> None:
        """Reset the connection when it is closed, to mark the body as cut.

        For an HTTP/1.0 caller a body ends when the connection closes, so only
        a reset shows that the body is incomplete. The socket is closed later,
        when the connection's task ends: the task that detects a disconnect
        still waits on it, and a closed socket's descriptor could be reused by
        another connection.
        """
        _set_reset(self._sock, is_on=True)
        self._protocol.send_failed()

    async def async_linger(self) -> None:
        """Discard received bytes for a short time after an error response.

        Closing a socket with unread bytes resets the connection. The caller
        would then lose the response that describes the error.
        """
        try:
            await self._sock.shutdown(socket.SHUT_WR)
            await async_with_timeout(
                LINGER_MS, self._reader.async_discard_input()
            )
        except (OSError, TaskTimeout):
            return

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        if self._is_closing:
            headers = {**headers, 'connection': 'close'}
        event = h11.Response(status_code=status, headers=header_pairs(headers))
        return self._protocol.send(event) or b''

    async def _async_write(
        self,
        encoded: bytes,
        *,
        is_last: bool = False,
    ) -> Result[None, ConnectionBroken]:
        if self._outlet is not None:
            return await self._outlet.async_write(encoded, is_last=is_last)
        begun_ms = now_ms()
        try:
            with self.connections.waiting(
                self._sock, self.reset_on_close, lambda: begun_ms
            ):
                await async_with_timeout(
                    WRITE_TIMEOUT_MS, self._sock.sendall(encoded)
                )
        except (OSError, TaskTimeout) as error:
            self._is_broken = True
            return Err(ConnectionBroken(repr(error)))
        return Ok(None)


def confirm_delivered(connection: ServerConnection) -> None:
    """Let a connection be closed in the usual way if its response is whole."""
    if connection.is_response_complete:
        _set_reset(connection.sock, is_on=False)


def _set_reset(sock: socket.socket, *, is_on: bool) -> None:
    linger = struct.pack('ii', is_on, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def async_reset_connection(connection: ServerConnection) -> None:
    """Reset a connection and end the task that serves its request.

    The task sees the same end as after a disconnect by the caller.
    """
    connection.reset_on_close()
    try:
        await connection.sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
