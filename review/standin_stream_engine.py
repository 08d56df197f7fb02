"""A stand-in for a model engine that answers with a stream of events."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

from http_messages import Message, async_read, encode

MILLIS: Final = 1000
EVENTS: Final = 49
EVENT_GAP_S: Final = 0.06
HEADER_ID: Final = 'hornbeamdeck-request-id'
HEADER_EXPECTED: Final = 'hornbeamdeck-expect-instance'
HEADER_LAST_EVENT: Final = 'last-event-id'


class StreamEngine:
    """Writes events that name it and the version of its software."""

    def __init__(
        self,
        name: str,
        version: str,
        port: int,
        on_run: Callable[[str, Message], None],
    ) -> None:
        """Start without runs; nothing listens yet.

        :param on_run: called with name and version, and each request that
            begins.
        """
        self.name = name
        self.version = version
        self.port = port
        self._on_run = on_run
        self._born_ms = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def async_start(self) -> None:
        """Start, or start again with nothing of before."""
        self._born_ms = int(time.time() * MILLIS)
        self._server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', self.port
        )

    def crash(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def entry(self, service: str) -> dict[str, Any]:
        """Make the entry that the engine writes into the store."""
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': self.version,
            'slots': 9,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'born': self._born_ms,
            'sequence': 1,
        }

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        request = await async_read(reader)
        while request is not None:
            await self._async_answer(request, writer)
            request = await async_read(reader)
        self._writers.discard(writer)
        writer.close()

    async def _async_answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        if request.headers.get(HEADER_EXPECTED, self.name) != self.name:
            writer.write(encode('HTTP/1.1 421 Misdirected Request', {}))
            return
        version = self.version
        self._on_run(f'{self.name}/{version}', request)
        lines = (
            'HTTP/1.1 200 OK',
            f'Hornbeamdeck-Request-Id: {request.headers[HEADER_ID]}',
            'Hornbeamdeck-Response-Seal: seal',
            'Content-Type: text/event-stream',
            'Keep-Alive: timeout=5',
            'Transfer-Encoding: chunked',
            '\r\n',
        )
        writer.write('\r\n'.join(lines).encode())
        last = int(request.headers.get(HEADER_LAST_EVENT, '0'))
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            if writer.is_closing():
                return
            event = f'id: {number}\ndata: {self.name}/{version}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
        writer.write(b'0\r\n\r\n')
