"""Calls to the platform's service over a few kept connections."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.platform_wire import PlatformDown

__all__ = ('DEFAULT_TIMEOUT_MS', 'PlatformCalls')

DEFAULT_TIMEOUT_MS: Final = 2000
MAX_IDLE: Final = 4


class PlatformCalls:
    """Makes calls, whatever their wire form; every failure is an outage."""

    def __init__(
        self,
        address: Address,
        *,
        count: Callable[[str], None] | None = None,
    ) -> None:
        """Remember where the platform is; nothing is opened yet.

        :param count: called with the role of each call, to count it.
        """
        self._address = address
        self._count = count
        self._idle: list[ClientConnection] = []

    async def async_call(
        self,
        request: HttpRequest,
        *,
        role: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Result[HttpResponse, PlatformDown]:
        """Make one call.

        :param role: which part calls, for the budget metric.
        :param timeout_ms: longest wait for the whole answer, milliseconds.
        """
        if self._count is not None:
            self._count(role)
        try:
            return await async_within(
                timeout_ms,
                self._async_exchange(request),
            )
        except TaskTimeout:
            return Err(PlatformDown('no answer in time'))

    async def async_close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().async_close()

    async def _async_exchange(
        self,
        request: HttpRequest,
    ) -> Result[HttpResponse, PlatformDown]:
        connection = await self._async_connection()
        if isinstance(connection, Err):
            return connection
        keep = False
        try:
            got = await connection.ok_value.async_fetch(request)
            keep = connection.ok_value.may_reuse
        finally:
            # A call that was cancelled or failed leaves a connection on which
            # a late answer could be taken for the next call's, so it is closed.
            await self._async_put_back(connection.ok_value, keep=keep)
        if isinstance(got, Err):
            return Err(PlatformDown(got.err_value.cause))
        if got.ok_value.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Err(PlatformDown(f'status {got.ok_value.status}'))
        return Ok(got.ok_value)

    async def _async_connection(
        self,
    ) -> Result[ClientConnection, PlatformDown]:
        if self._idle:
            return Ok(self._idle.pop())
        opened = await ClientConnection.async_open(
            self._address,
            timeout_ms=DEFAULT_TIMEOUT_MS,
        )
        return opened.map_err(lambda failed: PlatformDown(failed.cause))

    async def _async_put_back(
        self,
        connection: ClientConnection,
        *,
        keep: bool,
    ) -> None:
        if keep and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
            return
        await connection.async_close()
