"""The engine stand-in's streams that outlive a connection."""

import uuid
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qs

from curio import Event, Task, sleep, spawn

from hornbeamdeck.connection.engine_stream import HEADER_STREAM
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.standin.batch import Batch, Sequence
from hornbeamdeck.standin.web import json_response

__all__ = ('Streams',)

GRACE_S: Final = 2.0
PREFIX: Final = '/v1/streams/'


class _Stream:
    """What one run has written, and who reads it."""

    def __init__(self, sequence: Sequence) -> None:
        self.sequence = sequence
        self.written = bytearray()
        self.is_done = False
        self.readers = 0
        self.grown = Event()
        self.pump: Task | None = None


class Streams:
    """All resumable streams of one engine."""

    def __init__(self, batch: Batch) -> None:
        """Start without any."""
        self.grace_s = GRACE_S
        self._batch = batch
        self._streams: dict[str, _Stream] = {}

    async def async_write_new(
        self,
        sequence: Sequence,
        events: AsyncIterator[bytes],
        connection: ServerConnection,
    ) -> None:
        """Write a run's events to its caller and keep them for a resume."""
        name = uuid.uuid4().hex
        stream = _Stream(sequence)
        self._streams[name] = stream
        stream.pump = await spawn(_async_pump, stream, events, daemon=True)
        await self._async_write(name, 0, connection)

    async def async_answer(
        self,
        request: HttpRequest,
        connection: ServerConnection,
    ) -> None:
        """Resume a stream, or cancel it."""
        name = request.path.removeprefix(PREFIX)
        if name not in self._streams:
            await connection.async_respond(
                json_response(HTTPStatus.NOT_FOUND, {}),
            )
            return
        if request.method == 'DELETE':
            await self.async_forget(name)
            await connection.async_respond(json_response(HTTPStatus.OK, {}))
            return
        after = int(parse_qs(request.query)['after'][0])
        await self._async_write(name, after, connection)

    async def async_forget(self, name: str) -> None:
        """Cancel a run and drop what it has written."""
        stream = self._streams.pop(name, None)
        if stream is None:
            return
        self._batch.cancel(stream.sequence)
        if stream.pump is not None:
            await stream.pump.cancel()

    async def async_forget_all(self) -> None:
        """Lose everything, as a crash does."""
        for name in tuple(self._streams):
            await self.async_forget(name)

    async def _async_write(
        self,
        name: str,
        after: int,
        connection: ServerConnection,
    ) -> None:
        stream = self._streams[name]
        stream.readers += 1
        try:
            await _async_copy(name, stream, after, connection)
        finally:
            stream.readers -= 1
            await spawn(self._async_reap, name, daemon=True)

    async def _async_reap(self, name: str) -> None:
        stream = self._streams.get(name)
        if stream is None:
            return
        await sleep(self.grace_s)
        if not stream.readers:
            await self.async_forget(name)


async def _async_pump(
    stream: _Stream,
    events: AsyncIterator[bytes],
) -> None:
    async for encoded in events:
        stream.written += encoded
        await _async_wake(stream)
    stream.is_done = True
    await _async_wake(stream)


async def _async_wake(stream: _Stream) -> None:
    grown = stream.grown
    stream.grown = Event()
    await grown.set()


async def _async_copy(
    name: str,
    stream: _Stream,
    after: int,
    connection: ServerConnection,
) -> None:
    headers = {'content-type': 'text/event-stream', HEADER_STREAM: name}
    await connection.async_start(HTTPStatus.OK, headers)
    while True:
        fresh = bytes(stream.written[after:])
        after += len(fresh)
        if fresh:
            await connection.async_send(fresh)
        elif stream.is_done:
            await connection.async_end()
            return
        else:
            await stream.grown.wait()
