"""Stand-ins for the users' store and engines, with their HTTP protocols."""

import json
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from copy import deepcopy
from time import monotonic
from typing import Any, NamedTuple
from urllib.parse import unquote_plus

from curio import Event, sleep, socket, timeout_after
from curio.errors import TaskTimeout

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener, async_setup_listener
from hornbeamdeck.connection.request_loop import async_serve_requests
from hornbeamdeck.connection.server import ServerConnection
from tests.platform.endless import (
    ENDLESS,
    PacedReader,
    async_send_raw,
)

ANY_LOCAL_PORT = Address('127.0.0.1', 0)
OBJECTS_PATH = '/v1/objects/'
SEAL_HEADER = 'hornbeamdeck-response-seal'
STATUS_SUFFIX = '/status'
REPORT_PATH = '/v1/report'
REQUEST_ID_HEADER = 'hornbeamdeck-request-id'
FALL_S = 2.0
RESTORE_S = 0.4
PAGE_ENTRIES = 500

RequestHandler = Callable[[HttpRequest, ServerConnection], Awaitable[None]]


def _bad_request_response(bad: BadRequest) -> HttpResponse:
    return HttpResponse(bad.status, {}, b'')


def _json_response(status: int, body: Any) -> HttpResponse:
    headers = {'content-type': 'application/json'}
    return HttpResponse(status, headers, json.dumps(body).encode())


def _query_parameters(request: HttpRequest) -> dict[str, str]:
    pairs = (each.partition('=') for each in request.query.split('&') if each)
    return {name: text for name, _, text in pairs}


async def async_listen(respond: RequestHandler) -> Listener:
    """Serve HTTP on a port chosen by the operating system."""

    async def _async_serve(sock: socket.socket) -> None:
        await async_serve_requests(sock, respond, _bad_request_response)

    return await async_setup_listener(ANY_LOCAL_PORT, _async_serve)


class StoreCopy(NamedTuple):
    """What a store held when a copy was taken."""

    stored_objects: dict[str, dict[str, Any]]
    removed: list['Removed']
    revision: int


class Removed(NamedTuple):
    """A removed object.

    :param revision: the store's revision after the removal.
    """

    revision: int
    kind: str
    stored_object: dict[str, Any]


