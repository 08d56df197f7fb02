"""Calls to the platform's store, in the product's types."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import quote, urlencode

import structlog
from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.platform import PlatformDown, WatchGap
from hornbeamdeck.connection.platform_calls import PlatformCalls
from hornbeamdeck.const import ENCODING
from hornbeamdeck.platform.documents import to_engine
from hornbeamdeck.platform.names import (
    KIND_CONFIGURATION,
    KIND_ENGINES,
    KIND_INSTANCES,
    NAME_CONFIGURATION,
    PATH_OBJECTS,
)
from hornbeamdeck.process.membership import InstanceStatus
from hornbeamdeck.process.store_access import (
    ConfigurationRead,
    EngineChange,
    EnginesRead,
    StoreAccess,
)

__all__ = ('open_store',)

_LOGGER = structlog.get_logger(prefix='store')

# The store answers in milliseconds; when slow, in a few hundred.
TIMEOUT_MS: Final = 900
# What a watch may take beyond the wait that it asks for. One that hangs holds
# up the news of keys taken away, so it is given up sooner than a read.
WATCH_GRACE_MS: Final = 400
# Pages of a list, each of about 500 entries.
MAX_PAGES: Final = 100


class _Listed(NamedTuple):
    """All objects of a kind, and the revision to watch from."""

    at: int
    entries: list[Any]


class _Store:
    """The store's calls; a failure of any kind is an outage."""

    def __init__(
        self,
        address: Address,
        count: Callable[[str], None],
    ) -> None:
        self._calls = PlatformCalls(address, count=count)

    async def async_read_configuration(
        self,
    ) -> Result[ConfigurationRead, PlatformDown]:
        """Read the document in force."""
        path = f'{PATH_OBJECTS}/{KIND_CONFIGURATION}/{NAME_CONFIGURATION}'
        got = await self._async_get(path, {}, role='configuration')
        if isinstance(got, Err):
            return got
        if got.ok_value.status == HTTPStatus.NOT_FOUND:
            return Ok(ConfigurationRead(0, None))
        return _parsed(got.ok_value).map(_to_configuration)

    async def async_watch_configuration(
        self,
        since: int,
        wait_ms: int,
    ) -> Result[ConfigurationRead, PlatformDown | WatchGap]:
        """Wait for a newer document."""
        seen = await self._async_watch(KIND_CONFIGURATION, since, wait_ms)
        if isinstance(seen, Err):
            return seen
        found = [
            event['object']
            for event in seen.ok_value['events']
            if not event['removed']
            and _name(event['object']) == NAME_CONFIGURATION
        ]
        if not found:
            return Ok(ConfigurationRead(since, None))
        return Ok(_to_configuration(found[-1]))

    async def async_list_engines(
        self,
    ) -> Result[EnginesRead, PlatformDown]:
        """Read all entries of engines."""
        listed = await self._async_list(KIND_ENGINES)
        if isinstance(listed, Err):
            return listed
        changes = tuple(map(_to_change, listed.ok_value.entries))
        return Ok(EnginesRead(listed.ok_value.at, changes))

    async def async_watch_engines(
        self,
        since: int,
        wait_ms: int,
    ) -> Result[EnginesRead, PlatformDown | WatchGap]:
        """Wait for entries of engines that change."""
        seen = await self._async_watch(KIND_ENGINES, since, wait_ms)
        if isinstance(seen, Err):
            return seen
        changes = [
            EngineChange(_name(event['object']), None)
            if event['removed']
            else _to_change(event['object'])
            for event in seen.ok_value['events']
        ]
        return Ok(EnginesRead(seen.ok_value['at'], tuple(changes)))

    async def async_list_instances(
        self,
    ) -> Result[tuple[InstanceStatus, ...], PlatformDown]:
        """Read what instances have told of themselves."""
        listed = await self._async_list(KIND_INSTANCES)
        if isinstance(listed, Err):
            return listed
        statuses = map(_to_status, listed.ok_value.entries)
        return Ok(tuple(each for each in statuses if each is not None))

    async def async_publish(
        self,
        status: InstanceStatus,
    ) -> Result[None, PlatformDown]:
        """Write the own status, over an earlier incarnation's if need be."""
        body = {
            'metadata': {'name': status.instance_id},
            'spec': json.loads(status.to_text()),
        }
        path = f'{PATH_OBJECTS}/{KIND_INSTANCES}'
        made = await self._async_write('POST', path, body)
        if isinstance(made, Err):
            return made
        if made.ok_value.status != HTTPStatus.CONFLICT:
            return _written(made.ok_value)
        own_path = f'{path}/{quote(status.instance_id)}'
        replaced = await self._async_write('PUT', own_path, body)
        if isinstance(replaced, Err):
            return replaced
        return _written(replaced.ok_value)

    async def async_withdraw(
        self,
        status: InstanceStatus,
    ) -> Result[None, PlatformDown]:
        """Delete the own status."""
        path = f'{PATH_OBJECTS}/{KIND_INSTANCES}/{quote(status.instance_id)}'
        gone = await self._async_write('DELETE', path, None)
        if isinstance(gone, Err):
            return gone
        return _written(gone.ok_value)

    async def _async_list(
        self,
        kind: str,
    ) -> Result[_Listed, PlatformDown]:
        """Read all pages; changes are watched from the first one's revision.

        Pages are not one snapshot: what changed between two of them is seen
        again by the watch.
        """
        entries: list[Any] = []
        query: dict[str, str] = {}
        at = 0
        for _ in range(MAX_PAGES):
            path = f'{PATH_OBJECTS}/{kind}'
            got = await self._async_get(path, query, role=kind)
            if isinstance(got, Err):
                return got
            page = _parsed(got.ok_value)
            if isinstance(page, Err):
                return page
            entries += page.ok_value['entries']
            at = at or page.ok_value['at']
            if not page.ok_value['has_more'] or not page.ok_value['entries']:
                break
            query = {'after': _name(entries[-1])}
        return Ok(_Listed(at, entries))

    async def _async_watch(
        self,
        kind: str,
        since: int,
        wait_ms: int,
    ) -> Result[Any, PlatformDown | WatchGap]:
        got = await self._async_get(
            f'{PATH_OBJECTS}/{kind}',
            {'watch': str(since), 'wait_ms': str(wait_ms)},
            role=f'watch {kind}',
            timeout_ms=wait_ms + WATCH_GRACE_MS,
        )
        if isinstance(got, Err):
            return got
        if got.ok_value.status == HTTPStatus.GONE:
            return Err(WatchGap())
        return _parsed(got.ok_value)

    async def _async_get(
        self,
        path: str,
        query: dict[str, str],
        *,
        role: str,
        timeout_ms: int = TIMEOUT_MS,
    ) -> Result[HttpResponse, PlatformDown]:
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
    ) -> Result[HttpResponse, PlatformDown]:
        encoded = b'' if body is None else json.dumps(body).encode(ENCODING)
        headers = {'content-type': 'application/json'}
        return await self._calls.async_call(
            HttpRequest(method, path, '', headers, encoded),
            role=KIND_INSTANCES,
            timeout_ms=TIMEOUT_MS,
        )


