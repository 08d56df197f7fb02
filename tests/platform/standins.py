"""Stand-ins of the users' store and engines, by their published protocol."""

import json
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from typing import Any, NamedTuple

from curio import Event, sleep, socket, timeout_after
from curio.errors import TaskTimeout

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.exchange import async_serve_requests
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener, async_setup_listener
from hornbeamdeck.connection.server import ServerConnection

ANYWHERE = Address('127.0.0.1', 0)
OBJECTS_PATH = '/v1/objects/'
SEAL = 'hornbeamdeck-response-seal'
ECHO = 'hornbeamdeck-request-id'

Answer = Callable[[HttpRequest, ServerConnection], Awaitable[None]]


def _refuse(bad: BadRequest) -> HttpResponse:
    return HttpResponse(bad.status, {}, b'')


def _json(status: int, body: Any) -> HttpResponse:
    headers = {'content-type': 'application/json'}
    return HttpResponse(status, headers, json.dumps(body).encode())


def _query(request: HttpRequest) -> dict[str, str]:
    pairs = (each.partition('=') for each in request.query.split('&') if each)
    return {name: text for name, _, text in pairs}


async def async_listen(answer: Answer) -> Listener:
    """Serve HTTP on an address of the system's choice."""

    async def _async_serve(sock: socket.socket) -> None:
        await async_serve_requests(sock, answer, _refuse)

    return await async_setup_listener(ANYWHERE, _async_serve)


class Removed(NamedTuple):
    """An object that is gone, and when it went."""

    revision: int
    kind: str
    gone: dict[str, Any]


