"""Client of the platform; `platform_wire` reads its answers."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.platform_calls import (
    DEFAULT_TIMEOUT_MS,
    PlatformCalls,
)
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


class PlatformClient:
    """Calls the object API over a few kept connections.

    :param role: which part calls, for the budget metric.
    """

    def __init__(
        self,
        address: Address,
        *,
        calls: Callable[[str], None] | None = None,
    ) -> None:
        """Remember where the platform is; nothing is opened yet.

        :param calls: called with the role of each call, to count it.
        """
        self._calls = PlatformCalls(address, count=calls)

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
        await self._calls.async_close()

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
        sent_headers = {**(headers or {}), 'hornbeamdeck-role': role}
        request = HttpRequest(method, path, query, sent_headers, body)
        return await self._calls.async_call(
            request,
            role=role,
            timeout_ms=timeout_ms,
        )
