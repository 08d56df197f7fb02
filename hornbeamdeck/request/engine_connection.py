"""The connection to an engine that one attempt of a request uses."""

from typing import Final

from result import Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.connection_pool import (
    ConnectionPool,
    keep_alive_ms,
)
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.wire import Grant, RunEnd

__all__ = ('EngineConnection',)

# Engines are milliseconds away. If connecting takes longer, a packet was lost
# or the machine is down, and another engine is quicker.
CONNECT_TIMEOUT_MS: Final = 400
# How long a machine may take to acknowledge a request. A pooled connection to a
# machine that lost power shows no other sign of the failure. One lost packet is
# resent within 200 ms, and a second time after 400 ms more.
ACK_TIMEOUT_MS: Final = 600
# Ends of a run whose response has been read completely.
_COMPLETE: Final = frozenset((RunEnd.ANSWERED, RunEnd.ERRORED))


class EngineConnection:
    """A pooled or new connection, returned to the pool where possible."""

    def __init__(self, pool: ConnectionPool, *, is_repeatable: bool) -> None:
        """Initialize; no connection is opened yet.

        :param pool: the pool of idle connections.
        :param is_repeatable: whether the request may run twice. Only then is a
            pooled connection used, since it may break as the request is
            written.
        """
        self.connection: ClientConnection | None = None
        self._pool = pool
        self._is_repeatable = is_repeatable
        self._engine = ''
        self._was_pooled = False
        self._max_idle_ms = 0.0

    async def async_open(
        self,
        grant: Grant,
    ) -> Result[ClientConnection, ConnectFailed]:
        """Take a connection to the granted engine from the pool or open one."""
        self._engine = grant.upstream
        pooled = None
        if self._is_repeatable:
            pooled = await self._pool.async_acquire(grant.upstream)
        self._was_pooled = pooled is not None
        if pooled is not None:
            self.connection = pooled
            return Ok(pooled)
        # A request that may not run twice can't be sent to another engine. It
        # gets no limit for the acknowledgement, because its engine may still
        # respond once a network interruption has ended.
        opened = await ClientConnection.async_open(
            Address.from_text(grant.address),
            timeout_ms=CONNECT_TIMEOUT_MS,
            ack_timeout_ms=ACK_TIMEOUT_MS if self._is_repeatable else 0,
        )
        if isinstance(opened, Ok):
            self.connection = opened.ok_value
        return opened

    def record_keep_alive(self, head: HttpResponse) -> None:
        """Record how long the engine will keep the connection open."""
        self._max_idle_ms = keep_alive_ms(head.headers)

    async def async_close(self, end: RunEnd) -> None:
        """Return the connection to the pool, or close it.

        It goes back to the pool if its response is complete. Otherwise it is
        closed, and the engine cancels a run that has not ended.

        :param end: how the run ended.
        """
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        if end in _COMPLETE:
            await self._pool.async_release(
                self._engine, connection, self._max_idle_ms
            )
            return
        await connection.async_close()
        if self._was_pooled and end == RunEnd.FAILED:
            await self._pool.async_close_engine(self._engine)
