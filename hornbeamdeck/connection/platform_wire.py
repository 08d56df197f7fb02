"""The platform's answers: what they mean and how they are read."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple, TypeAlias, TypeVar

from result import Err, Ok, Result

from hornbeamdeck.connection.http import HttpResponse

__all__ = (
    'ListedInstance',
    'PlatformDown',
    'PlatformError',
    'StoredObject',
    'VersionConflict',
    'WatchAnswer',
    'WatchGap',
    'parsed',
    'to_instances',
    'to_listed',
    'to_seen',
    'to_stored',
    'written_version',
)

_CONDITION_FAILED: Final = frozenset(
    (HTTPStatus.NOT_FOUND, HTTPStatus.PRECONDITION_FAILED),
)

_Parsed = TypeVar('_Parsed')


class PlatformDown(NamedTuple):
    """No usable answer came; a write may have taken effect all the same."""

    cause: str


class VersionConflict(NamedTuple):
    """The condition of a write did not hold, so it took no effect."""


PlatformError: TypeAlias = PlatformDown | VersionConflict


class WatchGap(NamedTuple):
    """The platform no longer holds all changes since a revision."""


class StoredObject(NamedTuple):
    """An object of the platform; `body` is absent where it was deleted."""

    key: str
    version: int
    body: str | None


class WatchAnswer(NamedTuple):
    """Changes after a revision, and the revision to ask from next."""

    revision: int
    changes: tuple[StoredObject, ...]


class ListedInstance(NamedTuple):
    """An entry of the platform's lagging instance list."""

    address: str
    state: str


def parsed(
    got: Result[HttpResponse, PlatformDown],
    parse: Callable[[Any], _Parsed],
) -> Result[_Parsed, PlatformDown]:
    """Read an answer's JSON.

    What is malformed counts as no answer: the parts that follow the platform
    for ever would otherwise die of one, and the process go on with old state.
    """
    if isinstance(got, Err):
        return got
    if got.ok_value.status != HTTPStatus.OK:
        return Err(PlatformDown(f'status {got.ok_value.status}'))
    try:
        return Ok(parse(json.loads(got.ok_value.body)))
    except (ValueError, LookupError, TypeError) as error:
        return Err(PlatformDown(f'malformed answer: {error!r}'))


def written_version(
    written: Result[HttpResponse, PlatformDown],
) -> Result[int, PlatformError]:
    """Read the version that a conditional write gave."""
    status = written.map_or(0, lambda response: response.status)
    if status in _CONDITION_FAILED:
        return Err(VersionConflict())
    return parsed(written, _to_version)


def _to_version(raw: Any) -> int:
    return int(raw['version'])


def to_stored(raw: Any) -> StoredObject:
    """Read one object."""
    return StoredObject(raw['key'], raw['version'], raw['body'])


def to_listed(raw: Any) -> WatchAnswer:
    """Read a list of objects."""
    return WatchAnswer(raw['revision'], tuple(map(to_stored, raw['found'])))


def to_seen(raw: Any) -> WatchAnswer:
    """Read the changes that a watch saw."""
    return WatchAnswer(raw['revision'], tuple(map(to_stored, raw['events'])))


def to_instances(raw: Any) -> tuple[ListedInstance, ...]:
    """Read the list of live and leaving instances."""
    return tuple(
        ListedInstance(each['address'], each['state'])
        for each in raw['instances']
    )
