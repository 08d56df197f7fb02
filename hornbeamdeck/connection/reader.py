"""Reads complete requests from a connection, limited in size and time."""

import math
import re
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeAlias

import h11
from curio import sleep, socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.byte_account import ByteAccount, Unlimited
from hornbeamdeck.connection.errors import (
    BadRequest,
    CallerClosed,
    ConnectionBroken,
    ReadError,
)
from hornbeamdeck.connection.http import HttpRequest, join_headers
from hornbeamdeck.connection.pending_input import async_wait_closed
from hornbeamdeck.connection.read_limits import GetLimits, ReadLimits
from hornbeamdeck.connection.read_refusals import (
    no_room,
    request_too_slow,
    slow_request,
)
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('GetLimits', 'OnBegun', 'ReadLimits', 'RequestReader')

READ_BYTES: Final = 65_536
# What is buffered of requests that a caller sends ahead. The rest stays in the
# operating system, whose buffer then fills up, so that the caller has to wait.
MAX_AHEAD_BYTES: Final = 16_384
# A chunk of a body takes some 25 µs, however short it is. Other tasks run after
# so many, also if the caller always has more to read.
CHUNKS_PER_TURN: Final = 64
METHOD_CONNECT: Final = b'CONNECT'
# The limits of an idle connection are read again after so long. They may have
# become shorter.
MAX_IDLE_WAIT_MS: Final = 15_000
# A target with its host, which callers send to proxies and may send to servers.
_ABSOLUTE_TARGET: Final = re.compile(
    '(?i:https?)://(?P<authority>[^/?#]+)(?P<rest>.*)'
)
# There is always room for a head or a body of this length, so that a few long
# ones do not keep out all others.
MIN_ROOM_BYTES: Final = 16_384
# In this time, the task of a connection that was ended drops what it holds.
ROOM_WAIT_MS: Final = 20


# Called when a request begins.
OnBegun: TypeAlias = Callable[[], None]
AsyncEndOther: TypeAlias = Callable[[], Awaitable[bool]]


