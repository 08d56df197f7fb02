"""Platform stand-in: an object store and a delayed instance list.

Object versions come from a single counter. The store supports conditional
writes and a watch by long polling. `PUT /standin/switches` simulates outages,
slow responses and responses that are lost after the write took effect. `PUT
/standin/copy` keeps a copy of the store, and `PUT /standin/restore` brings the
store back from it.
"""

import json
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs, unquote

from curio import Event, Task, sleep, spawn
from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.connection.store_client import HEADER_ERA
from hornbeamdeck.const import MEBIBYTE, MILLIS_PER_SECOND, PREFIX_INSTANCE
from hornbeamdeck.standin.http_server import (
    async_setup_http_server,
    json_response,
)

__all__ = ('PlatformStandin', 'async_setup_platform')

DEFAULT_INSTANCE_LAG_MS: Final = 500
MAX_EVENTS: Final = 1000
ATTR_VERSION: Final = 'version'
PROBE_TIMEOUT_MS: Final = 200
STATE_LEAVING: Final = 'leaving'
STATE_LIVE: Final = 'live'


class _VersionedObject(NamedTuple):
    version: int
    body: str


class StoreCopy(NamedTuple):
    """What a store held when a copy was taken."""

    stored: dict[str, _VersionedObject]
    events: list[dict[str, Any]]
    revision: int


class FaultSwitches(NamedTuple):
    """Simulated faults.

    :param is_down: whether calls are dropped without effect or response.
    :param delay_ms: delay between the effect of a call and its response,
        milliseconds.
    :param lost_answers: number of subsequent writes whose response is lost.
    """

    is_down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0