class StoreStandin:
    """A store of objects by kind and name, with watches by revision.

    `next_statuses` are the error statuses of the next calls, one for each.
    While `is_silent` is set, calls get no response. A watch from a revision
    before `oldest_revision`, or from one that the store has not reached, is
    rejected with status 410. Each response names the store's era. `endless`
    names what all responses are: one of `ENDLESS`, or `pages` that each
    announce another one; empty: correct.
    """

    def __init__(self) -> None:
        self.stored_objects: dict[str, dict[str, Any]] = {}
        self.removed: list[Removed] = []
        self.revision = 10
        self.next_statuses: list[int] = []
        self.is_silent = False
        self._is_down = False
        self._era = 1
        self._configuration_version = 0
        self.oldest_revision = 0
        self.calls = 0
        self.endless = ''
        self._rejected_kind = ''
        self.listings: Counter[str] = Counter()
        self._changed = Event()

    @property
    def configuration_version(self) -> int:
        """Version of the last configuration that the operator wrote."""
        return self._configuration_version

    async def async_start(self) -> Address:
        """Start to serve requests."""
        return (await async_listen(self._async_handle)).address

    async def async_put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as an operator or an engine does.

        Configurations get the next version, in uneven steps.
        """
        if kind == 'config':
            self._configuration_version += 2 + self._configuration_version % 3
            spec = {**spec, 'version': self._configuration_version}
        return await self.async_put_unchanged(kind, name, spec)

    async def async_put_unchanged(self, kind: str, name: str, spec: Any) -> int:
        """Write an object; a configuration keeps the version that it has."""
        self.revision += 1
        objects_of_kind = self.stored_objects.setdefault(kind, {})
        previous = objects_of_kind.get(name)
        created = previous['metadata']['created'] if previous else self.revision
        objects_of_kind[name] = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
            },
            'spec': spec,
            'status': previous['status'] if previous else None,
        }
        await self._async_signal_change()
        return self.revision

    def reject(self, kind: str) -> None:
        """Answer calls for objects of a kind with status 503; empty: none."""
        self._rejected_kind = kind

    async def async_remove(self, kind: str, name: str) -> None:
        """Remove an object as the store does when its lease expires."""
        self.revision += 1
        stored_object = self.stored_objects[kind].pop(name)
        self.removed.append(Removed(self.revision, kind, stored_object))
        await self._async_signal_change()

    def copy(self) -> StoreCopy:
        """Copy what the store holds now."""
        return StoreCopy(
            deepcopy(self.stored_objects), self.removed.copy(), self.revision
        )

    async def async_restore(
        self, copied: StoreCopy, *, away_s: float = RESTORE_S
    ) -> None:
        """Be away for a moment and come back with an older copy."""
        self._is_down = True
        await self._async_signal_change()
        await sleep(away_s)
        self.stored_objects = deepcopy(copied.stored_objects)
        self.removed = copied.removed.copy()
        self.revision = copied.revision
        self._era += 1
        self._is_down = False

    async def _async_signal_change(self) -> None:
        await self._changed.set()
        self._changed = Event()

    async def _async_handle(
        self,
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        self.calls += 1
        if self.is_silent:
            await sleep(3600)
        if self.endless in ENDLESS:
            await async_send_raw(caller, self.endless, {}, request)
        if self._is_down:
            await self._async_respond(caller, HttpResponse(503, {}, b''))
            return
        if self.next_statuses:
            status = self.next_statuses.pop(0)
            await self._async_respond(caller, HttpResponse(status, {}, b''))
            return
        response = await self._async_dispatch(request)
        if self._is_down:
            caller.reset_on_close()
            return
        await self._async_respond(caller, response)

    async def _async_respond(
        self, caller: ServerConnection, response: HttpResponse
    ) -> None:
        headers = {**response.headers, 'store-era': str(self._era)}
        await caller.async_respond(response._replace(headers=headers))

    async def _async_dispatch(self, request: HttpRequest) -> HttpResponse:
        kind, _, name = request.path.removeprefix(OBJECTS_PATH).partition('/')
        if kind == self._rejected_kind:
            return HttpResponse(503, {}, b'')
        match request.method:
            case 'GET' if name:
                found = self.stored_objects.get(kind, {}).get(name)
                return _json_response(200 if found else 404, found)
            case 'GET' if 'watch' in request.query:
                return await self._async_watch(kind, _query_parameters(request))
            case 'GET':
                return self._list(kind, _query_parameters(request))
            case _:
                return await self._async_write(request, kind, name)

    def _list(self, kind: str, query: Mapping[str, str]) -> HttpResponse:
        self.listings[kind] += 1
        after = unquote_plus(query.get('after', ''))
        named = sorted(self.stored_objects.get(kind, {}).items())
        entries = [each for name, each in named if not after or name > after]
        page = {
            'entries': entries[:PAGE_ENTRIES],
            'has_more': self.endless == 'pages' or len(entries) > PAGE_ENTRIES,
            'at': self.revision,
        }
        return _json_response(200, page)

    async def _async_watch(
        self,
        kind: str,
        query: Mapping[str, str],
    ) -> HttpResponse:
        since = int(query['watch'])
        if not self.oldest_revision <= since <= self.revision:
            return _json_response(410, {})
        if not self._events(kind, since):
            with suppress(TaskTimeout):
                await timeout_after(
                    int(query['wait_ms']) / 1000,
                    self._changed.wait(),
                )
        events = self._events(kind, since)
        return _json_response(200, {'events': events, 'at': self.revision})

    def _events(self, kind: str, since: int) -> list[Any]:
        changed = [
            {'object': each, 'removed': False}
            for each in self.stored_objects.get(kind, {}).values()
            if each['metadata']['revision'] > since
        ]
        removed = [
            {'object': each, 'removed': True}
            for revision, of_kind, each in self.removed
            if of_kind == kind and revision > since
        ]
        return changed + removed

    async def _async_write(
        self,
        request: HttpRequest,
        kind: str,
        name: str,
    ) -> HttpResponse:
        if request.method == 'DELETE':
            await self.async_remove(kind, name)
            return _json_response(200, {})
        body = json.loads(request.body)
        if name.endswith(STATUS_SUFFIX):
            return await self._async_write_status(
                kind, name.removesuffix(STATUS_SUFFIX), body
            )
        object_name = name or body['metadata']['name']
        found = self.stored_objects.get(kind, {}).get(object_name)
        revision = body['metadata'].get('revision')
        if found is not None and (
            request.method == 'POST'
            or revision not in {None, found['metadata']['revision']}
        ):
            return _json_response(409, found)
        await self.async_put(kind, object_name, body['spec'])
        return _json_response(200, self.stored_objects[kind][object_name])

    async def _async_write_status(
        self, kind: str, name: str, body: Any
    ) -> HttpResponse:
        found = self.stored_objects.get(kind, {}).get(name)
        if found is None:
            return _json_response(404, {})
        if body['metadata']['revision'] != found['metadata']['revision']:
            return _json_response(409, found)
        self.revision += 1
        metadata = {**found['metadata'], 'revision': self.revision}
        changed = {**found, 'metadata': metadata, 'status': body['status']}
        self.stored_objects[kind][name] = changed
        await self._async_signal_change()
        return _json_response(200, changed)


class EngineRoom:
    """Rejects requests beyond the room of an engine, which may be brittle.

    A brittle engine falls over when it rejects more than `most_rejections`
    within a second, and runs nothing for `FALL_S`.
    """

    def __init__(self) -> None:
        self.most_running: int | None = None
        self.most_rejections: int | None = None
        self.running = 0
        self.falls = 0
        self._rejected_s: list[float] = []
        self._fallen_until_s = 0.0

    @property
    def is_taken(self) -> bool:
        """Whether another request has no room."""
        return self.most_running is not None and (
            self.running >= self.most_running
        )

    @property
    def is_fallen(self) -> bool:
        """Whether the engine has fallen over and is not back yet."""
        return monotonic() < self._fallen_until_s

    def record_rejection(self) -> None:
        """Count a rejected request; let the engine fall if there are many."""
        now_s = monotonic()
        recent_s = [each for each in self._rejected_s if each > now_s - 1]
        self._rejected_s = [*recent_s, now_s]
        if self.most_rejections is None:
            return
        if len(self._rejected_s) > self.most_rejections:
            self.falls += 1
            self._fallen_until_s = now_s + FALL_S


class ReportingEngine(PacedReader):
    """States its incarnation to who asks.

    `report` is how it answers: `born`, `nothing` (a report without a start),
    `hang`, or one of `ENDLESS`. `reports` is how often it was asked.
    """

    def __init__(self) -> None:
        super().__init__()
        self.report = 'born'
        self.reports = 0
        self._version = ''
        self._born = 1

    def run_version(self, version: str, *, born: int = 1) -> None:
        """Run this version of the software, and name it in all events.

        :param born: start of the incarnation, as its report states it.
        """
        self._version = version
        self._born = born

    async def async_report(
        self, request: HttpRequest, caller: ServerConnection
    ) -> None:
        """Answer who asks for the incarnation."""
        assert REQUEST_ID_HEADER not in request.headers
        self.reports += 1
        if self.report == 'hang':
            await sleep(3600)
        if self.report in ENDLESS:
            await async_send_raw(caller, self.report, {}, request)
        stated = {'born': self._born} if self.report == 'born' else {}
        await caller.async_respond(_json_response(200, stated))


class EngineStandin(ReportingEngine):
    """An engine that runs requests addressed to it, with optional faults.

    `faults` has one entry for each of the next requests: `not_run`, `reset`,
    `cut` (the stream breaks within an event), `other_id`, `error`, `no_seal`,
    `silent`, `interim` (four interim responses come first), or an empty text
    for a correct response. A fault in `ENDLESS` is something that the engine
    sends until the connection is closed. `reading` tells how it reads requests.
    `keep_alive_s` is the
    idle time of connections that responses announce, if not 0. `extra_bytes`
    are sent after each response.
    A call takes `event_gap_s`, as an event of a stream does.
    """

    def __init__(self, name: str, *, events: int = 3) -> None:
        super().__init__()
        self.name = name
        self.events = events
        self.faults: list[str] = []
        self.executed: list[HttpRequest] = []
        self.cancelled_runs = 0
        self.address = ANY_LOCAL_PORT
        self.event_gap_s = 0.0
        self.keep_alive_s = 0
        self.extra_bytes = b''
        self._room = EngineRoom()
        self._stated: dict[str, str] = {}
        self._arrivals: list[tuple[str, float]] = []
        self._born = 1
        self._sockets: list[socket.socket] = []
        self._listener: Listener

    async def async_start(self) -> None:
        """Start to serve requests."""

        async def _async_serve(sock: socket.socket) -> None:
            self._sockets.append(sock)
            paced = await self.async_pace(sock)
            await async_serve_requests(
                paced, self._async_handle, _bad_request_response
            )

        self._listener = await async_setup_listener(
            ANY_LOCAL_PORT, _async_serve
        )
        self.address = self._listener.address

    async def async_stop(self) -> None:
        """Refuse connections, as an engine that is down."""
        await self._listener.async_unload()

    @property
    def connections(self) -> int:
        """Return the number of all connections opened so far."""
        return len(self._sockets)

    @property
    def arrivals_s(self) -> list[float]:
        """Return when requests arrived, on the monotonic clock."""
        return [arrived_s for _, arrived_s in self._arrivals]

    @property
    def arrivals(self) -> list[tuple[str, float]]:
        """Return the ids of requests and when they arrived."""
        return self._arrivals

    def state(self, headers: Mapping[str, str]) -> None:
        """Send these headers, and no other statements, from now on."""
        self._stated = dict(headers)

    def state_request_limit(self, text: str) -> None:
        """State a limit in all further responses; empty: state none."""
        self.state({'server-limit': text} if text else {})

    @property
    def falls(self) -> int:
        """Return how often the engine has fallen over."""
        return self._room.falls

    def limit_room(self, most_running: int) -> None:
        """Reject requests beyond this many at once."""
        self._room.most_running = most_running

    def state_brittle(self, most_rejections: int) -> None:
        """Fall over when more requests than this are rejected in a second."""
        self._room.most_rejections = most_rejections
        self.state({'server-brittle': str(most_rejections)})

    async def async_close_connections(self) -> None:
        """Close all connections, as an engine closes idle ones."""
        for sock in self._sockets:
            with suppress(OSError):
                await sock.shutdown(socket.SHUT_RDWR)

    def entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Make the entry that the engine registers in the store."""
        self._born = changes.get('born', self._born)
        return {
            'service': service,
            'address': str(self.address),
            'zone': 'z1',
            'version': self._version or 'v1',
            'slots': 4,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self._born,
            **changes,
        }

    async def _async_handle(
        self,
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        expected = request.headers.get('hornbeamdeck-expect-instance')
        if expected != self.name:
            await caller.async_respond(HttpResponse(421, {}, b''))
            return
        if request.path == REPORT_PATH:
            await self.async_report(request, caller)
            return
        request_id = request.headers[REQUEST_ID_HEADER]
        self._arrivals.append((request_id, monotonic()))
        fault = self.faults.pop(0) if self.faults else ''
        if self._room.is_fallen:
            caller.reset_on_close()
            return
        if self._room.is_taken:
            fault = 'not_run'
        if fault == 'not_run':
            self._room.record_rejection()
            headers = {'hornbeamdeck-not-executed': '1', **self._stated}
            await caller.async_respond(HttpResponse(503, headers, b''))
            return
        self.executed.append(request)
        self._room.running += 1
        try:
            await self._async_run(request, caller, fault)
        except BaseException:
            self.cancelled_runs += 1
            raise
        finally:
            self._room.running -= 1

    def _event(self, number: int) -> bytes:
        words = f'word {number} {self._version}'.strip()
        return f'id: {number}\ndata: {words}\n\n'.encode()

    async def _async_run(
        self,
        request: HttpRequest,
        caller: ServerConnection,
        fault: str,
    ) -> None:
        if fault == 'reset':
            caller.reset_on_close()
            return
        if fault == 'silent':
            await sleep(3600)
        headers = {
            REQUEST_ID_HEADER: request.headers[REQUEST_ID_HEADER],
            SEAL_HEADER: f'seal-{self.name}',
            **self._stated,
        }
        await async_send_raw(caller, fault, headers, request)
        if self.keep_alive_s:
            headers['keep-alive'] = f'timeout={self.keep_alive_s}'
        if fault == 'other_id':
            headers[REQUEST_ID_HEADER] = 'of-another'
        if fault == 'no_seal':
            headers.pop(SEAL_HEADER)
        if fault == 'error':
            await caller.async_respond(HttpResponse(500, headers, b'broken'))
        elif 'hornbeamdeck-token-counts' in request.headers:
            await self._async_stream(request, caller, headers, fault)
        else:
            await sleep(self.event_gap_s)
            response = HttpResponse(200, headers, f'by {self.name}'.encode())
            await caller.async_respond(response)
        for sock in self._sockets if self.extra_bytes else ():
            await sock.sendall(self.extra_bytes)

    async def _async_stream(
        self,
        request: HttpRequest,
        caller: ServerConnection,
        headers: dict[str, str],
        fault: str,
    ) -> None:
        start = int(request.headers.get('last-event-id', '0'))
        stream = {**headers, 'content-type': 'text/event-stream'}
        await caller.async_start_response(200, stream)
        for number in range(start + 1, self.events + 1):
            event = self._event(number)
            if fault == 'cut' and number == 2:
                await caller.async_send_chunk(event[:9])
                caller.reset_on_close()
                return
            await caller.async_send_chunk(event)
            await sleep(self.event_gap_s)
        await caller.async_end_response()


def document(**changes: Any) -> dict[str, Any]:
    """Make a configuration document as an operator writes it."""
    return {
        'version': 1,
        'routes': [
            route('/note/', kind='streaming', service='desk'),
            route(
                '/guide/',
                kind='streaming',
                service='desk',
                stream_resume=True,
                max_attempts=2,
            ),
            route('/seats/', kind='idempotent', max_attempts=2),
            route('/seats/pay/', kind='non_idempotent'),
            route('/open/', kind='idempotent', public_access=True),
        ],
        'services': [
            {
                'name': 'desk',
                'engine': {'slots': 4, 'stride': 6, 'kv_tokens': 600_000},
            },
            {'name': 'counter'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [
            {
                'name': 'guides',
                'api_keys': ['key-of-guides'],
                'unit': 'tokens',
                'plain_tokens': 200,
                'rate_per_s': 100_000,
                'burst': 100_000,
            },
        ],
        **changes,
    }


def route(prefix: str, **changes: Any) -> dict[str, Any]:
    """Make one route of a configuration document."""
    return {
        'name': f'r{prefix}',
        'host': 'walks.example',
        'path_prefix': prefix,
        'kind': 'idempotent',
        'timeout_ms': 3000,
        'target_latency_ms': 500,
        'target_gap_ms': 500,
        'priority': 1,
        'service': 'counter',
        'max_attempts': 1,
        'public_access': False,
        'stream_resume': False,
        **changes,
    }
