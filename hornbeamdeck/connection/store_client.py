"""Client of the store; `store_responses` parses the responses."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.store_calls import (
    DEFAULT_TIMEOUT_MS,
    StoreCalls,
)
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.connection.store_responses import (
    ListedInstance,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    WatchGap,
    WatchResponse,
    parse_instances,
    parse_object,
    parse_objects,
    parse_response,
    parse_written_version,
)
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import ENCODING

__all__ = (
    'HEADER_ERA',
    'ListedInstance',
    'PlatformClient',
    'StoreUnavailable',
    'StoreError',
    'StoredObject',
    'VersionConflict',
    'WatchResponse',
    'WatchGap',
)

HEADER_ERA: Final = 'store-era'


class PlatformClient:
    """Calls the store's object API over a few pooled connections.

    The `role` of each call is the component that makes it. It labels the
    metric that counts calls against their budget.
    """

    def __init__(
        self,
        address: Address,
        *,
        calls: Callable[[str], None] | None = None,
    ) -> None:
        """Set the address; no connection is opened yet.

        :param calls: called with the role of each call, to count it.
        """
        self._calls = StoreCalls(address, StoreEra(HEADER_ERA), count=calls)

    @property
    def era(self) -> int:
        """Newest era that the store has named; see `StoreEra`."""
        return self._calls.era.current

    async def async_get(
        self,
        key: str,
        *,
        role: str,
    ) -> Result[StoredObject | None, StoreUnavailable]:
        """Read an object; `None` if it does not exist."""
        response = await self._async_call(
            'GET',
            f'/objects/{quote(key)}',
            role=role,
        )
        if (
            isinstance(response, Ok)
            and response.ok_value.status == HTTPStatus.NOT_FOUND
        ):
            return Ok(None)
        era = self._era_of(response)
        return parse_response(response, lambda raw: parse_object(raw, era))

    async def async_put(
        self,
        key: str,
        body: str,
        *,
        expected: int | None,
        role: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Result[int, StoreError]:
        """Write an object if it has the expected version.

        :param expected: version to replace; `None`: the object must not exist.
        :returns: the new version.
        """
        condition = {'if-none-match': '*'}
        if expected is not None:
            revision = StoreRevision.from_packed(expected)
            if revision.era != self.era:
                return Err(VersionConflict())
            condition = {'if-match': str(revision.number)}
        written = await self._async_call(
            'PUT',
            f'/objects/{quote(key)}',
            role=role,
            headers=condition,
            body=body.encode(ENCODING),
            timeout_ms=timeout_ms,
        )
        return parse_written_version(written, self._era_of(written))

    async def async_delete(
        self,
        key: str,
        *,
        expected: int,
        role: str,
    ) -> Result[int, StoreError]:
        """Delete an object if it has the expected version."""
        revision = StoreRevision.from_packed(expected)
        if revision.era != self.era:
            return Err(VersionConflict())
        deleted = await self._async_call(
            'DELETE',
            f'/objects/{quote(key)}',
            role=role,
            headers={'if-match': str(revision.number)},
        )
        return parse_written_version(deleted, self._era_of(deleted))

    async def async_list(
        self,
        prefix: str,
        *,
        role: str,
    ) -> Result[WatchResponse, StoreUnavailable]:
        """Read all objects whose keys have a prefix."""
        query = urlencode({'prefix': prefix})
        response = await self._async_call(
            'GET', '/objects', query=query, role=role
        )
        era = self._era_of(response)
        return parse_response(
            response, lambda raw: parse_objects(raw, 'found', era)
        )

    async def async_watch(
        self,
        prefix: str,
        *,
        since: StoreRevision,
        role: str,
        wait_ms: int,
    ) -> Result[WatchResponse, StoreUnavailable | WatchGap]:
        """Wait for changes under a key prefix after a revision.

        :param since: revision after which changes are returned.
        :param wait_ms: how long the store holds the call open, milliseconds.
        """
        query = urlencode(
            {'prefix': prefix, 'since': since.number, 'timeout_ms': wait_ms},
        )
        response = await self._async_call(
            'GET',
            '/watch',
            query=query,
            role=role,
            timeout_ms=wait_ms + DEFAULT_TIMEOUT_MS,
        )
        if isinstance(response, Ok) and (
            response.ok_value.status == HTTPStatus.GONE
            or self._era_of(response) != since.era
        ):
            return Err(WatchGap())
        return parse_response(
            response, lambda raw: parse_objects(raw, 'events', since.era)
        )

    async def async_instances(
        self,
        *,
        role: str,
    ) -> Result[tuple[ListedInstance, ...], StoreUnavailable]:
        """Read the store's list of live and draining instances; it lags."""
        response = await self._async_call('GET', '/instances', role=role)
        return parse_response(response, parse_instances)

    async def async_close(self) -> None:
        """Close the pooled connections."""
        await self._calls.async_close()

    def _era_of(self, response: Result[HttpResponse, StoreUnavailable]) -> int:
        return response.map_or(0, self._calls.era.of)

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
    ) -> Result[HttpResponse, StoreUnavailable]:
        all_headers = {**(headers or {}), 'hornbeamdeck-role': role}
        request = HttpRequest(method, path, query, all_headers, body)
        return await self._calls.async_call(
            request,
            role=role,
            timeout_ms=timeout_ms,
        )
