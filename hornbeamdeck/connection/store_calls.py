"""Calls to the store over a few pooled connections.

Each call has a time limit, which covers sending, and the default
`ResponseLimits`: 64 KB of heads, 8 interim responses, 4 MB of body and 128 KB
of its framing. A call that exceeds one counts as an outage.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.connection.store_responses import StoreUnavailable
from hornbeamdeck.connection.unusable_entries import UnusableEntries

__all__ = ('DEFAULT_TIMEOUT_MS', 'StoreCalls')

DEFAULT_TIMEOUT_MS: Final = 2000
MAX_IDLE_CONNECTIONS: Final = 4


class StoreCalls:
    """Makes calls in any wire format; every failure counts as an outage."""

    def __init__(
        self,
        address: Address,
        era: StoreEra,
        *,
        count: Callable[[str], None] | None = None,
        count_unusable: Callable[[str], None] | None = None,
    ) -> None:
        """Set the address; no connection is opened yet.

        :param era: updated with each response.
        :param count: called with the role of each call, to count it.
        :param count_unusable: called with the kind of each entry that can't be
            used, to count it.
        """
        self.era = era
        self._address = address
        self.unusable = UnusableEntries(count_unusable)
        self._count = count
        self._idle: list[ClientConnection] = []

    async def async_call(
        self,
        request: HttpRequest,
        *,
        role: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Result[HttpResponse, StoreUnavailable]:
        """Make one call.

        :param role: component that makes the call; label of the metric that
            counts calls against their budget.
        :param timeout_ms: time limit for the complete call, milliseconds.
        """
        if self._count is not None:
            self._count(role)
        try:
            return await async_with_timeout(
                timeout_ms,
                self._async_exchange(request),
            )
        except TaskTimeout:
            return Err(StoreUnavailable('no response within the time limit'))

    async def async_close(self) -> None:
        """Close the pooled connections."""
        while self._idle:
            await self._idle.pop().async_close()

    async def _async_exchange(
        self,
        request: HttpRequest,
    ) -> Result[HttpResponse, StoreUnavailable]:
        connection = await self._async_acquire_connection()
        if isinstance(connection, Err):
            return connection
        is_reusable = False
        try:
            response = await connection.ok_value.async_fetch(request)
            is_reusable = connection.ok_value.is_reusable
        finally:
            # After a cancelled or failed call the connection is closed: a late
            # response could otherwise be read as that of the next call.
            await self._async_release_connection(
                connection.ok_value,
                is_reusable=is_reusable,
            )
        if isinstance(response, Err):
            return Err(StoreUnavailable(response.err_value.cause))
        if self.era.record(response.ok_value) < self.era.current:
            return Err(StoreUnavailable('answered before the store came back'))
        if response.ok_value.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Err(StoreUnavailable(f'status {response.ok_value.status}'))
        return Ok(response.ok_value)

    async def _async_acquire_connection(
        self,
    ) -> Result[ClientConnection, StoreUnavailable]:
        if self._idle:
            return Ok(self._idle.pop())
        opened = await ClientConnection.async_open(
            self._address,
            timeout_ms=DEFAULT_TIMEOUT_MS,
        )
        return opened.map_err(lambda failed: StoreUnavailable(failed.cause))

    async def _async_release_connection(
        self,
        connection: ClientConnection,
        *,
        is_reusable: bool,
    ) -> None:
        if is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
            return
        await connection.async_close()