class RequestReader:
    """The receiving half of a server connection."""

    def __init__(
        self,
        sock: socket.socket,
        protocol: h11.Connection,
        limits: GetLimits,
        bodies: ByteAccount | None = None,
        end_other: AsyncEndOther | None = None,
    ) -> None:
        """Share the socket and the protocol state with the sending half.

        :param limits: called when a request begins, for the limits that apply
            to it, and while the connection is idle.
        :param bodies: counts the bytes of the body that is held.
        :param end_other: ends a connection whose caller is slow, to make room
            for a body; returns whether there was one.
        """
        self._bodies = bodies or Unlimited()
        self._end_other = end_other
        self._sock = sock
        self._protocol = protocol
        self._current_limits = limits
        self._limits = limits()
        # Whether this side receives no more, to make room for others.
        self._is_ended = False
        # Of the body, as far as the head states its length.
        self._body_left = 0
        # Of the head, counted as bytes of the body.
        self._counted_head = 0

    async def async_read(
        self, on_begun: OnBegun | None = None
    ) -> Result[HttpRequest, ReadError]:
        """Read one complete request.

        Both the wait for the first byte and the time from there to the last
        are limited. Otherwise a caller that sends one byte a minute would hold
        a task and its memory without end.

        :param on_begun: called when its first bytes have arrived.
        """
        self._bodies.drop()
        self._counted_head = 0
        first_byte = await self._async_wait_begun()
        if isinstance(first_byte, Err):
            return first_byte
        self._limits = self._current_limits()
        if on_begun is not None:
            on_begun()
        try:
            return await async_with_timeout(
                self._limits.request_ms,
                self._async_read_rest(),
            )
        except TaskTimeout:
            return Err(request_too_slow())

    async def async_wait_disconnected(self) -> None:
        """Return when the caller has disconnected.

        The end of the input shows that, unless this side has ended it. Up to
        `MAX_AHEAD_BYTES` of the requests that follow are buffered, including
        those that were received with the current one.
        """
        while not self._is_ended and self._buffered_bytes < MAX_AHEAD_BYTES:
            try:
                is_open = await self._async_receive_ahead()
            except OSError:
                return
            if not is_open:
                return
        await async_wait_closed(self._sock, is_input_ended=self._is_ended)

    def end_input(self) -> None:
        """Receive no more, since the socket is shut down for reading.

        A request that is incomplete then is refused.
        """
        self._is_ended = True

    async def async_discard_input(self) -> None:
        """Discard received bytes until the caller closes."""
        while await self._sock.recv(READ_BYTES):
            # A fast caller always has more to read.
            await sleep(0)

    @property
    def _wanted_bytes(self) -> int:
        """How many bytes to receive, so that few belong to later requests."""
        return min(max(self._body_left, MAX_AHEAD_BYTES), READ_BYTES)

    @property
    def _has_begun(self) -> bool:
        """Whether a part of a request was received."""
        is_idle = self._protocol.their_state is h11.IDLE
        return bool(self._buffered_bytes) or not is_idle

    @property
    def _buffered_bytes(self) -> int:
        """Number of bytes that are received and not parsed."""
        return len(self._protocol.trailing_data[0])

    async def _async_receive_ahead(self) -> bool:
        """Buffer a part of the next requests; return whether there was one."""
        received = await self._sock.recv(MAX_AHEAD_BYTES - self._buffered_bytes)
        if received:
            self._protocol.receive_data(received)
        return bool(received)

    async def _async_wait_begun(self) -> Result[None, ReadError]:
        since_ms = now_ms()
        left_ms = self._current_limits().idle_ms
        while True:
            try:
                return await async_with_timeout(
                    min(left_ms, MAX_IDLE_WAIT_MS),
                    self._async_wait_first_byte(),
                )
            except TaskTimeout:
                idle_ms = now_ms() - since_ms
            left_ms = math.ceil(self._current_limits().idle_ms - idle_ms)
            if left_ms <= 0:
                return Err(CallerClosed())

    async def _async_wait_first_byte(self) -> Result[None, ReadError]:
        if self._buffered_bytes:
            return Ok(None)
        return await self._async_receive()

    async def _async_receive(self) -> Result[None, ReadError]:
        try:
            await self._async_send_continue()
            received = await self._sock.recv(self._wanted_bytes)
        except OSError as error:
            return Err(ConnectionBroken(repr(error)))
        if not received and self._is_ended and self._has_begun:
            return Err(slow_request())
        if not received and self._protocol.their_state is h11.IDLE:
            return Err(CallerClosed())
        self._protocol.receive_data(received)
        return Ok(None)

    async def _async_send_continue(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(
                status_code=HTTPStatus.CONTINUE,
                headers=[],
            )
            await self._sock.sendall(self._protocol.send(interim) or b'')

    async def _async_read_rest(self) -> Result[HttpRequest, ReadError]:
        try:
            head = await async_with_timeout(
                self._limits.header_ms, self._async_next_event()
            )
        except TaskTimeout:
            return Err(request_too_slow())
        if isinstance(head, Err):
            return head
        request = head.ok_value
        if not isinstance(request, h11.Request):
            return Err(CallerClosed())
        if request.method == METHOD_CONNECT:
            return Err(
                BadRequest(
                    HTTPStatus.NOT_IMPLEMENTED,
                    'tunnels of callers are not supported',
                ),
            )
        stated_bytes = _stated_length(request)
        is_allowed = stated_bytes <= self._limits.max_body_bytes
        if is_allowed and not await self._async_has_room(
            stated_bytes, stated_bytes
        ):
            return Err(no_room())
        self._body_left = stated_bytes
        body = await self._async_read_body()
        self._body_left = 0
        return body.map(lambda read: _to_request(request, read))

    async def _async_read_body(self) -> Result[bytes, ReadError]:
        body = bytearray()
        chunks = 0
        while True:
            chunks += 1
            if not chunks % CHUNKS_PER_TURN:
                await sleep(0)
            event = await self._async_next_event()
            if isinstance(event, Err):
                return event
            if not isinstance(event.ok_value, h11.Data):
                return Ok(bytes(body))
            received = event.ok_value.data
            self._body_left -= len(received)
            if not await self._async_has_room(
                len(body) + len(received), len(received)
            ):
                return Err(no_room())
            self._bodies.hold(len(received))
            body += received
            if len(body) > self._limits.max_body_bytes:
                return Err(
                    BadRequest(
                        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                        'the body is too large',
                    ),
                )

    async def _async_has_room(self, body_bytes: int, wanted_bytes: int) -> bool:
        """Return whether a body may be so long; make room for it if needed.

        :param wanted_bytes: how many of them are not held yet.
        """
        if body_bytes <= MIN_ROOM_BYTES or self._bodies.has_room(wanted_bytes):
            return True
        if self._end_other is None or not await self._end_other():
            return False
        await sleep(ROOM_WAIT_MS / MILLIS_PER_SECOND)
        return self._bodies.has_room(wanted_bytes)

    async def _async_count_head(self) -> bool:
        """Count what is long of a head; return whether there is room for it."""
        uncounted = self._buffered_bytes - MIN_ROOM_BYTES - self._counted_head
        if uncounted <= 0:
            return True
        if not await self._async_has_room(self._buffered_bytes, uncounted):
            return False
        self._bodies.hold(uncounted)
        self._counted_head += uncounted
        return True

    async def _async_next_event(self) -> Result[h11.Event, ReadError]:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                return Err(BadRequest(error.error_status_hint, str(error)))
            if isinstance(event, h11.Event):
                return Ok(event)
            # The rest is the beginning of a head, a size line or trailers.
            if self._buffered_bytes > self._limits.max_header_bytes:
                return Err(
                    BadRequest(
                        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                        'the head is too large',
                    ),
                )
            if not await self._async_count_head():
                return Err(no_room())
            received = await self._async_receive()
            if isinstance(received, Err):
                return received


def _stated_length(head: h11.Request) -> int:
    """Return the stated length of the body; 0 if it is not stated."""
    stated = dict(head.headers).get(b'content-length', b'0')
    return int(stated)


def _to_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = join_headers(head.headers)
    target = head.target.decode('ascii')
    absolute = _ABSOLUTE_TARGET.fullmatch(target)
    if absolute is not None:
        # Its host replaces the one of the header (RFC 9112, 3.2.2).
        headers = {**headers, 'host': absolute['authority']}
        target = absolute['rest']
        if not target.startswith('/'):
            target = f'/{target}'
    path, mark, query = target.partition('?')
    return HttpRequest(
        method=head.method.decode('ascii'),
        path=path,
        query=query,
        headers=headers,
        body=body,
        has_empty_query=bool(mark) and not query,
    )
