"""Reads responses from a connection, limited in size and time."""

import math
import re
from contextlib import suppress
from typing import Final

import h11
from curio import socket
from curio.errors import TaskTimeout

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.byte_account import (
    ResponseAccount,
    UnlimitedResponse,
)
from hornbeamdeck.connection.chunk_decoder import ChunkDecoder
from hornbeamdeck.connection.event_progress import EventProgress
from hornbeamdeck.connection.http import BODILESS_METHODS, BODILESS_STATUSES
from hornbeamdeck.connection.response_limits import (
    LimitExceeded,
    ResponseLimit,
    ResponseLimits,
)

__all__ = ('ResponseReader', 'SilenceError')

READ_BYTES: Final = 65_536
# With this, h11 ends a body whose chunks were decoded before.
LAST_CHUNK: Final = b'0\r\n\r\n'
_HEAD_END: Final = re.compile(rb'\n\r?\n')
# Beyond it, a status is invalid (RFC 9110, 15); h11 allows three digits.
MAX_STATUS: Final = 599
MAX_SPLIT_BYTES: Final = 2


class SilenceError(Exception):
    """Nothing arrived within the time limit."""


class _HeadCounts:
    """Counts the heads of one response."""

    def __init__(self, limits: ResponseLimits) -> None:
        self.bytes_left = limits.max_head_bytes
        self._limits = limits
        self._interim_responses = 0
        self._interim_until_ms = math.inf

    def record_interim(self, head_bytes: int) -> None:
        """Count an interim response.

        :raises LimitExceeded: if there are too many, or for too long.
        """
        self.bytes_left -= head_bytes
        self._interim_responses += 1
        now = now_ms()
        self._interim_until_ms = min(
            self._interim_until_ms, now + self._limits.head_ms
        )
        if (
            self._interim_responses > self._limits.max_interim_responses
            or now > self._interim_until_ms
        ):
            raise LimitExceeded(
                ResponseLimit.INTERIM, self._limits.max_interim_responses
            )


