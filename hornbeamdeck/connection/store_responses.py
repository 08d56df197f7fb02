"""Types of the store's responses, and their parsers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple, TypeAlias, TypeVar

from result import Err, Ok, Result

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.json_text import parse_json
from hornbeamdeck.connection.store_revision import StoreRevision

__all__ = (
    'ListedInstance',
    'StoreUnavailable',
    'StoreError',
    'StoredObject',
    'VersionConflict',
    'WatchResponse',
    'WatchGap',
    'parse_response',
    'parse_instances',
    'parse_objects',
    'parse_object',
    'parse_written_version',
)

_CONFLICT_STATUSES: Final = frozenset(
    (HTTPStatus.NOT_FOUND, HTTPStatus.PRECONDITION_FAILED),
)

_Parsed = TypeVar('_Parsed')


class StoreUnavailable(NamedTuple):
    """No usable response; a write may have taken effect nevertheless."""

    cause: str


class VersionConflict(NamedTuple):
    """The condition of a write was not met, so it took no effect."""


StoreError: TypeAlias = StoreUnavailable | VersionConflict


class WatchGap(NamedTuple):
    """The store no longer holds all changes since a revision."""


class StoredObject(NamedTuple):
    """An object in the store; `body` is `None` after a deletion.

    :param version: orders the object's contents. Where the store counts the
        versions, that is the packed `StoreRevision` of its last change.
    """

    key: str
    version: int
    body: str | None


class WatchResponse(NamedTuple):
    """Listed or changed objects, and the revision to watch from next."""

    revision: StoreRevision
    changes: tuple[StoredObject, ...]


class ListedInstance(NamedTuple):
    """An entry of the store's instance list, which lags."""

    address: str
    state: str


def parse_response(
    response: Result[HttpResponse, StoreUnavailable],
    parse: Callable[[Any], _Parsed],
) -> Result[_Parsed, StoreUnavailable]:
    """Parse the JSON body of a response.

    :param parse: builds the result from the parsed JSON.

    A malformed response is an error like a missing one. An exception would end
    the tasks that follow the store, and the process would go on with stale
    state.
    """
    if isinstance(response, Err):
        return response
    if response.ok_value.status != HTTPStatus.OK:
        return Err(StoreUnavailable(f'status {response.ok_value.status}'))
    try:
        return Ok(parse(parse_json(response.ok_value.body)))
    except (ValueError, LookupError, TypeError) as error:
        return Err(StoreUnavailable(f'malformed response: {error!r}'))


def parse_written_version(
    written: Result[HttpResponse, StoreUnavailable],
    era: int,
) -> Result[int, StoreError]:
    """Parse the version that a conditional write returned.

    :param era: of the store that wrote it.
    """
    status = written.map_or(0, lambda response: response.status)
    if status in _CONFLICT_STATUSES:
        return Err(VersionConflict())
    return parse_response(
        written, lambda raw: StoreRevision(era, raw['version']).packed
    )


def parse_object(raw: Any, era: int) -> StoredObject:
    """Parse one object that was read in an era of the store."""
    version = StoreRevision(era, raw['version']).packed
    return StoredObject(raw['key'], version, raw['body'])


def parse_objects(raw: Any, field: str, era: int) -> WatchResponse:
    """Parse a list of objects, or the changes that a watch returned.

    :param field: name of the list.
    """
    return WatchResponse(
        StoreRevision(era, raw['revision']),
        tuple(parse_object(each, era) for each in raw[field]),
    )


def parse_instances(raw: Any) -> tuple[ListedInstance, ...]:
    """Parse the list of live and draining instances."""
    return tuple(
        ListedInstance(entry['address'], entry['state'])
        for entry in raw['instances']
    )
