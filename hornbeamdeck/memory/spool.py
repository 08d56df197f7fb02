"""Holds what a caller has not read yet of its response."""

import os
from collections import deque
from typing import Final, NamedTuple, Protocol, Self, TypeAlias

from curio import Event, Task, sleep, socket, spawn
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.unsent_output import has_unsent
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('Room', 'Spool', 'SpoolTerms')

# Events are joined up to this length, since each of them is short.
CHUNK_BYTES: Final = 32_768
# Interval at which a response that waits for room looks for it again. What its
# own caller reads wakes it at once.
ROOM_CHECK_MS: Final = 50
# A response has stopped to grow if nothing was added for so long.
GROWING_MS: Final = 2 * ROOM_CHECK_MS
SOCKET_CHECK_MS: Final = 20

_Written: TypeAlias = Result[None, ConnectionBroken]
_WRITTEN: Final[_Written] = Ok(None)


class SpoolTerms(NamedTuple):
    """The request whose response is held, and what its caller may expect.

    :param rank: its priority, 0 first.
    :param stall_ms: how long the caller may read nothing while memory is
        short, milliseconds.
    """

    request_id: str
    rank: int
    stall_ms: float


class Room(Protocol):
    """Where the bytes of all spools are counted."""

    def hold(self, held_bytes: int) -> None:
        """Count bytes that are held from now on."""

    def drop(self, held_bytes: int) -> None:
        """Count bytes that are no longer held."""

    def count_without_room(self) -> None:
        """Count that a response has to wait for room."""

    async def async_make(self, spool: 'Spool') -> bool:
        """Return whether more may be held for a response.

        If not, room is made for it where that is allowed.
        """

    def forget(self, spool: 'Spool') -> None:
        """Forget a spool that is closed."""


