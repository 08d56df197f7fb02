"""The connection to an engine that one attempt of a request uses."""

from collections.abc import Awaitable, Callable
from typing import Final

from result import Ok, Result

from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.connection_pool import (
    ConnectionPool,
    keep_alive_ms,
)
from hornbeamdeck.connection.http import HttpResponse, ends_with_connection
from hornbeamdeck.connection.unsent_output import async_is_reset
from hornbeamdeck.engines.engine_dialer import EngineDialer, Unreached
from hornbeamdeck.observability.gateway_metrics import GatewayMetrics
from hornbeamdeck.request.gateway_request import WithholdReason
from hornbeamdeck.wire import Grant, RunEnd

__all__ = ('EngineConnection', 'record_unreached')

# Ends of a run whose response has been read completely.
_COMPLETE: Final = frozenset((RunEnd.ANSWERED, RunEnd.ERRORED))
_BROKEN: Final = frozenset((RunEnd.FAILED, RunEnd.SILENT))


class EngineConnection:
    """A pooled or new connection, returned to the pool where possible."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialer: EngineDialer,
        *,
        is_repeatable: bool,
    ) -> None:
        """Initialize; no connection is opened yet.

        :param pool: the pool of idle connections.
        :param dialer: opens new connections.
        :param is_repeatable: whether the request may run twice. Only then is a
            pooled connection used, since it may break as the request is
            written.
        """
        self.connection: ClientConnection | None = None
        # The instance that the connection leads through; empty: none.
        self.relay = ''
        self._pool = pool
        self._dialer = dialer
        self._is_repeatable = is_repeatable
        self.grant: Grant | None = None
        self._was_pooled = False
        self._max_idle_ms = 0.0

    async def async_open(
        self, grant: Grant, deadline_ms: int
    ) -> Result[ClientConnection, Unreached]:
        """Take a connection to the granted engine from the pool or open one.

        :param deadline_ms: time left until the response is due.
        """
        self.grant = grant
        self.relay = ''
        pooled = None
        if self._is_repeatable and self._dialer.is_in_reach(grant.upstream):
            pooled = await self._pool.async_acquire(grant.upstream)
        self._was_pooled = pooled is not None
        if pooled is not None:
            self._use(pooled)
            return Ok(pooled)
        opened = await self._dialer.async_open(
            grant, is_repeatable=self._is_repeatable, deadline_ms=deadline_ms
        )
        if isinstance(opened, Ok):
            self._use(opened.ok_value.connection)
            self.relay = opened.ok_value.relay
        return opened.map(lambda link: link.connection)

    def record_keep_alive(self, head: HttpResponse) -> None:
        """Record how long the engine will keep the connection open."""
        self._max_idle_ms = keep_alive_ms(head.headers)

    async def async_is_whole(
        self,
        method: str,
        head: HttpResponse,
        is_running: Callable[[Grant], Awaitable[bool]],
    ) -> bool:
        """Return whether a response that has ended is whole.

        The connections of an engine that is killed end like a response without
        framing. So does one that is closed before all of the request has
        arrived, and reset when it does.

        :param method: of the request.
        :param is_running: finds out whether an engine still runs.
        """
        if self.grant is None or not ends_with_connection(method, head):
            return True
        connection = self.connection
        if connection is None or not await is_running(self.grant):
            return False
        return not await async_is_reset(connection.sock)

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
        connection.drop_account()
        if end in _COMPLETE and not self.relay:
            await self._pool.async_release(
                self._engine, connection, self._max_idle_ms
            )
            return
        await connection.async_close()
        if self._was_pooled and end in _BROKEN:
            await self._pool.async_close_engine(self._engine)

    def _use(self, connection: ClientConnection) -> None:
        self.connection = connection
        connection.open_account(self._dialer.open_response)

    @property
    def _engine(self) -> str:
        return self.grant.upstream if self.grant else ''


def record_unreached(
    unreached: Unreached, metrics: GatewayMetrics
) -> RunEnd | WithholdReason:
    """Count an attempt that has reached no engine.

    :returns: how it ended for the engine, or that it was not tried.
    """
    failed = unreached.failed
    if failed is not None:
        if failed.is_local:
            metrics.count_failed_connect('local')
            return WithholdReason.NO_SOCKET
        cause = 'timeout' if failed.is_timeout else 'refused'
        metrics.count_failed_connect(cause)
    if unreached.is_confirmed:
        return RunEnd.NOT_DISPATCHED
    return RunEnd.UNREACHABLE
