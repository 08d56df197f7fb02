"""The client side of an HTTP connection."""

import math
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, Self, TypeVar

import h11
from curio import socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.byte_account import (
    OpenResponse,
    UnlimitedResponse,
)
from hornbeamdeck.connection.chunk_decoder import BadChunk
from hornbeamdeck.connection.errors import ConnectFailed, ConnectionBroken
from hornbeamdeck.connection.http import (
    Headers,
    HttpRequest,
    HttpResponse,
    header_pairs,
    join_headers,
)
from hornbeamdeck.connection.pending_input import has_pending_input
from hornbeamdeck.connection.response_limits import (
    LimitExceeded,
    ResponseLimits,
)
from hornbeamdeck.connection.response_reader import ResponseReader, SilenceError
from hornbeamdeck.connection.sending import async_send_within

__all__ = (
    'ClientConnection',
    'async_fetch_on_new_connection',
    'set_ack_timeout',
)

_Read = TypeVar('_Read')


class ClientConnection:
    """Sends requests on one connection and reads the responses.

    After an error it must be closed, unless the server was only silent.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: Address,
        limits: ResponseLimits | None = None,
    ) -> None:
        """Use a connected socket, or a tunnel to the server.

        :param address: of the server; it is also sent as the Host header.
        :param limits: on the responses; `None`: the defaults.
        """
        # When the connection was established.
        self.opened_ms = now_ms()
        self._sock = sock
        self._address = address
        self._method = ''
        used_limits = limits or ResponseLimits()
        self._protocol = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=used_limits.max_head_bytes,
        )
        self._reader = ResponseReader(sock, self._protocol, used_limits)

    @classmethod
    async def async_open(
        cls,
        address: Address,
        *,
        timeout_ms: int,
        ack_timeout_ms: int = 0,
        limits: ResponseLimits | None = None,
    ) -> Result[Self, ConnectFailed]:
        """Open a connection.

        :param timeout_ms: time limit for the TCP handshake, milliseconds.
        :param ack_timeout_ms: the connection breaks when written bytes stay
            unacknowledged for longer than this, milliseconds; 0: the default
            of the operating system, which is many minutes.
        :param limits: on the responses; `None`: the defaults.
        :returns: the connection, or an error; after an error no byte was
            written.
        """
        connected = await async_connect(address, timeout_ms=timeout_ms)
        if ack_timeout_ms and isinstance(connected, Ok):
            set_ack_timeout(connected.ok_value, ack_timeout_ms)
        return connected.map(lambda sock: cls(sock, address, limits))

    @property
    def address(self) -> Address:
        """The address of the server."""
        return self._address

    @property
    def sock(self) -> socket.socket:
        """The connected socket, or the tunnel to the server."""
        return self._sock

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be sent on this connection.

        Bytes received after a complete response belong to no request, so a
        connection that has received any must not be used again.
        """
        return (
            self._protocol.our_state is h11.DONE
            and self._protocol.their_state is h11.DONE
            and not self._reader.has_unread
        )

    def apply_limits(self, limits: ResponseLimits) -> None:
        """Set the limits for the responses to further requests."""
        self._reader.limits = limits

    def lift_silence_limit(self) -> bool:
        """Wait for the rest of the response however long nothing comes.

        :returns: whether reading has ended since the server was silent, so that
            it may go on.
        """
        self._reader.limits = self._reader.limits._replace(silence_ms=0)
        return self._reader.is_silent

    def open_account(self, open_response: OpenResponse) -> None:
        """Count what is held of the response to the next request."""
        self._reader.account = open_response(self._async_shut_down)

    def drop_account(self) -> None:
        """Count nothing as held any more."""
        self._reader.account.drop()
        self._reader.account = UnlimitedResponse()

    def has_no_pending_input(self) -> bool:
        """Whether nothing arrived after the last response, not even a close."""
        return not has_pending_input(self._sock)

    async def async_send(
        self,
        request: HttpRequest,
        *,
        limit_ms: float = math.inf,
    ) -> Result[None, ConnectionBroken]:
        """Write a complete request.

        :param limit_ms: time limit, milliseconds.
        """
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        self._method = request.method
        headers = {
            'host': str(self._address),
            **request.headers,
            'content-length': str(len(request.body)),
        }
        try:
            encoded = self._encode_head(request.method, request.target, headers)
            encoded += self._protocol.send(h11.Data(data=request.body)) or b''
            encoded += self._protocol.send(h11.EndOfMessage()) or b''
        except h11.LocalProtocolError as error:
            return Err(ConnectionBroken(repr(error), is_unsent=True))
        sent = await async_send_within(self._sock, encoded, limit_ms)
        self._reader.start()
        return sent

    async def async_read_head(self) -> Result[HttpResponse, ConnectionBroken]:
        """Read status and headers of the response; its body is empty."""
        read = await _async_catch(self._reader.async_read_head(self._method))
        return read.map(_to_response)

    async def async_read_chunk(self) -> Result[bytes, ConnectionBroken]:
        """Read the next bytes of a stream of events.

        :returns: the bytes, empty at the end of a complete body.
        """
        return await _async_catch(self._reader.async_read_event_bytes())

    async def async_fetch(
        self,
        request: HttpRequest,
    ) -> Result[HttpResponse, ConnectionBroken]:
        """Send a request and read the complete response."""
        sent = await self.async_send(request)
        if isinstance(sent, Err):
            return sent
        head = await self.async_read_head()
        if isinstance(head, Err):
            return head
        body = await self.async_read_body()
        return body.map(lambda read: head.ok_value._replace(body=read))

    async def async_read_body(self) -> Result[bytes, ConnectionBroken]:
        """Read the rest of the body, which is not a stream of events."""
        return await _async_catch(self._reader.async_read_body())

    async def async_close(self) -> None:
        """Close; the upstream cancels an unfinished run unless resumable."""
        await self._sock.close()

    async def _async_shut_down(self) -> None:
        with suppress(OSError):
            await self._sock.shutdown(socket.SHUT_RDWR)

    def _encode_head(self, method: str, target: str, headers: Headers) -> bytes:
        event = h11.Request(
            method=method,
            target=target,
            headers=header_pairs(headers),
        )
        return self._protocol.send(event) or b''


