"""A stream from an engine that can be resumed on that engine.

An engine that resumes names the stream in its answer's head. When the
connection breaks, the rest is asked for on a new one, from the first byte not
received; the run itself goes on meanwhile, so this dispatches nothing anew.
Closing the connection no longer cancels such a run, so that is asked for too.
"""

from http import HTTPStatus
from typing import Final

import structlog
from curio import sleep, spawn
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.http import HttpRequest, HttpResponse

__all__ = ('HEADER_RESUMABLE', 'HEADER_STREAM', 'EngineStream')

_LOGGER = structlog.get_logger(prefix='engine stream')

HEADER_RESUMABLE: Final = 'hornbeamdeck-resumable'
HEADER_STREAM: Final = 'hornbeamdeck-stream'
PATH: Final = '/v1/streams'
TRY_AFTER_S: Final = (0.02, 0.1, 0.3)
CONNECT_TIMEOUT_MS: Final = 500
ANSWER_TIMEOUT_MS: Final = 2000


class EngineStream:
    """Reads a stream piece by piece, over as many connections as it takes."""

    def __init__(
        self,
        connection: ClientConnection,
        head: HttpResponse,
    ) -> None:
        """Begin after the head of the answer.

        :param head: names the stream where the engine can resume it.
        """
        self._connection = connection
        self._stream = head.headers.get(HEADER_STREAM, '')
        self._received_bytes = 0

    async def async_read_piece(self) -> Result[bytes, ConnectionBroken]:
        """Read a piece; an empty one is the proper end."""
        piece = await self._connection.async_read_piece()
        if isinstance(piece, Err) and self._stream:
            resumed = await self._async_resume()
            if isinstance(resumed, Err):
                return resumed
            piece = await self._connection.async_read_piece()
        if isinstance(piece, Ok):
            self._received_bytes += len(piece.ok_value)
        return piece

    async def async_cancel(self) -> None:
        """Have the engine end a run whose answer nobody waits for."""
        if self._stream:
            await spawn(self._async_cancel, daemon=True)

    async def async_close(self) -> None:
        """Close the connection in use."""
        await self._connection.async_close()

    async def _async_resume(self) -> Result[None, ConnectionBroken]:
        await self._connection.async_close()
        for wait_s in TRY_AFTER_S:
            await sleep(wait_s)
            again = await self._async_ask(
                'GET',
                f'after={self._received_bytes}',
            )
            if isinstance(again, Ok):
                self._connection = again.ok_value
                _LOGGER.info('stream resumed', stream=self._stream)
                return Ok(None)
        return Err(ConnectionBroken('the stream could not be resumed'))

    async def _async_cancel(self) -> None:
        asked = await self._async_ask('DELETE', '')
        if isinstance(asked, Ok):
            await asked.ok_value.async_close()

    async def _async_ask(
        self,
        method: str,
        query: str,
    ) -> Result[ClientConnection, ConnectionBroken]:
        opened = await ClientConnection.async_open(
            self._connection.address,
            timeout_ms=CONNECT_TIMEOUT_MS,
        )
        if isinstance(opened, Err):
            return Err(ConnectionBroken(opened.err_value.cause))
        connection = opened.ok_value
        path = f'{PATH}/{self._stream}'
        is_accepted = False
        try:
            is_accepted = await async_within(
                ANSWER_TIMEOUT_MS,
                _async_is_accepted(
                    connection,
                    HttpRequest(method, path, query, {}, b''),
                ),
            )
        except TaskTimeout:
            return Err(ConnectionBroken('no answer in time'))
        finally:
            if not is_accepted:
                await connection.async_close()
        if is_accepted:
            return Ok(connection)
        return Err(ConnectionBroken('the engine does not know the stream'))


async def _async_is_accepted(
    connection: ClientConnection,
    request: HttpRequest,
) -> bool:
    sent = await connection.async_send(request)
    if isinstance(sent, Err):
        return False
    head = await connection.async_read_head()
    return isinstance(head, Ok) and head.ok_value.status == HTTPStatus.OK
