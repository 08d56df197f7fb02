"""Client of the platform's store, with the scheduler's own types."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import quote, urlencode

import structlog
from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.const import ENCODING
from hornbeamdeck.platform.documents import parse_engine
from hornbeamdeck.platform.wire_names import (
    KIND_CONFIGURATION,
    KIND_ENGINES,
    KIND_INSTANCES,
    NAME_CONFIGURATION,
    PATH_OBJECTS,
)
from hornbeamdeck.process.membership import InstanceStatus
from hornbeamdeck.process.store_interface import (
    ConfigurationRead,
    EngineChange,
    EnginesRead,
    StoreInterface,
)

__all__ = ('open_store',)

_LOGGER = structlog.get_logger(prefix='store')

# The store responds within milliseconds, or a few hundred when it is slow.
CALL_TIMEOUT_MS: Final = 900
# How long a watch may take beyond the wait time that it requests. A watch that
# hangs delays the revocation of keys, so it times out sooner than a read.
WATCH_GRACE_MS: Final = 400
# Upper limit of pages read for one list. A page has about 500 entries.
MAX_PAGES: Final = 100


class _ObjectList(NamedTuple):
    """All objects of a kind, and the revision to watch from.

    :param revision: the store's revision when the first page was read.
    """

    revision: int
    entries: list[Any]


class _Store:
    """Calls to the store.

    Every failure counts as an outage and is returned as `StoreUnavailable`.
    Only a watch from a revision that is too old returns `WatchGap`.
    """

    def __init__(
        self,
        address: Address,
        count_call: Callable[[str], None],
    ) -> None:
        self._calls = StoreCalls(address, count=count_call)

    async def async_read_configuration(
        self,
    ) -> Result[ConfigurationRead, StoreUnavailable]:
        """Read the current configuration."""
        path = f'{PATH_OBJECTS}/{KIND_CONFIGURATION}/{NAME_CONFIGURATION}'
        fetched = await self._async_get(path, {}, role='configuration')
        if isinstance(fetched, Err):
            return fetched
        if fetched.ok_value.status == HTTPStatus.NOT_FOUND:
            return Ok(ConfigurationRead(0, None))
        return _parse_body(fetched.ok_value).map(_to_configuration)

    async def async_watch_configuration(
        self,
        since: int,
        wait_ms: int,
    ) -> Result[ConfigurationRead, StoreUnavailable | WatchGap]:
        """Wait for a newer configuration.

        :param since: the revision that the caller has.
        :returns: a read without a document if none came within `wait_ms`.
        """
        watched = await self._async_watch(KIND_CONFIGURATION, since, wait_ms)
        if isinstance(watched, Err):
            return watched
        found = [
            event['object']
            for event in watched.ok_value['events']
            if not event['removed']
            and _object_name(event['object']) == NAME_CONFIGURATION
        ]
        if not found:
            return Ok(ConfigurationRead(since, None))
        return Ok(_to_configuration(found[-1]))

    async def async_list_engines(
        self,
    ) -> Result[EnginesRead, StoreUnavailable]:
        """Read the entries of all engines."""
        listed = await self._async_list(KIND_ENGINES)
        if isinstance(listed, Err):
            return listed
        changes = tuple(map(_to_change, listed.ok_value.entries))
        return Ok(EnginesRead(listed.ok_value.revision, changes))

    async def async_watch_engines(
        self,
        since: int,
        wait_ms: int,
    ) -> Result[EnginesRead, StoreUnavailable | WatchGap]:
        """Wait for changed or removed entries of engines."""
        watched = await self._async_watch(KIND_ENGINES, since, wait_ms)
        if isinstance(watched, Err):
            return watched
        changes = [
            EngineChange(_object_name(event['object']), None)
            if event['removed']
            else _to_change(event['object'])
            for event in watched.ok_value['events']
        ]
        return Ok(EnginesRead(watched.ok_value['at'], tuple(changes)))

    async def async_list_instances(
        self,
    ) -> Result[tuple[InstanceStatus, ...], StoreUnavailable]:
        """Read the published statuses of all instances."""
        listed = await self._async_list(KIND_INSTANCES)
        if isinstance(listed, Err):
            return listed
        statuses = map(_to_status, listed.ok_value.entries)
        return Ok(tuple(each for each in statuses if each is not None))

    async def async_write_status(
        self,
        status: InstanceStatus,
    ) -> Result[None, StoreUnavailable]:
        """Write the own status and replace that of an earlier incarnation."""
        body = {
            'metadata': {'name': status.instance_id},
            'spec': json.loads(status.to_text()),
        }
        path = f'{PATH_OBJECTS}/{KIND_INSTANCES}'
        created = await self._async_write('POST', path, body)
        if isinstance(created, Err):
            return created
        if created.ok_value.status != HTTPStatus.CONFLICT:
            return _check_written(created.ok_value)
        own_path = f'{path}/{quote(status.instance_id)}'
        replaced = await self._async_write('PUT', own_path, body)
        if isinstance(replaced, Err):
            return replaced
        return _check_written(replaced.ok_value)

    async def async_delete_status(
        self,
        status: InstanceStatus,
    ) -> Result[None, StoreUnavailable]:
        """Delete the own status."""
        path = f'{PATH_OBJECTS}/{KIND_INSTANCES}/{quote(status.instance_id)}'
        deleted = await self._async_write('DELETE', path, None)
        if isinstance(deleted, Err):
            return deleted
        return _check_written(deleted.ok_value)

    async def _async_list(
        self,
        kind: str,
    ) -> Result[_ObjectList, StoreUnavailable]:
        """Read all pages of a list.

        The pages are not one snapshot. The returned revision is that of the
        first page, so a watch from there also returns every change that was
        made between two pages.
        """
        entries: list[Any] = []
        query: dict[str, str] = {}
        revision = 0
        for _ in range(MAX_PAGES):
            path = f'{PATH_OBJECTS}/{kind}'
            fetched = await self._async_get(path, query, role=kind)
            if isinstance(fetched, Err):
                return fetched
            page = _parse_body(fetched.ok_value)
            if isinstance(page, Err):
                return page
            entries += page.ok_value['entries']
            revision = revision or page.ok_value['at']
            if not page.ok_value['has_more'] or not page.ok_value['entries']:
                break
            query = {'after': _object_name(entries[-1])}
        return Ok(_ObjectList(revision, entries))

    async def _async_watch(
        self,
        kind: str,
        since: int,
        wait_ms: int,
    ) -> Result[Any, StoreUnavailable | WatchGap]:
        fetched = await self._async_get(
            f'{PATH_OBJECTS}/{kind}',
            {'watch': str(since), 'wait_ms': str(wait_ms)},
            role=f'watch {kind}',
            timeout_ms=wait_ms + WATCH_GRACE_MS,
        )
        if isinstance(fetched, Err):
            return fetched
        if fetched.ok_value.status == HTTPStatus.GONE:
            return Err(WatchGap())
        return _parse_body(fetched.ok_value)

    async def _async_get(
        self,
        path: str,
        query: dict[str, str],
        *,
        role: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[HttpResponse, StoreUnavailable]:
        request = HttpRequest('GET', path, urlencode(query), {}, b'')
        return await self._calls.async_call(
            request,
            role=role,
            timeout_ms=timeout_ms,
        )

    async def _async_write(
        self,
        method: str,
        path: str,
        body: Any,
    ) -> Result[HttpResponse, StoreUnavailable]:
        encoded = b'' if body is None else json.dumps(body).encode(ENCODING)
        headers = {'content-type': 'application/json'}
        return await self._calls.async_call(
            HttpRequest(method, path, '', headers, encoded),
            role=KIND_INSTANCES,
            timeout_ms=CALL_TIMEOUT_MS,
        )


def open_store(
    address: Address,
    count_call: Callable[[str], None],
) -> StoreInterface:
    """Create the calls to a store. No connection is opened yet.

    :param count_call: called with the role of each call.
    """
    store = _Store(address, count_call)
    return StoreInterface(
        read_configuration=store.async_read_configuration,
        watch_configuration=store.async_watch_configuration,
        list_engines=store.async_list_engines,
        watch_engines=store.async_watch_engines,
        list_instances=store.async_list_instances,
        write_status=store.async_write_status,
        delete_status=store.async_delete_status,
    )


def _parse_body(response: HttpResponse) -> Result[Any, StoreUnavailable]:
    if response.status != HTTPStatus.OK:
        return Err(StoreUnavailable(f'status {response.status}'))
    try:
        return Ok(json.loads(response.body))
    except ValueError as error:
        return Err(StoreUnavailable(f'malformed response: {error!r}'))


def _check_written(response: HttpResponse) -> Result[None, StoreUnavailable]:
    if response.status >= HTTPStatus.MULTIPLE_CHOICES:
        return Err(StoreUnavailable(f'status {response.status}'))
    return Ok(None)


def _to_configuration(stored: Any) -> ConfigurationRead:
    spec = json.dumps(stored['spec'])
    return ConfigurationRead(stored['metadata']['revision'], spec)


def _object_name(stored: Any) -> str:
    return str(stored['metadata']['name'])


def _to_status(stored: Any) -> InstanceStatus | None:
    try:
        return InstanceStatus.from_text(json.dumps(stored['spec']))
    except (ValueError, LookupError, TypeError) as error:
        _LOGGER.info('entry ignored', instance=stored, cause=repr(error))
        return None


def _to_change(stored: Any) -> EngineChange:
    name = _object_name(stored)
    spec = stored.get('spec')
    if isinstance(spec, dict) and 'born' not in spec and 'born' in stored:
        spec = {**spec, 'born': stored['born']}
    return EngineChange(name, parse_engine(name, spec))
