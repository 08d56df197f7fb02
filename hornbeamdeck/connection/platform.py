"""Client of the platform; `platform_wire` reads its answers."""

from http import HTTPStatus
from typing import Final
from urllib.parse import quote, urlencode

from curio.errors import TaskTimeout
from prometheus_client import Counter
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.platform_wire import (
    ListedInstance,
    PlatformDown,
    PlatformError,
    StoredObject,
    VersionConflict,
    WatchAnswer,
    WatchGap,
    parsed,
    to_instances,
    to_listed,
    to_seen,
    to_stored,
    written_version,
)
from hornbeamdeck.const import ENCODING

__all__ = (
    'ListedInstance',
    'PlatformClient',
    'PlatformDown',
    'PlatformError',
    'StoredObject',
    'VersionConflict',
    'WatchAnswer',
    'WatchGap',
)

DEFAULT_TIMEOUT_MS: Final = 2000
MAX_IDLE: Final = 4


class PlatformClient:
    """Calls the object API over a few kept connections.

    :param role: which part calls, for the budget metric.
    """

    def __init__(
        self,
        address: Address,
        *,
        calls: Counter | None = None,
    ) -> None:
        """Remember where the platform is; nothing is opened yet.

        :param calls: counts the calls by role, where somebody wants to know.
        """
        self._address = address
        self._calls = calls
        self._idle: list[ClientConnection] = []

    async def async_get(
        self,
        key: str,
        *,
        role: str,
    ) -> Result[StoredObject | None, PlatformDown]:
        """Read an object; `None` where there is none."""
        got = await self._async_call(
            'GET',
            f'/objects/{quote(key)}',
            role=role,
        )
        if isinstance(got, Ok) and got.ok_value.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        return parsed(got, to_stored)

    async def async_put(
        self,
        key: str,
        body: str,
        *,
        expected: int | None,
        role: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Result[int, PlatformError]:
        """Write an object on a condition; gives its new version.

        :param expected: the version to replace; `None`: must not exist.
        """
        condition = {'if-none-match': '*'}
        if expected is not None:
            condition = {'if-match': str(expected)}
        written = await self._async_call(
            'PUT',
            f'/objects/{quote(key)}',
            role=role,
            headers=condition,
            body=body.encode(ENCODING),
            timeout_ms=timeout_ms,
        )
        return written_version(written)

    async def async_delete(
        self,
        key: str,
        *,
        expected: int,
        role: str,
    ) -> Result[int, PlatformError]:
        """Delete an object if it still has the expected version."""
        deleted = await self._async_call(
            'DELETE',
            f'/objects/{quote(key)}',
            role=role,
            headers={'if-match': str(expected)},
        )
        return written_version(deleted)

    async def async_list(
        self,
        prefix: str,
        *,
        role: str,
    ) -> Result[WatchAnswer, PlatformDown]:
        """Read all objects under a prefix."""
        query = urlencode({'prefix': prefix})
        got = await self._async_call('GET', '/objects', query=query, role=role)
        return parsed(got, to_listed)

    async def async_watch(
        self,
        prefix: str,
        *,
        since: int,
        role: str,
        wait_ms: int,
    ) -> Result[WatchAnswer, PlatformDown | WatchGap]:
        """Wait for changes under a prefix after a revision.

        :param wait_ms: how long the platform holds the call, milliseconds.
        """
        query = urlencode(
            {'prefix': prefix, 'since': since, 'timeout_ms': wait_ms},
        )
        got = await self._async_call(
            'GET',
            '/watch',
            query=query,
            role=role,
            timeout_ms=wait_ms + DEFAULT_TIMEOUT_MS,
        )
        if isinstance(got, Ok) and got.ok_value.status == HTTPStatus.GONE:
            return Err(WatchGap())
        return parsed(got, to_seen)

    async def async_instances(
        self,
        *,
        role: str,
    ) -> Result[tuple[ListedInstance, ...], PlatformDown]:
        """Read the lagging list of live and leaving instances."""
        got = await self._async_call('GET', '/instances', role=role)
        return parsed(got, to_instances)

    async def async_close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().async_close()

    async def _async_call(
        self,
        method: str,
        path: str,
        *,
        role: str,
        query: str = '',
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Result[HttpResponse, PlatformDown]:
        if self._calls is not None:
            self._calls.labels(role=role).inc()
        sent_headers = {**(headers or {}), 'hornbeamdeck-role': role}
        request = HttpRequest(method, path, query, sent_headers, body)
        try:
            return await async_within(
                timeout_ms,
                self._async_exchange(request),
            )
        except TaskTimeout:
            return Err(PlatformDown('no answer in time'))

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