class ResponseReader:
    """The receiving half of a client connection.

    h11 gets each head by itself, so that heads can be counted, and no chunks.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: h11.Connection,
        limits: ResponseLimits,
    ) -> None:
        """Share the socket and the protocol state with the sending half."""
        self.limits = limits
        # Whether reading has ended since nothing came. It may go on.
        self.is_silent = False
        self.account: ResponseAccount = UnlimitedResponse()
        self._sock = sock
        self._protocol = protocol
        # Received bytes that the protocol state has not got yet.
        self._received = bytearray()
        self._decoder: ChunkDecoder | None = None
        # Length of the body as the head states it; 0: not stated.
        self._announced_bytes = 0
        self._progress = EventProgress()
        # Time spent waiting, and bytes received, since the last progress.
        self._waited_ms = 0.0
        self._received_bytes = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received that belong to no response."""
        return bool(self._received) or any(self._protocol.trailing_data)

    def start(self) -> None:
        """Prepare for the response to a request that has been sent."""
        self._decoder = None
        self._progress = EventProgress()
        self._record_progress()

    async def async_read_head(self, method: str) -> h11.Response:
        """Read the final head, and skip interim responses before it.

        :param method: of the request.
        :raises LimitExceeded: if there are too many, or a head is too large or
            takes too long.
        :raises SilenceError: if nothing arrives.
        :raises h11.RemoteProtocolError: if it is no valid head, or cut.
        """
        heads = _HeadCounts(self.limits)
        while True:
            encoded = await self._async_take_head(heads.bytes_left)
            self._protocol.receive_data(encoded)
            event = self._protocol.next_event()
            if isinstance(event, h11.Response):
                _check_status(event.status_code)
                self._start_body(method, event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError('not a response head')
            heads.record_interim(len(encoded))

    async def async_read_event_bytes(self) -> bytes:
        """Read the next bytes of a stream of events; none at its end."""
        received = await self._async_read_content()
        if self._progress.record(received, self.limits):
            self._record_progress()
            if self._decoder is not None:
                self._decoder.reset_framing()
        await _async_hold(self.account, self._progress.unfinished_bytes)
        return received

    async def async_read_body(self) -> bytes:
        """Read the rest of a body that is not a stream."""
        body = bytearray()
        self._check_body_bytes(self._announced_bytes)
        while part := await self._async_read_content():
            body += part
            self._check_body_bytes(len(body))
            await _async_hold(self.account, len(body))
        return bytes(body)

    def _check_body_bytes(self, body_bytes: int) -> None:
        if body_bytes > self.limits.max_body_bytes:
            raise LimitExceeded(ResponseLimit.BODY, self.limits.max_body_bytes)

    async def _async_take_head(self, max_bytes: int) -> bytes:
        """Take a head with the blank line that ends it."""
        begun_ms = now_ms() if self._received else math.inf
        searched = 0
        while True:
            end = _HEAD_END.search(self._received, searched)
            head_bytes = end.end() if end else len(self._received)
            if head_bytes > max_bytes:
                raise LimitExceeded(
                    ResponseLimit.HEAD, self.limits.max_head_bytes
                )
            if end is not None:
                return self._take(head_bytes)
            searched = max(head_bytes - MAX_SPLIT_BYTES, 0)
            self._received += await self._async_receive_more(
                begun_ms + self.limits.head_ms
            )
            begun_ms = min(begun_ms, now_ms())

    def _start_body(self, method: str, head: h11.Response) -> None:
        fields = dict(head.headers)
        has_body = (
            method not in BODILESS_METHODS
            and head.status_code not in BODILESS_STATUSES
        )
        self._announced_bytes = (
            int(fields.get(b'content-length', 0)) if has_body else 0
        )
        if has_body and b'transfer-encoding' in fields:
            self._decoder = ChunkDecoder(self.limits.max_framing_bytes)
        elif self._received:
            # h11 takes no bytes for the end of the connection.
            self._protocol.receive_data(self._take(len(self._received)))
        self._record_progress()

    async def _async_read_content(self) -> bytes:
        """Read the next bytes of the body; none at its end."""
        if self._decoder is not None:
            return await self._async_read_decoded(self._decoder)
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b''
            if event is not h11.NEED_DATA:
                raise h11.RemoteProtocolError('closed within the body')
            self._protocol.receive_data(await self._async_receive())

    async def _async_read_decoded(self, decoder: ChunkDecoder) -> bytes:
        while not decoder.has_ended:
            received = self._take(len(self._received))
            if not received:
                received = await self._async_receive_more()
            decoded = decoder.decode(received)
            if decoded:
                return decoded
        self._decoder = None
        self._protocol.receive_data(LAST_CHUNK)
        self._protocol.next_event()
        self._received += decoder.rest
        return b''

    def _take(self, count: int) -> bytes:
        taken = bytes(self._received[:count])
        self._received = self._received[count:]
        return taken

    async def _async_receive_more(
        self, head_until_ms: float = math.inf
    ) -> bytes:
        """Receive bytes of a response that is not complete yet.

        :param head_until_ms: when a head must be complete.
        """
        received = await self._async_receive(head_until_ms)
        if not received:
            raise h11.RemoteProtocolError('closed within the response')
        return received

    async def _async_receive(self, head_until_ms: float = math.inf) -> bytes:
        """Receive bytes; none when the server has closed."""
        started_ms = now_ms()
        left_ms = min(self._silence_left_ms(), head_until_ms - started_ms)
        if left_ms == math.inf:
            received = await self._sock.recv(READ_BYTES)
        else:
            received = await self._async_receive_within(left_ms)
        if self.account.has_ended:
            raise LimitExceeded(ResponseLimit.MEMORY, 0)
        self._waited_ms += now_ms() - started_ms
        self._received_bytes += len(received)
        return bytes(received)

    async def _async_receive_within(self, left_ms: float) -> bytes:
        is_silence_limit = left_ms == self._silence_left_ms()
        # The limit also holds where bytes arrive so fast that none are awaited.
        if left_ms > 0:
            with suppress(TaskTimeout):
                return bytes(
                    await async_with_timeout(
                        left_ms, self._sock.recv(READ_BYTES)
                    )
                )
        if is_silence_limit:
            raise self._make_silence_error()
        raise LimitExceeded(ResponseLimit.HEAD_TIME, self.limits.head_ms)

    def _silence_left_ms(self) -> float:
        if not self.limits.silence_ms:
            return math.inf
        return self.limits.silence_ms - self._waited_ms

    def _make_silence_error(self) -> Exception:
        limit_ms = self.limits.silence_ms
        if self._received_bytes:
            return LimitExceeded(ResponseLimit.PROGRESS, limit_ms)
        self.is_silent = True
        return SilenceError(f'silent for {limit_ms} ms')

    def _record_progress(self) -> None:
        self._waited_ms = 0
        self._received_bytes = 0


def _check_status(status: int) -> None:
    if status > MAX_STATUS:
        raise h11.RemoteProtocolError(f'invalid status {status}')


async def _async_hold(account: ResponseAccount, held_bytes: int) -> None:
    """Count what is held of a response, and wait until it may grow.

    :raises LimitExceeded: if it was ended to make room.
    """
    if not account.hold(held_bytes) and not await account.async_wait():
        raise LimitExceeded(ResponseLimit.MEMORY, 0)
