"""Response streams that can be resumed on the engine that sends them.

An engine that supports this gives the stream an id in the response head. When
the connection breaks, the rest is requested on a new connection, starting at
the first byte not received. The run continues meanwhile, so resuming is not
another attempt. Closing the connection does not cancel such a run; a separate
request does.
"""

from http import HTTPStatus
from typing import Final

import structlog
from curio import sleep, spawn
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.http import HttpRequest, HttpResponse

__all__ = ('HEADER_RESUMABLE', 'HEADER_STREAM_ID', 'EngineStream')

_LOGGER = structlog.get_logger(prefix='engine stream')

HEADER_RESUMABLE: Final = 'hornbeamdeck-resumable'
HEADER_STREAM_ID: Final = 'hornbeamdeck-stream'
STREAMS_PATH: Final = '/v1/streams'
RESUME_DELAYS_S: Final = (0.02, 0.1, 0.3)
CONNECT_TIMEOUT_MS: Final = 500
RESPONSE_TIMEOUT_MS: Final = 2000


class EngineStream:
    """Reads a stream and resumes it on a new connection when one breaks."""

    def __init__(
        self,
        connection: ClientConnection,
        head: HttpResponse,
    ) -> None:
        """Start after the head of the response.

        :param connection: on which the body follows.
        :param head: holds the stream id if the engine can resume the stream.
        """
        self._connection = connection
        self._stream_id = head.headers.get(HEADER_STREAM_ID, '')
        self._received_bytes = 0

    async def async_read_chunk(self) -> Result[bytes, ConnectionBroken]:
        """Read the next chunk.

        :returns: the bytes, empty at the end of a complete stream.
        """
        chunk = await self._connection.async_read_chunk()
        if isinstance(chunk, Err) and self._stream_id:
            resumed = await self._async_resume()
            if isinstance(resumed, Err):
                return resumed
            chunk = await self._connection.async_read_chunk()
        if isinstance(chunk, Ok):
            self._received_bytes += len(chunk.ok_value)
        return chunk

    async def async_cancel(self) -> None:
        """Cancel a resumable run on the engine, in the background.

        Closing the connection cancels only a run that can't be resumed.
        """
        if self._stream_id:
            await spawn(self._async_send_cancel, daemon=True)

    async def async_close(self) -> None:
        """Close the current connection."""
        await self._connection.async_close()

    async def _async_resume(self) -> Result[None, ConnectionBroken]:
        await self._connection.async_close()
        for delay_s in RESUME_DELAYS_S:
            await sleep(delay_s)
            opened = await self._async_request(
                'GET',
                f'after={self._received_bytes}',
            )
            if isinstance(opened, Ok):
                self._connection = opened.ok_value
                _LOGGER.info('stream resumed', stream=self._stream_id)
                return Ok(None)
        return Err(ConnectionBroken('resuming the stream failed'))

    async def _async_send_cancel(self) -> None:
        opened = await self._async_request('DELETE', '')
        if isinstance(opened, Ok):
            await opened.ok_value.async_close()

    async def _async_request(
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
        path = f'{STREAMS_PATH}/{self._stream_id}'
        is_accepted = False
        try:
            is_accepted = await async_with_timeout(
                RESPONSE_TIMEOUT_MS,
                _async_is_accepted(
                    connection,
                    HttpRequest(method, path, query, {}, b''),
                ),
            )
        except TaskTimeout:
            return Err(ConnectionBroken('no response within the time limit'))
        finally:
            if not is_accepted:
                await connection.async_close()
        if is_accepted:
            return Ok(connection)
        return Err(ConnectionBroken('the stream request was not accepted'))


async def _async_is_accepted(
    connection: ClientConnection,
    request: HttpRequest,
) -> bool:
    sent = await connection.async_send(request)
    if isinstance(sent, Err):
        return False
    head = await connection.async_read_head()
    return isinstance(head, Ok) and head.ok_value.status == HTTPStatus.OK
