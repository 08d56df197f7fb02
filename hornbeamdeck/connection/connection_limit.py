"""Limits the connections of one listener, by closing those that are idle.

When the limit is near, responses tell callers not to use their connection
again. At the limit, each new connection ends another one: one on which nothing
was ever sent, or else the one that has been idle for longest, or has waited for
longest for the rest of a request or until its caller takes a response. If there
is none, a few more are accepted, and their requests are refused.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from curio import sleep, socket

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.pending_input import has_pending_input
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('ConnectionLimit',)

# Share of the limit from which on responses end their connection.
CROWDED_SHARE: Final = 0.95
# Connections beyond the limit whose requests are refused.
MAX_SURPLUS: Final = 8
# A caller that has connected sends its request within this time. Others wait to
# be accepted meanwhile.
NEW_MS: Final = 50
POLL_MS: Final = 10
# How long no new connection waits after one has waited in vain.
FUTILE_MS: Final = 1000
# A caller that has sent a request may be about to send the next one.
MIN_IDLE_MS: Final = 1000


class _Idle(NamedTuple):
    since_ms: float
    on_end: Callable[[], None]


class _Waiting(NamedTuple):
    since_ms: Callable[[], float]
    on_end: Callable[[], None]


class ConnectionLimit:
    """The open connections of one listener, and how many may be open."""

    def __init__(self, most: Callable[[int], int] | None = None) -> None:
        """Start without connections.

        :param most: returns how many connections may be open, given how many
            are; `None`: there is no limit.
        """
        self.open_count = 0
        # Connections closed for room since the start.
        self.closed_count = 0
        self._most = most
        # Idle connections without a request so far, and the others; both with
        # the longest idle first.
        self._new: dict[socket.socket, _Idle] = {}
        self._kept: dict[socket.socket, _Idle] = {}
        # Connections that wait for their caller in the middle of a request or
        # of its response.
        self._waiting: dict[socket.socket, _Waiting] = {}
        self._futile_to_ms = 0.0

    @property
    def busy_count(self) -> int:
        """Number of open connections that do not wait for their caller."""
        idle_count = len(self._new) + len(self._kept)
        return self.open_count - idle_count - len(self._waiting)

    @property
    def is_crowded(self) -> bool:
        """Whether callers should not keep their connections.

        Those on which nothing was sent make room first.
        """
        return self._exceeds(self.open_count - len(self._new), CROWDED_SHARE)

    @property
    def is_exhausted(self) -> bool:
        """Whether requests alone, without idle connections, pass the limit."""
        return self._exceeds(self.busy_count)

    def enter_idle(
        self, sock: socket.socket, on_end: Callable[[], None], *, is_new: bool
    ) -> None:
        """Record that a connection waits for the first bytes of a request.

        :param on_end: called if the connection is to end for others.
        :param is_new: whether it has had no request yet.
        """
        idle = self._new if is_new else self._kept
        idle[sock] = _Idle(now_ms(), on_end)

    def leave_idle(self, sock: socket.socket) -> None:
        """Record that a connection has received bytes."""
        self._new.pop(sock, None)
        self._kept.pop(sock, None)

    def enter_waiting(
        self,
        sock: socket.socket,
        on_end: Callable[[], None],
        since_ms: Callable[[], float],
    ) -> None:
        """Record that a connection waits for its caller to send or to read.

        :param on_end: called if the connection is to end for others.
        :param since_ms: returns when the caller last did so.
        """
        self._waiting[sock] = _Waiting(since_ms, on_end)

    def leave_waiting(self, sock: socket.socket) -> None:
        """Record that a connection does not wait for its caller."""
        self._waiting.pop(sock, None)

    @contextmanager
    def waiting(
        self,
        sock: socket.socket,
        on_end: Callable[[], None],
        since_ms: Callable[[], float],
    ) -> Iterator[None]:
        """Record for a while that a connection waits, as `enter_waiting`."""
        self.enter_waiting(sock, on_end, since_ms)
        try:
            yield
        finally:
            self.leave_waiting(sock)

    def forget(self, sock: socket.socket) -> None:
        """Record that a connection is about to be closed."""
        self.leave_idle(sock)
        self.leave_waiting(sock)

    async def async_add(self) -> bool:
        """Count a new connection, and make room for it.

        :returns: whether it may stay open; otherwise it is not counted.
        """
        self.open_count += 1
        while self._exceeds(self.open_count):
            # Connections that were accepted before are read from first.
            await sleep(0)
            if await self._async_end_first(self._new, NEW_MS):
                return True
            if not self._new:
                return await self._async_make_room()
            await sleep(POLL_MS / MILLIS_PER_SECOND)
        return True

    async def async_end_waiting(
        self, min_waiting_ms: float = MIN_IDLE_MS
    ) -> bool:
        """End the connection that has waited for its caller for longest.

        :param min_waiting_ms: only if it has waited for so long.
        :returns: whether there was one.
        """
        if not self._waiting:
            return False
        sock, waiting = min(
            self._waiting.items(), key=lambda each: each[1].since_ms()
        )
        if waiting.since_ms() > now_ms() - min_waiting_ms:
            return False
        self.leave_waiting(sock)
        self.closed_count += 1
        await _async_end(sock, waiting.on_end)
        return True

    def remove(self) -> None:
        """Count a connection that is closed."""
        self.open_count -= 1

    async def _async_make_room(self) -> bool:
        """End a connection that has had a request, or allow one too many.

        :returns: whether the new connection may stay open.
        """
        if await self._async_end_any(MIN_IDLE_MS, MIN_IDLE_MS):
            return True
        if await self._async_wait_for_room():
            return True
        self.open_count -= 1
        self.closed_count += 1
        return False

    async def _async_wait_for_room(self) -> bool:
        """Wait until a connection that waits for its caller may be ended.

        Not again for a while after it was in vain: the callers are quick then,
        and others would wait to be accepted for nothing.
        """
        until_ms = now_ms() + 2 * NEW_MS
        while self._exceeds(self.open_count - MAX_SURPLUS):
            if await self._async_end_any(0, NEW_MS):
                return True
            now = now_ms()
            if not self._waiting or now < self._futile_to_ms:
                return False
            if now > until_ms:
                self._futile_to_ms = now + FUTILE_MS
                return False
            await sleep(POLL_MS / MILLIS_PER_SECOND)
        return True

    async def _async_end_any(
        self, min_idle_ms: float, min_waiting_ms: float
    ) -> bool:
        """End a connection that is idle, or else one that waits."""
        return await self._async_end_first(
            self._kept, min_idle_ms
        ) or await self.async_end_waiting(min_waiting_ms)

    async def _async_end_first(
        self, idle: dict[socket.socket, _Idle], min_idle_ms: float
    ) -> bool:
        """End the connection that has been idle for longest.

        :param min_idle_ms: only if it has been idle for so long.
        :returns: whether there was one.
        """
        idle_since_ms = now_ms() - min_idle_ms
        for sock, each in tuple(idle.items()):
            if each.since_ms > idle_since_ms:
                return False
            idle.pop(sock, None)
            if not has_pending_input(sock):
                self.closed_count += 1
                await _async_end(sock, each.on_end)
                return True
        return False

    def _exceeds(self, count: int, share: float = 1) -> bool:
        if self._most is None:
            return False
        return count > share * self._most(self.open_count)


async def _async_end(sock: socket.socket, on_end: Callable[[], None]) -> None:
    """Let the task that reads from a connection find its end, and close it."""
    on_end()
    try:
        await sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
    await sleep(0)
