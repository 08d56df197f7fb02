"""Limits the connections of one listener, by closing those that are idle.

Three measures, in this order: when the limit is near, responses tell callers
not to use their connection again. At the limit, each new connection ends the
one that has been idle for longest. If none is idle, a few more are accepted,
and their requests are refused.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from curio import sleep, socket

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.pending_input import has_pending_input

__all__ = ('ConnectionLimit',)

# Share of the limit from which on responses end their connection.
CROWDED_SHARE: Final = 0.95
# Connections beyond the limit whose requests are refused.
MAX_SURPLUS: Final = 8
# One that is new has not had the time to send its request.
MIN_IDLE_MS: Final = 1000


class _Idle(NamedTuple):
    since_ms: float
    on_end: Callable[[], None] | None


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
        # Longest idle first.
        self._idle: dict[socket.socket, _Idle] = {}

    @property
    def busy_count(self) -> int:
        """Number of open connections that are not idle."""
        return self.open_count - len(self._idle)

    @property
    def is_crowded(self) -> bool:
        """Whether callers should not keep their connections."""
        return self._exceeds(self.open_count, CROWDED_SHARE)

    @property
    def is_exhausted(self) -> bool:
        """Whether requests alone, without idle connections, pass the limit."""
        return self._exceeds(self.busy_count)

    def enter_idle(
        self,
        sock: socket.socket,
        on_end: Callable[[], None] | None = None,
    ) -> None:
        """Record that a connection waits for the first bytes of a request.

        :param on_end: called if the connection is to end for others.
        """
        self._idle[sock] = _Idle(now_ms(), on_end)

    def leave_idle(self, sock: socket.socket) -> None:
        """Record that a connection has received bytes, or is closed."""
        self._idle.pop(sock, None)

    async def async_add(self) -> bool:
        """Count a new connection, and make room for it.

        :returns: whether it may stay open; otherwise it is not counted.
        """
        self.open_count += 1
        if not self._exceeds(self.open_count):
            return True
        if not self._exceeds(self.open_count - MAX_SURPLUS):
            await self._async_end_idle(now_ms() - MIN_IDLE_MS)
            return True
        if await self._async_end_idle(now_ms()):
            return True
        self.open_count -= 1
        self.closed_count += 1
        return False

    def remove(self) -> None:
        """Count a connection that is closed."""
        self.open_count -= 1

    async def _async_end_idle(self, idle_since_ms: float) -> bool:
        """End the connection that has been idle for longest.

        :param idle_since_ms: only if it has been idle since then.
        :returns: whether there was one.
        """
        for sock, idle in tuple(self._idle.items()):
            if idle.since_ms > idle_since_ms:
                return False
            self._idle.pop(sock)
            if not has_pending_input(sock):
                self.closed_count += 1
                await _async_end(sock, idle)
                return True
        return False

    def _exceeds(self, count: int, share: float = 1) -> bool:
        if self._most is None:
            return False
        return count > share * self._most(self.open_count)


async def _async_end(sock: socket.socket, idle: _Idle) -> None:
    """Let the task that reads from a connection find its end, and close it."""
    if idle.on_end is not None:
        idle.on_end()
    try:
        await sock.shutdown(socket.SHUT_RD)
    except OSError:
        return
    await sleep(0)
