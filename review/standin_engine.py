"""A stand-in for an engine of a booking service."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

from http_messages import Message, async_read, encode

BACKLOG: Final = 1024
MILLIS: Final = 1000
WORK_S: Final = 0.0225
BODY_BYTES: Final = 800
BODY: Final = b'x' * BODY_BYTES
HEADER_ID: Final = 'hornbeamdeck-request-id'
HEADER_EXPECTED: Final = 'hornbeamdeck-expect-instance'
HEADER_INSTANCE: Final = 'Hornbeamdeck-Instance-Id'


class Engine:
    """Runs each request for a fixed time and answers it."""

    def __init__(
        self,
        name: str,
        on_run: Callable[[str, Message], None],
        work_s: float = WORK_S,
    ) -> None:
        """Start without runs.

        :param on_run: called with the name and each request that begins.
        :param work_s: how long a request takes.
        """
        self.name = name
        self.address = ''
        # It neither starts nor answers anything until then.
        self.silent_until_s = 0.0
        self._work_s = work_s
        self._on_run = on_run

    async def async_start(self, host: str, port: int) -> None:
        """Serve requests."""
        self.address = f'{host}:{port}'
        await asyncio.start_server(
            self._async_serve, host, port, backlog=BACKLOG
        )

    def entry(self, service: str, **fields: Any) -> dict[str, Any]:
        """Make the entry that the engine writes into the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'born': int(time.time() * MILLIS),
            'sequence': 1,
            **fields,
        }

    async def _async_end_silence(self) -> None:
        await asyncio.sleep(max(self.silent_until_s - time.monotonic(), 0))

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await async_read(reader)
        while request is not None:
            writer.write(await self._async_answer(request))
            request = await async_read(reader)
        writer.close()

    async def _async_answer(self, request: Message) -> bytes:
        headers = {HEADER_INSTANCE: self.name}
        if request.target == '/health':
            return encode('HTTP/1.1 200 OK', headers)
        if request.headers.get(HEADER_EXPECTED, self.name) != self.name:
            return encode('HTTP/1.1 421 Misdirected Request', headers)
        await self._async_end_silence()
        self._on_run(self.name, request)
        await asyncio.sleep(self._work_s)
        await self._async_end_silence()
        headers = {
            'Hornbeamdeck-Request-Id': request.headers[HEADER_ID],
            'Hornbeamdeck-Response-Seal': 'seal',
            'Keep-Alive': 'timeout=5',
        }
        return encode('HTTP/1.1 200 OK', headers, BODY)