class Spool:
    """Passes a response on to its caller; holds what the caller doesn't read.

    Bytes go to the socket at once while the caller reads. What the socket does
    not take is held, and a task of its own writes it, so that the engine is
    read at its own pace.
    """

    def __init__(
        self,
        sock: socket.socket,
        terms: SpoolTerms,
        room: Room,
    ) -> None:
        """Start with nothing held.

        :param sock: the caller's connection.
        """
        self.terms = terms
        self.broken: ConnectionBroken | None = None
        # What the caller has not read yet.
        self.held_bytes = 0
        # How long the engine was not read since there was no room.
        self.held_back_ms = 0.0
        self.is_complete = False
        # When the caller has last read of what is held.
        self.progressed_ms = 0.0
        self._sock = sock
        self._room = room
        self._chunks: deque[bytearray] = deque()
        self._progress = Event()
        self._writer: Task | None = None
        self._held_since_ms = 0.0
        self._grown_ms = 0.0
        self._is_waiting = False
        self._taken_bytes = 0

    async def __aenter__(self) -> Self:
        """Use the spool for one response."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Drop what is held and end the task that writes it."""
        self._drop()
        self._room.forget(self)
        writer = self._writer
        if writer is not None:
            await writer.cancel()

    def stalled_ms(self, now: float) -> float:
        """Return for how long the caller has read nothing of what is held."""
        return now - self.progressed_ms if self.held_bytes else 0

    def is_growing(self, now: float) -> bool:
        """Return whether more is about to be held than is held now."""
        if self.is_complete or not self.held_bytes:
            return False
        return self._is_waiting or now - self._grown_ms < GROWING_MS

    def bytes_per_ms(self, now: float) -> float:
        """Return how fast the caller reads since something is held for it."""
        elapsed_ms = now - self._held_since_ms
        return self._taken_bytes / elapsed_ms if elapsed_ms > 0 else 0

    async def async_write(self, encoded: bytes, *, is_last: bool) -> _Written:
        """Pass bytes on to the caller, or hold them.

        Returns when more may be written: at once while there is room.

        :param is_last: whether these bytes end the response. They are held
            without waiting for room, so that the engine's slot is released.
        """
        if self.broken is not None:
            return Err(self.broken)
        self.is_complete = is_last
        unsent: bytes | memoryview = encoded
        if not self.held_bytes:
            sent = self._send_now(encoded)
            if sent == len(encoded):
                return _WRITTEN
            unsent = memoryview(encoded)[sent:]
        if self.broken is None:
            await self._async_hold(unsent)
            # A complete response is not kept for any longer than it is copied.
            if not is_last:
                # An engine that is always ahead of the writing task would
                # otherwise keep it from all others.
                await sleep(0)
                await self._async_wait_for_room()
        return _WRITTEN if self.broken is None else Err(self.broken)

    async def async_flush(self, until_ms: float, stall_ms: float) -> _Written:
        """Wait until the caller has taken all that is held.

        :param until_ms: the caller may take until then, and longer while it
            goes on reading.
        :param stall_ms: how long it may then read nothing.
        """
        while self.held_bytes and self.broken is None:
            end_ms = max(until_ms, self.progressed_ms + stall_ms)
            if now_ms() >= end_ms:
                self.break_off('the caller does not read its response')
                break
            await self._room.async_make(self)
            await self._async_wait_for_progress(end_ms - now_ms())
        return _WRITTEN if self.broken is None else Err(self.broken)

    async def async_flush_socket(self, until_ms: float) -> None:
        """Wait until the caller's system has what the socket has taken.

        A reset discards what it has not. Returns at once if the caller has
        read its response as it came.
        """
        while (
            self._taken_bytes and now_ms() < until_ms and has_unsent(self._sock)
        ):
            await sleep(SOCKET_CHECK_MS / MILLIS_PER_SECOND)

    def break_off(self, cause: str) -> None:
        """Drop what is held and accept nothing more."""
        if self.broken is None:
            self.broken = ConnectionBroken(cause, is_timeout=True)
        self._drop()

    def _send_now(self, encoded: bytes) -> int:
        """Write what the socket takes without waiting; return how much."""
        try:
            # `send` of the socket would wait, and a time limit for that costs
            # more than the write.
            return os.write(self._sock.fileno(), encoded)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.broken = ConnectionBroken(repr(error))
            return 0

    async def _async_hold(self, unsent: bytes | memoryview) -> None:
        if not self.held_bytes:
            self._held_since_ms = now_ms()
            self.progressed_ms = self._held_since_ms
            self._taken_bytes = 0
        if not self._chunks or len(self._chunks[-1]) > CHUNK_BYTES:
            self._chunks.append(bytearray())
        self._chunks[-1].extend(unsent)
        self.held_bytes += len(unsent)
        self._room.hold(len(unsent))
        self._grown_ms = now_ms()
        if self._writer is None:
            self._writer = await spawn(self._async_write_held, daemon=True)

    async def _async_wait_for_room(self) -> None:
        if self.broken is not None or await self._room.async_make(self):
            return
        self._room.count_without_room()
        waiting_ms = now_ms()
        self._is_waiting = True
        try:
            while self.held_bytes and self.broken is None:
                await self._async_wait_for_progress(ROOM_CHECK_MS)
                if await self._room.async_make(self):
                    return
        finally:
            self._is_waiting = False
            self.held_back_ms += now_ms() - waiting_ms

    async def _async_wait_for_progress(self, limit_ms: float) -> None:
        self._progress.clear()
        try:
            await async_with_timeout(
                min(limit_ms, ROOM_CHECK_MS), self._progress.wait()
            )
        except TaskTimeout:
            return

    async def _async_write_held(self) -> None:
        try:
            while self._chunks:
                await self._async_send_chunk(self._chunks.popleft())
        except OSError as error:
            self.broken = self.broken or ConnectionBroken(repr(error))
            self._drop()
            await self._progress.set()
        self._writer = None

    async def _async_send_chunk(self, chunk: bytearray) -> None:
        unsent = memoryview(chunk)
        while unsent:
            sent = await self._sock.send(unsent)
            unsent = unsent[sent:]
            self.progressed_ms = now_ms()
            self._taken_bytes += sent
            self._count_taken(sent)
            await self._progress.set()

    def _count_taken(self, taken: int) -> None:
        # Nothing is held any more if the spool was broken off meanwhile.
        dropped = min(taken, self.held_bytes)
        self.held_bytes -= dropped
        self._room.drop(dropped)

    def _drop(self) -> None:
        self._chunks.clear()
        self._count_taken(self.held_bytes)
