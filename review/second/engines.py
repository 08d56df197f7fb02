"""A stand-in for a sound engine, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from types import MappingProxyType
from typing import Any, NamedTuple

from second.messages import LOOPBACK, Message, async_read, encode
from second.store import Store

__all__ = ('Engine', 'EngineTerms', 'Run')

HEARTBEAT_S = 1.2
MILLIS = 1000
RUN_OK = 'HTTP/1.1 200 OK'
MISDIRECTED = 'HTTP/1.1 421 Misdirected Request'
REPORT = MappingProxyType(
    {
        'stage': 'both',
        'models': ({'name': 'm', 'version': 1, 'adapters': ()},),
        'busy': False,
        'sequence': 0,
        'waiting': 0,
        'running': 0,
    }
)
REQUEST_ID = 'hornbeamdeck-request-id'


class EngineTerms(NamedTuple):
    """What an engine is.

    :param work_s: time of a call, or between two events of a stream.
    :param events: of each stream; 0: the service has calls, no streams.
    :param version: of its software, which all events name.
    """

    service: str
    slots: int
    work_s: float
    events: int = 0
    version: str = 'v1'


class Run(NamedTuple):
    """A request that the engine has run."""

    at_s: float
    request_id: str
    tokens: int


class Engine:
    """Registers itself, and runs what is addressed to it."""

    def __init__(self, name: str, terms: EngineTerms, store: Store) -> None:
        """Start without runs."""
        self.name = name
        self.runs: list[Run] = []
        self._terms = terms
        self._store = store
        self._born = int(time.time() * MILLIS)
        self._heartbeats: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Listen on a free port and register."""
        server = await asyncio.start_server(self._async_serve, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.create_task(self._async_beat(port))

    def leave(self) -> None:
        """Let the entry be removed without a notice, and go on serving."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self._store.remove('servers', self.name)

    async def _async_beat(self, port: int) -> None:
        entry = {
            'service': self._terms.service,
            'address': f'{LOOPBACK}:{port}',
            'zone': 'zone-a',
            'version': self._terms.version,
            'slots': self._terms.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'born': self._born,
            'sequence': 0,
        }
        while True:
            entry = {**entry, 'sequence': entry['sequence'] + 1}
            if not self._store.is_silent:
                self._store.put('servers', self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await async_read(reader)
                await self._async_answer(request, writer)
                await writer.drain()
        except (OSError, EOFError):
            return
        finally:
            writer.transport.abort()

    async def _async_answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        own = {'hornbeamdeck-instance-id': self.name}
        if headers.get('hornbeamdeck-expect-instance', self.name) != self.name:
            writer.write(encode(MISDIRECTED, own))
            return
        if REQUEST_ID not in headers:
            report = json.dumps({**REPORT, 'born': self._born}).encode()
            writer.write(encode(RUN_OK, own, report))
            return
        request_id = headers[REQUEST_ID]
        self.runs.append(Run(time.monotonic(), request_id, _tokens_of(headers)))
        answer = {
            REQUEST_ID: request_id,
            'hornbeamdeck-response-seal': f'seal.{request_id}',
            'keep-alive': 'timeout=20',
        }
        if self._terms.events:
            received = int(headers.get('last-event-id') or 0)
            await self._async_stream(answer, received, writer)
            return
        await asyncio.sleep(self._terms.work_s)
        writer.write(encode(RUN_OK, answer, request_id.encode()))

    async def _async_stream(
        self,
        answer: dict[str, str],
        received: int,
        writer: asyncio.StreamWriter,
    ) -> None:
        fields = {
            **answer,
            'content-type': 'text/event-stream',
            'transfer-encoding': 'chunked',
        }
        lines = [RUN_OK, *(f'{name}: {fields[name]}' for name in fields)]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        for number in range(received + 1, self._terms.events + 1):
            await asyncio.sleep(self._terms.work_s)
            event = f'id: {number}\ndata: {self._terms.version}\n\n'
            writer.write(_chunk(event))
            await writer.drain()
        writer.write(_chunk(''))


def _chunk(text: str) -> bytes:
    return f'{len(text):x}\r\n{text}\r\n'.encode()


def _tokens_of(headers: dict[str, Any]) -> int:
    stated = headers.get('hornbeamdeck-token-counts', '0')
    return sum(int(part) for part in stated.split(','))
