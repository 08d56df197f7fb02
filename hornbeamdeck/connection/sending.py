"""Writes to a connection within a time limit."""

import math

from curio import socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.response_limits import (
    LimitExceeded,
    ResponseLimit,
)

__all__ = ('async_send_within',)


class _Sending:
    """Counts the bytes that the operating system has taken."""

    def __init__(self, sock: socket.socket, encoded: bytes) -> None:
        self.sent_bytes = 0
        self._sock = sock
        self._encoded = memoryview(encoded)

    async def async_run_within(self, limit_ms: float) -> bool:
        """Write all bytes; return whether the time was long enough."""
        if limit_ms == math.inf:
            await self.async_run()
            return True
        try:
            await async_with_timeout(limit_ms, self.async_run())
        except TaskTimeout:
            return False
        return True

    async def async_run(self) -> None:
        """Write all bytes.

        :raises OSError: if the connection breaks.
        """
        while self.sent_bytes < len(self._encoded):
            unsent = self._encoded[self.sent_bytes :]
            self.sent_bytes += await self._sock.send(unsent)


async def async_send_within(
    sock: socket.socket, encoded: bytes, limit_ms: float
) -> Result[None, ConnectionBroken]:
    """Write all bytes.

    :param limit_ms: time limit, milliseconds.
    """
    sending = _Sending(sock, encoded)
    try:
        is_sent = await sending.async_run_within(limit_ms)
    except OSError as error:
        return Err(
            ConnectionBroken(
                repr(error),
                isinstance(error, TimeoutError),
                is_unsent=not sending.sent_bytes,
            )
        )
    if is_sent:
        return Ok(None)
    exceeded = LimitExceeded(ResponseLimit.SENDING, int(limit_ms))
    return Err(exceeded.to_broken(is_unsent=not sending.sent_bytes))
