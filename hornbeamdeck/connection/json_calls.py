"""Calls to a store whose bodies are JSON."""

import json
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from result import Err, Ok, Result

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.json_text import is_whole, parse_json
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_responses import StoreUnavailable
from hornbeamdeck.connection.store_revision import NUMBER_BITS, StoreRevision
from hornbeamdeck.const import ENCODING

__all__ = (
    'JsonCalls',
    'JsonContent',
    'check_written',
    'is_revision',
    'parse_body',
    'parse_fields',
    'parse_stored',
)

# The store responds within milliseconds, or a few hundred when it is slow.
CALL_TIMEOUT_MS: Final = 900
MAX_REVISION: Final = (1 << NUMBER_BITS) - 1


def is_revision(found: Any) -> bool:
    """Return whether a value is a revision of a store."""
    return is_whole(found, MAX_REVISION)


# Unhashable values must be comparable, too.
_REMOVALS: Final = (None, False, True)


def _is_list(found: Any) -> bool:
    return isinstance(found, list)


def _is_list_of_events(found: Any) -> bool:
    """Return whether it is clear of each object whether it was removed."""
    return _is_list(found) and all(
        event.get('removed') in _REMOVALS
        for event in found
        if isinstance(event, dict)
    )


# What the fields of responses are, where they are required.
_CHECKS: Final = MappingProxyType(
    {'entries': _is_list, 'events': _is_list_of_events, 'at': is_revision}
)


class JsonContent(NamedTuple):
    """What the store holds at a path.

    :param era: of the store; 0 if it names none.
    :param found: `None`: there is nothing.
    """

    era: int
    found: Any


class JsonCalls:
    """Reads and writes paths; every failure counts as an outage."""

    def __init__(self, calls: StoreCalls) -> None:
        """Use these calls."""
        self.unusable = calls.unusable
        self._calls = calls
        self._era = calls.era

    def era_of(self, response: HttpResponse) -> int:
        """Return the era that a response names; 0 if it names none."""
        return self._era.of(response)

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

    async def async_read(
        self, path: str, query: dict[str, str], *, role: str
    ) -> Result[JsonContent, StoreUnavailable]:
        """Read and parse what is at a path."""
        fetched = await self.async_get(path, query, role=role)
        return fetched.and_then(self._parse_content)

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

    async def async_write_on_condition(
        self,
        method: str,
        path: str,
        body: Any,
        *,
        revision: StoreRevision | None,
        role: str,
    ) -> Result[JsonContent, StoreUnavailable]:
        """Write what is at a path if the store's condition holds.

        After a conflict, the returned content is what another process wrote.

        :param revision: on which the write depends; `None`: nothing must exist
            yet. One of an earlier era may stand for other contents by now.
        """
        if revision is not None and revision.era != self._era.current:
            return Err(StoreUnavailable('the store was restored since'))
        written = await self.async_write(method, path, body, role=role)
        return written.and_then(self._parse_content)

    def _parse_content(
        self, response: HttpResponse
    ) -> Result[JsonContent, StoreUnavailable]:
        era = self.era_of(response)
        return parse_stored(response).map(lambda found: JsonContent(era, found))


def check_written(
    response: HttpResponse,
) -> Result[HttpResponse, StoreUnavailable]:
    """Return the response to a write; one without success is an outage."""
    if response.status >= HTTPStatus.MULTIPLE_CHOICES:
        return Err(StoreUnavailable(f'status {response.status}'))
    return Ok(response)


def parse_body(response: HttpResponse) -> Result[Any, StoreUnavailable]:
    """Parse a successful response; any other counts as an outage."""
    if response.status != HTTPStatus.OK:
        return Err(StoreUnavailable(f'status {response.status}'))
    try:
        return Ok(parse_json(response.body))
    except ValueError as error:
        return Err(StoreUnavailable(f'malformed response: {error!r}'))


def parse_fields(
    fetched: Result[HttpResponse, StoreUnavailable], *required: str
) -> Result[dict[str, Any], StoreUnavailable]:
    """Parse a response whose body has these fields.

    Any other counts as an outage. An exception would end the tasks that follow
    the store.
    """
    names = set(required)
    parsed = fetched.and_then(parse_body)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    if not isinstance(body, dict) or not body.keys() >= names:
        return Err(StoreUnavailable('malformed response: fields are missing'))
    checked = names & _CHECKS.keys()
    if all(_CHECKS[name](body[name]) for name in checked):
        return Ok(body)
    return Err(StoreUnavailable('malformed response: fields of other types'))


def parse_stored(response: HttpResponse) -> Result[Any, StoreUnavailable]:
    """Parse what a read, or a write on condition, has found.

    :returns: `None`: there is nothing.
    """
    if response.status == HTTPStatus.NOT_FOUND:
        return Ok(None)
    if response.status == HTTPStatus.CONFLICT:
        response = response._replace(status=HTTPStatus.OK)
    return parse_body(response)