def open_store(
    address: Address,
    count: Callable[[str], None],
) -> StoreAccess:
    """Give the calls to a store; nothing is opened yet."""
    store = _Store(address, count)
    return StoreAccess(
        read_configuration=store.async_read_configuration,
        watch_configuration=store.async_watch_configuration,
        list_engines=store.async_list_engines,
        watch_engines=store.async_watch_engines,
        list_instances=store.async_list_instances,
        publish=store.async_publish,
        withdraw=store.async_withdraw,
    )


def _parsed(response: HttpResponse) -> Result[Any, PlatformDown]:
    if response.status != HTTPStatus.OK:
        return Err(PlatformDown(f'status {response.status}'))
    try:
        return Ok(json.loads(response.body))
    except ValueError as error:
        return Err(PlatformDown(f'malformed answer: {error!r}'))


def _written(response: HttpResponse) -> Result[None, PlatformDown]:
    if response.status >= HTTPStatus.MULTIPLE_CHOICES:
        return Err(PlatformDown(f'status {response.status}'))
    return Ok(None)


def _to_configuration(stored: Any) -> ConfigurationRead:
    spec = json.dumps(stored['spec'])
    return ConfigurationRead(stored['metadata']['revision'], spec)


def _name(stored: Any) -> str:
    return str(stored['metadata']['name'])


def _to_status(stored: Any) -> InstanceStatus | None:
    try:
        return InstanceStatus.from_text(json.dumps(stored['spec']))
    except (ValueError, LookupError, TypeError) as error:
        _LOGGER.info('entry ignored', instance=stored, cause=repr(error))
        return None


def _to_change(stored: Any) -> EngineChange:
    name = _name(stored)
    spec = stored.get('spec')
    if isinstance(spec, dict) and 'born' not in spec and 'born' in stored:
        spec = {**spec, 'born': stored['born']}
    return EngineChange(name, to_engine(name, spec))
