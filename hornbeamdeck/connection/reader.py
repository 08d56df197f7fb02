"""Reads whole requests from a connection, within limits of size and time."""

from http import HTTPStatus
from typing import Final, NamedTuple

import h11
from curio import socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.errors import (
    BadRequest,
    ConnectionBroken,
    PeerClosed,
    ReadError,
)
from hornbeamdeck.connection.http import HttpRequest, join_headers
from hornbeamdeck.const import MEBIBYTE

__all__ = ('ReadLimits', 'RequestReader')

READ_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 32_768


class ReadLimits(NamedTuple):
    """What one caller may cost.

    :param idle_ms: longest wait for a request's first byte, milliseconds.
    :param request_ms: longest time from its first byte to its last.
    """

    idle_ms: int = 75_000
    request_ms: int = 15_000
    max_body_bytes: int = 4 * MEBIBYTE
    max_header_bytes: int = MAX_HEADER_BYTES


class RequestReader:
    """The reading half of a server connection."""

    def __init__(
        self,
        sock: socket.socket,
        protocol: h11.Connection,
        limits: ReadLimits,
    ) -> None:
        """Share the socket and the protocol state with the writing half."""
        self._sock = sock
        self._protocol = protocol
        self._limits = limits

    async def async_read(self) -> Result[HttpRequest, ReadError]:
        """Read one whole request.

        A caller that opens a connection and sends a byte a minute would hold
        a task and its memory for ever; the limits bound both the wait for
        the first byte and the time from there to the last.
        """
        try:
            opening = await async_within(
                self._limits.idle_ms,
                self._async_first(),
            )
        except TaskTimeout:
            return Err(PeerClosed())
        if isinstance(opening, Err):
            return opening
        try:
            return await async_within(
                self._limits.request_ms,
                self._async_read_rest(),
            )
        except TaskTimeout:
            return Err(
                BadRequest(
                    HTTPStatus.REQUEST_TIMEOUT,
                    'the request came too slowly',
                ),
            )

    async def async_wait_closed(self) -> None:
        """Return once the caller has left.

        Bytes of a next request that come meanwhile are kept for it, up to a
        bound: past it a caller that pipelines without end is as good as gone.
        """
        kept_bytes = 0
        while kept_bytes <= self._limits.max_body_bytes:
            try:
                received = await self._sock.recv(READ_BYTES)
            except OSError:
                return
            if not received:
                return
            kept_bytes += len(received)
            self._protocol.receive_data(received)

    async def async_discard(self) -> None:
        """Read and forget until the caller closes."""
        received = await self._sock.recv(READ_BYTES)
        while received:
            received = await self._sock.recv(READ_BYTES)

    async def _async_first(self) -> Result[None, ReadError]:
        if self._protocol.trailing_data[0]:
            return Ok(None)
        return await self._async_receive()

    async def _async_receive(self) -> Result[None, ReadError]:
        try:
            await self._async_go_on()
            received = await self._sock.recv(READ_BYTES)
        except OSError as error:
            return Err(ConnectionBroken(repr(error)))
        if not received and self._protocol.their_state is h11.IDLE:
            return Err(PeerClosed())
        self._protocol.receive_data(received)
        return Ok(None)

    async def _async_go_on(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE,
                headers=[],
            )
            await self._sock.sendall(self._protocol.send(go_on) or b'')

    async def _async_read_rest(self) -> Result[HttpRequest, ReadError]:
        head = await self._async_next()
        if isinstance(head, Err):
            return head
        opening = head.ok_value
        if not isinstance(opening, h11.Request):
            return Err(PeerClosed())
        body = await self._async_read_body()
        return body.map(lambda whole: _to_request(opening, whole))

    async def _async_read_body(self) -> Result[bytes, ReadError]:
        body = bytearray()
        while True:
            step = await self._async_next()
            if isinstance(step, Err):
                return step
            if not isinstance(step.ok_value, h11.Data):
                return Ok(bytes(body))
            body += step.ok_value.data
            if len(body) > self._limits.max_body_bytes:
                return Err(
                    BadRequest(
                        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                        'the body is too large',
                    ),
                )

    async def _async_next(self) -> Result[h11.Event, ReadError]:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                return Err(BadRequest(error.error_status_hint, str(error)))
            if isinstance(event, h11.Event):
                return Ok(event)
            received = await self._async_receive()
            if isinstance(received, Err):
                return received


def _to_request(head: h11.Request, body: bytes) -> HttpRequest:
    path, _, query = head.target.decode('ascii').partition('?')
    return HttpRequest(
        method=head.method.decode('ascii'),
        path=path,
        query=query,
        headers=join_headers(head.headers),
        body=body,
    )