def set_ack_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Break a connection when written bytes stay unacknowledged for longer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


async def async_fetch_on_new_connection(
    address: Address,
    request: HttpRequest,
    *,
    timeout_ms: int,
) -> Result[HttpResponse, ConnectFailed | ConnectionBroken]:
    """Open a connection, make one call and close the connection.

    :param timeout_ms: time limit for connecting and, separately, for the
        response, milliseconds.
    """
    opened = await ClientConnection.async_open(address, timeout_ms=timeout_ms)
    if isinstance(opened, Err):
        return opened
    try:
        return await async_with_timeout(
            timeout_ms,
            opened.ok_value.async_fetch(request),
        )
    except TaskTimeout:
        return Err(ConnectionBroken('no response within the time limit'))
    finally:
        await opened.ok_value.async_close()


async def _async_catch(
    reading: Coroutine[Any, Any, _Read],
) -> Result[_Read, ConnectionBroken]:
    try:
        return Ok(await reading)
    except LimitExceeded as exceeded:
        return Err(exceeded.to_broken())
    except SilenceError as silence:
        return Err(ConnectionBroken(str(silence), is_timeout=True))
    except (OSError, BadChunk, h11.RemoteProtocolError) as error:
        return Err(
            ConnectionBroken(repr(error), isinstance(error, TimeoutError))
        )


def _to_response(event: h11.Response) -> HttpResponse:
    headers = join_headers(event.headers)
    return HttpResponse(event.status_code, headers, b'')
