"""A stand-in for the platform's store of objects."""

import asyncio
import json
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

from http_messages import Message, async_read, encode

BACKLOG: Final = 1024
MILLIS: Final = 1000
FIRST_REVISION: Final = 10
FIELD_METADATA: Final = 'metadata'

Answer = tuple[int, Any]


class Change(NamedTuple):
    """A written or removed object, at the store's revision."""

    revision: int
    kind: str
    removed: bool
    stored: Mapping[str, Any]


class Store:
    """Objects by kind and name, with watches by revision."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = FIRST_REVISION
        self._is_away = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._stored: dict[str, dict[str, Any]] = {}
        self._changes: list[Change] = []
        self._changed = asyncio.Event()

    async def async_start(self, host: str, port: int) -> None:
        """Serve calls."""
        await asyncio.start_server(
            self._async_serve, host, port, backlog=BACKLOG
        )

    def put(self, kind: str, name: str, spec: Any) -> Any:
        """Write an object."""
        self.revision += 1
        metadata = {
            'name': name,
            'revision': self.revision,
            'created': self.revision,
            'finalizers': [],
            'deleting': False,
        }
        stored = {FIELD_METADATA: metadata, 'spec': spec, 'status': None}
        self._stored.setdefault(kind, {})[name] = stored
        self._record(Change(self.revision, kind, removed=False, stored=stored))
        return stored

    def go_away(self) -> None:
        """Reset all connections, new ones too."""
        self._is_away = True
        for writer in self._writers:
            writer.transport.abort()

    def come_back(self) -> None:
        """Serve calls again; nothing was lost."""
        self._is_away = False

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self._stored[kind].pop(name)
        self._record(Change(self.revision, kind, removed=True, stored=stored))

    def _record(self, change: Change) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        request = await async_read(reader)
        while request is not None:
            status, body = await self._async_answer(request)
            headers = {'Content-Type': 'application/json', 'Store-Era': 1}
            encoded = json.dumps(body).encode()
            writer.write(encode(f'HTTP/1.1 {status} -', headers, encoded))
            request = await async_read(reader)
        self._writers.discard(writer)
        writer.close()

    async def _async_answer(self, request: Message) -> Answer:
        parts = urlsplit(request.target)
        names = [unquote(part) for part in parts.path.split('/')[3:]]
        query = dict(parse_qsl(parts.query))
        kind, name = names[0], ''.join(names[1:2])
        if request.method != 'GET':
            return self._write(request, kind, name)
        if name:
            return self._found(kind, name)
        if 'watch' in query:
            return await self._async_watch(kind, query)
        entries = list(self._stored.get(kind, {}).values())
        listed = {'entries': entries, 'has_more': False, 'at': self.revision}
        return HTTPStatus.OK, listed

    def _found(self, kind: str, name: str) -> Answer:
        stored = self._stored.get(kind, {}).get(name)
        if stored is None:
            return HTTPStatus.NOT_FOUND, {}
        return HTTPStatus.OK, stored

    def _write(self, request: Message, kind: str, name: str) -> Answer:
        body = json.loads(request.body or b'{}')
        metadata = body.get(FIELD_METADATA, {})
        known = self._stored.get(kind, {})
        is_new = request.method == 'POST'
        name = metadata['name'] if is_new else name
        if name not in known and not is_new:
            return HTTPStatus.NOT_FOUND, {}
        if request.method == 'DELETE':
            self.remove(kind, name)
            return HTTPStatus.OK, {}
        if name in known and (is_new or _is_outdated(metadata, known[name])):
            return HTTPStatus.CONFLICT, known[name]
        return HTTPStatus.OK, self.put(kind, name, body.get('spec'))

    async def _async_watch(self, kind: str, query: Mapping[str, str]) -> Answer:
        since = int(query['watch'])
        end_s = time.monotonic() + int(query.get('wait_ms', 0)) / MILLIS
        events = self._events(kind, since)
        while not events and time.monotonic() < end_s:
            left_s = end_s - time.monotonic()
            waiting = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait([waiting], timeout=left_s)
            waiting.cancel()
            events = self._events(kind, since)
        return HTTPStatus.OK, {'events': events, 'at': self.revision}

    def _events(self, kind: str, since: int) -> list[Any]:
        return [
            {'removed': change.removed, 'object': change.stored}
            for change in self._changes
            if change.kind == kind and change.revision > since
        ]


def _is_outdated(metadata: Mapping[str, Any], stored: Any) -> bool:
    """Return whether a call depends on a revision that was replaced."""
    revision = stored[FIELD_METADATA]['revision']
    return bool(metadata.get('revision', revision) != revision)
