"""Resumable streams of the engine stand-in.

A stream continues after its connection is closed, so that the caller can
resume it on another connection.
"""

import uuid
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qs

from curio import Event, Task, sleep, spawn

from hornbeamdeck.connection.engine_stream import HEADER_STREAM_ID
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.standin.batch import Batch, Sequence
from hornbeamdeck.standin.http_server import json_response

__all__ = ('Streams',)

RESUME_GRACE_S: Final = 2.0
PATH_PREFIX: Final = '/v1/streams/'


class _Stream:
    """The output of a run and the number of its readers."""

    def __init__(self, sequence: Sequence) -> None:
        self.sequence = sequence
        self.output = bytearray()
        self.is_done = False
        self.readers = 0
        self.output_added = Event()
        self.collect_task: Task | None = None


class Streams:
    """The resumable streams of an engine."""

    def __init__(self, batch: Batch) -> None:
        """Create an empty collection of streams."""
        self.resume_grace_s = RESUME_GRACE_S
        self._batch = batch
        self._streams: dict[str, _Stream] = {}

    async def async_start(
        self,
        sequence: Sequence,
        events: AsyncIterator[bytes],
        connection: ServerConnection,
    ) -> None:
        """Send the events of a run and store them for a later resume."""
        stream_id = uuid.uuid4().hex
        stream = _Stream(sequence)
        self._streams[stream_id] = stream
        stream.collect_task = await spawn(
            _async_collect,
            stream,
            events,
            daemon=True,
        )
        await self._async_send(stream_id, 0, connection)

    async def async_handle(
        self,
        request: HttpRequest,
        connection: ServerConnection,
    ) -> None:
        """Handle a request to resume or cancel a stream."""
        stream_id = request.path.removeprefix(PATH_PREFIX)
        if stream_id not in self._streams:
            await connection.async_respond(
                json_response(HTTPStatus.NOT_FOUND, {}),
            )
            return
        if request.method == 'DELETE':
            await self.async_cancel(stream_id)
            await connection.async_respond(json_response(HTTPStatus.OK, {}))
            return
        offset = int(parse_qs(request.query)['after'][0])
        await self._async_send(stream_id, offset, connection)

    async def async_cancel(self, stream_id: str) -> None:
        """Cancel a run and discard its output."""
        stream = self._streams.pop(stream_id, None)
        if stream is None:
            return
        self._batch.cancel(stream.sequence)
        if stream.collect_task is not None:
            await stream.collect_task.cancel()

    async def async_cancel_all(self) -> None:
        """Cancel all runs and discard their output, as in a crash."""
        for stream_id in tuple(self._streams):
            await self.async_cancel(stream_id)

    async def _async_send(
        self,
        stream_id: str,
        offset: int,
        connection: ServerConnection,
    ) -> None:
        stream = self._streams[stream_id]
        stream.readers += 1
        try:
            await _async_send_events(stream_id, stream, offset, connection)
        finally:
            stream.readers -= 1
            await spawn(self._async_cancel_unread, stream_id, daemon=True)

    async def _async_cancel_unread(self, stream_id: str) -> None:
        stream = self._streams.get(stream_id)
        if stream is None:
            return
        await sleep(self.resume_grace_s)
        if not stream.readers:
            await self.async_cancel(stream_id)


async def _async_collect(
    stream: _Stream,
    events: AsyncIterator[bytes],
) -> None:
    async for encoded in events:
        stream.output += encoded
        await _async_notify_readers(stream)
    stream.is_done = True
    await _async_notify_readers(stream)


async def _async_notify_readers(stream: _Stream) -> None:
    output_added = stream.output_added
    stream.output_added = Event()
    await output_added.set()


async def _async_send_events(
    stream_id: str,
    stream: _Stream,
    offset: int,
    connection: ServerConnection,
) -> None:
    headers = {'content-type': 'text/event-stream', HEADER_STREAM_ID: stream_id}
    await connection.async_start_response(HTTPStatus.OK, headers)
    while True:
        unsent = bytes(stream.output[offset:])
        offset += len(unsent)
        if unsent:
            await connection.async_send_chunk(unsent)
        elif stream.is_done:
            await connection.async_end_response()
            return
        else:
            await stream.output_added.wait()
