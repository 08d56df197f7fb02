"""A stand-in for the platform's store, as PROTOCOL.md describes it.

It keeps objects, serves lists and watches, and checks conditions. While it is
silent, it accepts connections and answers nothing. It may turn some machines
away and serve the others: each has a port of its own then.
"""

import asyncio
import json
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote

from second.messages import LOOPBACK, Message, async_read, encode

__all__ = ('Copy', 'Store')

PREFIX = '/v1/objects/'
FIRST_REVISION = 100
MILLIS = 1000
# Time of an answer, as in the sheets of the users' deployments.
ANSWER_S = 0.004
# How long it is away before it comes back from a copy.
AWAY_S = 0.4
OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
UNAVAILABLE = 503
METADATA = 'metadata'
REVISION = 'revision'
SPEC = 'spec'

_Answer = tuple[int, Any]


class Copy(NamedTuple):
    """What a store held when it was copied."""

    kinds: dict[str, dict[str, Any]]
    removed: list[tuple[int, str, Any]]
    revision: int


class Store:
    """Objects by kind and name, with a revision that rises with each change."""

    def __init__(self) -> None:
        """Start empty."""
        self.port = 0
        self.is_silent = False
        # Ports whose callers are turned away.
        self.turned_away: set[int] = set()
        self._era = 1
        self._revision = FIRST_REVISION
        self._kinds: dict[str, dict[str, Any]] = {}
        self._removed: list[tuple[int, str, Any]] = []
        self._changed = asyncio.Event()

    async def async_start(self) -> None:
        """Listen on a free port."""
        self.port = await self.async_listen()

    async def async_listen(self) -> int:
        """Listen on one more free port, and return it."""
        server = await asyncio.start_server(self._async_serve, LOOPBACK, 0)
        return int(server.sockets[0].getsockname()[1])

    def put(self, kind: str, name: str, spec: Any) -> Any:
        """Write an object; a write that changes nothing is no change."""
        of_kind = self._kinds.setdefault(kind, {})
        previous = of_kind.get(name)
        if previous is not None and previous[SPEC] == spec:
            return previous
        self._revision += 1
        created = previous[METADATA]['created'] if previous else self._revision
        metadata = {
            'name': name,
            REVISION: self._revision,
            'created': created,
            'finalizers': [],
            'deleting': False,
        }
        of_kind[name] = {METADATA: metadata, SPEC: spec, 'status': None}
        self._signal()
        return of_kind[name]

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision += 1
        removed = self._kinds[kind].pop(name)
        self._removed.append((self._revision, kind, removed))
        self._signal()

    def copy(self) -> Copy:
        """Copy what it holds now."""
        kinds = {kind: dict(named) for kind, named in self._kinds.items()}
        return Copy(kinds, list(self._removed), self._revision)

    async def async_restore(self, copied: Copy) -> None:
        """Be away for a moment, and come back from an older copy."""
        self.is_silent = True
        self._signal()
        await asyncio.sleep(AWAY_S)
        self._kinds = {
            kind: dict(named) for kind, named in copied.kinds.items()
        }
        self._removed = list(copied.removed)
        self._revision = copied.revision
        self._era += 1
        self.is_silent = False

    def _signal(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._async_serve_calls(reader, writer)
        except (OSError, EOFError):
            return
        finally:
            writer.transport.abort()

    async def _async_serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await async_read(reader)
            status, body = UNAVAILABLE, None
            port = writer.get_extra_info('sockname')[1]
            if not self.is_silent and port not in self.turned_away:
                status, body = await self._async_answer(request)
                await asyncio.sleep(ANSWER_S)
            if self.is_silent:
                # A connection on which a response is lost returns nothing
                # further.
                await reader.read()
                return
            headers = {
                'content-type': 'application/json',
                'store-era': str(self._era),
            }
            start = f'HTTP/1.1 {status} Answer'
            writer.write(encode(start, headers, json.dumps(body).encode()))
            await writer.drain()

    async def _async_answer(self, request: Message) -> _Answer:
        method, target, _ = request.start.split(' ')
        path, _, query = target.partition('?')
        fields = dict(parse_qsl(query))
        kind, _, name = unquote(path).removeprefix(PREFIX).partition('/')
        if method == 'GET' and name:
            found = self._kinds.get(kind, {}).get(name)
            return (OK, found) if found else (NOT_FOUND, {})
        if method == 'GET':
            return await self._async_list(kind, fields)
        if method == 'DELETE':
            return self._delete(kind, name)
        return self._write(method, kind, name, json.loads(request.body))

    async def _async_list(self, kind: str, fields: dict[str, str]) -> _Answer:
        if 'watch' not in fields:
            named = self._kinds.get(kind, {})
            entries = [named[name] for name in sorted(named)]
            listed = {'entries': entries, 'has_more': False}
            return OK, {**listed, 'at': self._revision}
        since = int(fields['watch'])
        if since > self._revision:
            return GONE, {}
        with suppress(asyncio.TimeoutError):
            async with asyncio.timeout(int(fields['wait_ms']) / MILLIS):
                while not self._events(kind, since):
                    await self._changed.wait()
        events = self._events(kind, since)
        return OK, {'events': events, 'at': self._revision}

    def _events(self, kind: str, since: int) -> list[Any]:
        changed = [
            {'object': each, 'removed': False}
            for each in self._kinds.get(kind, {}).values()
            if each[METADATA][REVISION] > since
        ]
        removed = [
            {'object': each, 'removed': True}
            for revision, of_kind, each in self._removed
            if of_kind == kind and revision > since
        ]
        return changed + removed

    def _delete(self, kind: str, name: str) -> _Answer:
        if name not in self._kinds.get(kind, {}):
            return NOT_FOUND, {}
        self.remove(kind, name)
        return OK, {}

    def _write(self, method: str, kind: str, name: str, body: Any) -> _Answer:
        name = name or body[METADATA]['name']
        found = self._kinds.get(kind, {}).get(name)
        if method == 'PUT' and found is None:
            return NOT_FOUND, {}
        if found is not None:
            held = found[METADATA][REVISION]
            expected = body[METADATA].get(REVISION, held)
            if method == 'POST' or expected != held:
                return CONFLICT, found
        return OK, self.put(kind, name, body[SPEC])