class StoreStandin:
    """Objects by kind and name, one revision counter, watches.

    `stored` holds them; `refusals` holds statuses for the next calls; while
    `is_silent` no call is answered; `history_from` is the oldest revision that
    can be watched from.
    """

    def __init__(self) -> None:
        self.stored: dict[str, dict[str, Any]] = {}
        self.removed: list[Removed] = []
        self.revision = 10
        self.refusals: list[int] = []
        self.is_silent = False
        self.history_from = 0
        self.calls = 0
        self._changed = Event()

    async def async_start(self) -> Address:
        """Listen."""
        return (await async_listen(self._async_answer)).address

    async def async_put(self, kind: str, name: str, spec: Any) -> int:
        """Write as an operator or an engine does."""
        self.revision += 1
        made = self.stored.setdefault(kind, {})
        made[name] = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        await self._async_note_change()
        return self.revision

    async def async_remove(self, kind: str, name: str) -> None:
        """Remove as a lapsed lease does."""
        self.revision += 1
        gone = self.stored[kind].pop(name)
        self.removed.append(Removed(self.revision, kind, gone))
        await self._async_note_change()

    async def _async_note_change(self) -> None:
        await self._changed.set()
        self._changed = Event()

    async def _async_answer(
        self,
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        self.calls += 1
        if self.is_silent:
            await sleep(3600)
        if self.refusals:
            status = self.refusals.pop(0)
            await caller.async_respond(HttpResponse(status, {}, b''))
            return
        kind, _, name = request.path.removeprefix(OBJECTS_PATH).partition('/')
        match request.method:
            case 'GET' if name:
                found = self.stored.get(kind, {}).get(name)
                response = _json(200 if found else 404, found)
            case 'GET' if 'watch' in request.query:
                response = await self._async_watch(kind, _query(request))
            case 'GET':
                response = self._list(kind)
            case _:
                response = await self._async_write(request, kind, name)
        await caller.async_respond(response)

    def _list(self, kind: str) -> HttpResponse:
        entries = list(self.stored.get(kind, {}).values())
        page = {'entries': entries, 'has_more': False, 'at': self.revision}
        return _json(200, page)

    async def _async_watch(
        self,
        kind: str,
        query: Mapping[str, str],
    ) -> HttpResponse:
        since = int(query['watch'])
        if since < self.history_from:
            return _json(410, {})
        if not self._events(kind, since):
            with suppress(TaskTimeout):
                await timeout_after(
                    int(query['wait_ms']) / 1000,
                    self._changed.wait(),
                )
        events = self._events(kind, since)
        return _json(200, {'events': events, 'at': self.revision})

    def _events(self, kind: str, since: int) -> list[Any]:
        changed = [
            {'object': each, 'removed': False}
            for each in self.stored.get(kind, {}).values()
            if each['metadata']['revision'] > since
        ]
        gone = [
            {'object': each, 'removed': True}
            for revision, of_kind, each in self.removed
            if of_kind == kind and revision > since
        ]
        return changed + gone

    async def _async_write(
        self,
        request: HttpRequest,
        kind: str,
        name: str,
    ) -> HttpResponse:
        if request.method == 'DELETE':
            await self.async_remove(kind, name)
            return _json(200, {})
        body = json.loads(request.body)
        named = name or body['metadata']['name']
        if request.method == 'POST' and named in self.stored.get(kind, {}):
            return _json(409, self.stored[kind][named])
        await self.async_put(kind, named, body['spec'])
        return _json(200, self.stored[kind][named])


class EngineStandin:
    """Runs requests that expect it, and shows the faults it is told to.

    `faults` holds one for each coming request: `not_run`, `reset`, `cut`
    (in the middle of an event), `other_id`, `error`, `bare` (no seal),
    `silent`; an empty one answers well. With `keep_alive_s` it says so long it
    keeps connections, which it counts; `extra` is sent after each answer.
    """

    def __init__(self, name: str, *, events: int = 3) -> None:
        self.name = name
        self.events = events
        self.faults: list[str] = []
        self.ran: list[HttpRequest] = []
        self.cut_off = 0
        self.address = ANYWHERE
        self.event_pause_s = 0.0
        self.keep_alive_s = 0
        self.extra = b''
        self._sockets: list[socket.socket] = []

    async def async_start(self) -> None:
        """Listen."""

        async def _async_serve(sock: socket.socket) -> None:
            self._sockets.append(sock)
            await async_serve_requests(sock, self._async_answer, _refuse)

        listener = await async_setup_listener(ANYWHERE, _async_serve)
        self.address = listener.address

    @property
    def connections(self) -> int:
        """Count the connections that were ever opened here."""
        return len(self._sockets)

    async def async_hang_up(self) -> None:
        """Close all connections, as an engine does with idle ones."""
        for sock in self._sockets:
            with suppress(OSError):
                await sock.shutdown(socket.SHUT_RDWR)

    def entry(self, service: str, **changes: Any) -> dict[str, Any]:
        """Write what it registers in the store."""
        return {
            'service': service,
            'address': str(self.address),
            'zone': 'z1',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1,
            **changes,
        }

    async def _async_answer(
        self,
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        expected = request.headers.get('hornbeamdeck-expect-instance')
        if expected != self.name:
            await caller.async_respond(HttpResponse(421, {}, b''))
            return
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'not_run':
            headers = {'hornbeamdeck-not-executed': '1'}
            await caller.async_respond(HttpResponse(503, headers, b''))
            return
        self.ran.append(request)
        try:
            await self._async_run(request, caller, fault)
        except BaseException:
            self.cut_off += 1
            raise

    async def _async_run(
        self,
        request: HttpRequest,
        caller: ServerConnection,
        fault: str,
    ) -> None:
        if fault == 'reset':
            caller.abort()
            return
        if fault == 'silent':
            await sleep(3600)
        headers = {ECHO: request.headers[ECHO], SEAL: f'seal-{self.name}'}
        if self.keep_alive_s:
            headers['keep-alive'] = f'timeout={self.keep_alive_s}'
        if fault == 'other_id':
            headers[ECHO] = 'of-another'
        if fault == 'bare':
            headers.pop(SEAL)
        if fault == 'error':
            await caller.async_respond(HttpResponse(500, headers, b'broken'))
        elif 'hornbeamdeck-token-counts' in request.headers:
            await self._async_stream(request, caller, headers, fault)
        else:
            whole = HttpResponse(200, headers, f'by {self.name}'.encode())
            await caller.async_respond(whole)
        for sock in self._sockets if self.extra else ():
            await sock.sendall(self.extra)

    async def _async_stream(
        self,
        request: HttpRequest,
        caller: ServerConnection,
        headers: dict[str, str],
        fault: str,
    ) -> None:
        start = int(request.headers.get('last-event-id', '0'))
        stream = {**headers, 'content-type': 'text/event-stream'}
        await caller.async_start(200, stream)
        for number in range(start + 1, self.events + 1):
            event = f'id: {number}\ndata: word {number}\n\n'.encode()
            if fault == 'cut' and number == 2:
                await caller.async_send(event[:9])
                caller.abort()
                return
            await caller.async_send(event)
            await sleep(self.event_pause_s)
        await caller.async_end()


def document(**changes: Any) -> dict[str, Any]:
    """Write a configuration as the operator does."""
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
    """Write one route."""
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
