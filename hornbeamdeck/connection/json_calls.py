"""Calls to a store whose bodies are JSON."""

import json
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import urlencode

from result import Err, Ok, Result

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_responses import StoreUnavailable
from hornbeamdeck.const import ENCODING

__all__ = ('JsonCalls', 'parse_body', 'parse_written')

# The store responds within milliseconds, or a few hundred when it is slow.
CALL_TIMEOUT_MS: Final = 900


class JsonCalls:
    """Reads and writes paths; every failure counts as an outage."""

    def __init__(self, calls: StoreCalls) -> None:
        """Use these calls."""
        self._calls = calls

    async def async_get(
        self,
        path: str,
        query: dict[str, str],
        *,
        role: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[HttpResponse, StoreUnavailable]:
        """Read a path.

        :param role: component that makes the call, for the metric of calls.
        """
        request = HttpRequest('GET', path, urlencode(query), {}, b'')
        return await self._calls.async_call(
            request,
            role=role,
            timeout_ms=timeout_ms,
        )

    async def async_write(
        self,
        method: str,
        path: str,
        body: Any,
        *,
        role: str,
    ) -> Result[HttpResponse, StoreUnavailable]:
        """Create, replace or delete what is at a path.

        :param body: encoded as JSON; `None` for a call without a body.
        """
        encoded = b'' if body is None else json.dumps(body).encode(ENCODING)
        headers = {'content-type': 'application/json'}
        return await self._calls.async_call(
            HttpRequest(method, path, '', headers, encoded),
            role=role,
            timeout_ms=CALL_TIMEOUT_MS,
        )


def parse_body(response: HttpResponse) -> Result[Any, StoreUnavailable]:
    """Parse a successful response; any other counts as an outage."""
    if response.status != HTTPStatus.OK:
        return Err(StoreUnavailable(f'status {response.status}'))
    try:
        return Ok(json.loads(response.body))
    except ValueError as error:
        return Err(StoreUnavailable(f'malformed response: {error!r}'))


def parse_written(response: HttpResponse) -> Result[Any, StoreUnavailable]:
    """Parse the response to a write on condition.

    :returns: what is there afterwards; after a conflict that is what another
        process has written. `None`: there is nothing.
    """
    if response.status == HTTPStatus.NOT_FOUND:
        return Ok(None)
    if response.status == HTTPStatus.CONFLICT:
        response = response._replace(status=HTTPStatus.OK)
    return parse_body(response)