class PlatformStandin:
    """An object store with an event log for watches and simulated faults."""

    def __init__(self) -> None:
        """Create a store without objects or faults."""
        self.switches = FaultSwitches()
        self.calls_by_role: dict[str, int] = {}
        self.instance_states: dict[str, str] = {}
        self._stored: dict[str, _VersionedObject] = {}
        self._revision = 0
        self._events: list[dict[str, Any]] = []
        self._changed = Event()
        self._oldest_revision = 0
        self._era = 1
        self._copy = self.copy()

    def copy(self) -> StoreCopy:
        """Copy what the store holds now."""
        return StoreCopy(
            self._stored.copy(), self._events.copy(), self._revision
        )

    async def async_restore(self, copied: StoreCopy) -> None:
        """Go back to an older copy; waiting watches lose their connection."""
        self._stored = copied.stored.copy()
        self._events = copied.events.copy()
        self._revision = copied.revision
        self._era += 1
        await self._async_signal_change()

    async def async_handle(
        self,
        request: HttpRequest,
        connection: ServerConnection,
    ) -> None:
        """Handle a request, or simulate a fault that the switches set."""
        if request.path.startswith('/standin/'):
            await connection.async_respond(
                await self._async_handle_switches(request)
            )
            return
        role = request.headers.get('hornbeamdeck-role', 'none')
        self.calls_by_role[role] = self.calls_by_role.get(role, 0) + 1
        if self.switches.is_down:
            return
        era = self._era
        response = await self._async_route(request)
        if era != self._era:
            return
        headers = {**response.headers, HEADER_ERA: str(era)}
        response = response._replace(headers=headers)
        await sleep(self.switches.delay_ms / MILLIS_PER_SECOND)
        if request.method in {'PUT', 'DELETE'} and self.switches.lost_answers:
            remaining = self.switches.lost_answers - 1
            self.switches = self.switches._replace(lost_answers=remaining)
            return
        await connection.async_respond(response)

    async def async_probe_instances(self, lag_ms: int) -> None:
        """Update the instance list every `lag_ms`.

        An instance that accepts a connection is listed with the state from its
        status object; an instance that doesn't is removed from the list. The
        list lags because instances are probed only periodically.
        """
        while True:
            await sleep(lag_ms / MILLIS_PER_SECOND)
            for key, stored in tuple(self._stored.items()):
                if key.startswith(PREFIX_INSTANCE):
                    await self._async_probe_instance(json.loads(stored.body))

    async def _async_probe_instance(self, status: dict[str, Any]) -> None:
        address = status['address']
        connected = await async_connect(
            Address.from_text(address),
            timeout_ms=PROBE_TIMEOUT_MS,
        )
        if isinstance(connected, Err):
            self.instance_states.pop(address, None)
            return
        await connected.ok_value.close()
        self.instance_states[address] = status['state']

    async def _async_route(self, request: HttpRequest) -> HttpResponse:
        path = unquote(request.path)
        if path == '/instances':
            return json_response(
                HTTPStatus.OK, {'instances': self._instances()}
            )
        if path == '/watch':
            return await self._async_watch(request.query)
        if path == '/objects':
            prefix = parse_qs(request.query).get('prefix', [''])[0]
            return json_response(HTTPStatus.OK, self._list(prefix))
        key = path.removeprefix('/objects/')
        if request.method == 'GET':
            return self._get(key)
        if request.method == 'PUT':
            return await self._async_put(key, request)
        return await self._async_delete(key, request)

    async def _async_handle_switches(
        self, request: HttpRequest
    ) -> HttpResponse:
        body = json.loads(request.body or b'{}')
        if request.path == '/standin/switches':
            self.switches = self.switches._replace(**body)
        if request.path == '/standin/copy':
            self._copy = self.copy()
        if request.path == '/standin/restore':
            await self.async_restore(self._copy)
        if request.path == '/standin/instances':
            self.instance_states.update(body)
        return json_response(
            HTTPStatus.OK,
            {'switches': self.switches._asdict(), 'calls': self.calls_by_role},
        )

    def _instances(self) -> list[dict[str, str]]:
        return [
            {'address': address, 'state': state}
            for address, state in self.instance_states.items()
        ]

    def _list(self, prefix: str) -> dict[str, Any]:
        found = [
            {'key': key, ATTR_VERSION: stored.version, 'body': stored.body}
            for key, stored in sorted(self._stored.items())
            if key.startswith(prefix)
        ]
        return {'revision': self._revision, 'found': found}

    async def _async_watch(self, query: str) -> HttpResponse:
        query_fields = parse_qs(query)
        prefix = query_fields['prefix'][0]
        since = int(query_fields['since'][0])
        if not self._oldest_revision <= since <= self._revision:
            return json_response(HTTPStatus.GONE, {})
        try:
            events = await async_with_timeout(
                int(query_fields['timeout_ms'][0]),
                self._async_wait_for_events(prefix, since),
            )
        except TaskTimeout:
            events = []
        return json_response(
            HTTPStatus.OK,
            {'revision': self._revision, 'events': events},
        )

    async def _async_wait_for_events(
        self,
        prefix: str,
        since: int,
    ) -> list[dict[str, Any]]:
        era = self._era
        while era == self._era:
            found = [
                event
                for event in self._events
                if event[ATTR_VERSION] > since
                and event['key'].startswith(prefix)
            ]
            if found:
                return found
            await self._changed.wait()
        return []

    def _get(self, key: str) -> HttpResponse:
        stored = self._stored.get(key)
        if stored is None:
            return json_response(HTTPStatus.NOT_FOUND, {})
        return json_response(
            HTTPStatus.OK,
            {'key': key, ATTR_VERSION: stored.version, 'body': stored.body},
        )

    def _meets_condition(self, key: str, request: HttpRequest) -> bool:
        stored = self._stored.get(key)
        if request.headers.get('if-none-match') == '*':
            return stored is None
        expected = request.headers.get('if-match')
        if expected is None:
            return True
        return stored is not None and stored.version == int(expected)

    async def _async_put(self, key: str, request: HttpRequest) -> HttpResponse:
        if len(request.body) > MEBIBYTE:
            return json_response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {})
        if not self._meets_condition(key, request):
            stored = self._stored.get(key)
            return json_response(
                HTTPStatus.PRECONDITION_FAILED,
                {ATTR_VERSION: stored and stored.version},
            )
        version = await self._async_append_event(key, request.body.decode())
        self._stored[key] = _VersionedObject(version, request.body.decode())
        return json_response(HTTPStatus.OK, {ATTR_VERSION: version})

    async def _async_delete(
        self,
        key: str,
        request: HttpRequest,
    ) -> HttpResponse:
        if not self._meets_condition(key, request):
            return json_response(
                HTTPStatus.PRECONDITION_FAILED, {ATTR_VERSION: None}
            )
        if self._stored.pop(key, None) is None:
            return json_response(HTTPStatus.NOT_FOUND, {})
        return json_response(
            HTTPStatus.OK,
            {ATTR_VERSION: await self._async_append_event(key, None)},
        )

    async def _async_append_event(self, key: str, body: str | None) -> int:
        self._revision += 1
        self._events.append(
            {'key': key, ATTR_VERSION: self._revision, 'body': body},
        )
        if len(self._events) > MAX_EVENTS:
            self._oldest_revision = self._events.pop(0)[ATTR_VERSION]
        await self._async_signal_change()
        return self._revision

    async def _async_signal_change(self) -> None:
        changed = self._changed
        self._changed = Event()
        await changed.set()


async def async_setup_platform(
    address: Address,
    *,
    lag_ms: int = DEFAULT_INSTANCE_LAG_MS,
) -> tuple[PlatformStandin, Listener]:
    """Start a platform that listens on an address.

    :param lag_ms: update interval of the instance list, milliseconds. The
        list lags by up to this time.
    :returns: the platform and its listener.
    """
    platform = PlatformStandin()
    listener = await async_setup_http_server(address, platform.async_handle)
    probe_task: Task = await spawn(
        platform.async_probe_instances, lag_ms, daemon=True
    )

    async def _async_unload() -> None:
        await probe_task.cancel()
        await listener.async_unload()

    return platform, listener._replace(async_unload=_async_unload)
