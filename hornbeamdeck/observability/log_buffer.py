"""Buffers log lines and writes them to standard output without blocking."""

import os
from collections import deque
from collections.abc import Callable
from typing import Final

from curio import sleep

from hornbeamdeck.const import ENCODING, MILLIS_PER_SECOND

__all__ = ('LogBuffer',)

MAX_LINES: Final = 2000
# Part of `MAX_LINES` that lines on single requests don't use.
RESERVED_LINES: Final = 200
REQUEST_MARK: Final = '"request_id"'
CHUNK_BYTES: Final = 16_384
FLUSH_MS: Final = 100
STDOUT: Final = 1


class LogBuffer:
    """A text stream for structlog, written to standard output by a task.

    If the log collector stops reading, the pipe fills up, and a blocking write
    would stop the whole process while it serves requests. Lines beyond
    `MAX_LINES` are dropped and counted instead.

    An overloaded owner refuses more requests a second than a collector reads.
    Its lines on the load and on what it believes explain these refusals, so
    they are written before the lines on single requests.
    """

    def __init__(self, on_dropped: Callable[[], None]) -> None:
        """Start with an empty buffer.

        :param on_dropped: called for each line that is dropped.
        """
        self._on_dropped = on_dropped
        self._incomplete = ''
        self._unwritten = b''
        self._state_lines: deque[bytes] = deque()
        self._request_lines: deque[bytes] = deque()
        os.set_blocking(STDOUT, False)

    def write(self, text: str) -> int:
        """Buffer text; structlog writes a line and its newline separately."""
        self._incomplete += text
        if not self._incomplete.endswith('\n'):
            return len(text)
        line = self._incomplete
        self._incomplete = ''
        buffered = len(self._state_lines) + len(self._request_lines)
        lines, limit = self._state_lines, MAX_LINES
        if REQUEST_MARK in line:
            lines, limit = self._request_lines, MAX_LINES - RESERVED_LINES
        if buffered < limit:
            lines.append(line.encode(ENCODING, 'replace'))
        else:
            self._on_dropped()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the task writes the buffered lines."""

    def write_out(self) -> None:
        """Write as much as standard output accepts without blocking."""
        while self._unwritten or self._state_lines or self._request_lines:
            self._unwritten = self._unwritten or self._next_chunk()
            written = _write_available(self._unwritten)
            self._unwritten = self._unwritten[written:]
            if self._unwritten:
                return

    async def async_run(self) -> None:
        """Write the buffered lines periodically; never returns."""
        while True:
            await sleep(FLUSH_MS / MILLIS_PER_SECOND)
            self.write_out()

    def _next_chunk(self) -> bytes:
        """Take the next lines, few enough not to delay later state lines."""
        chunk = b''
        for lines in (self._state_lines, self._request_lines):
            while lines and len(chunk) < CHUNK_BYTES:
                chunk += lines.popleft()
        return chunk


def _write_available(pending: bytes) -> int:
    """Write to standard output and return how many bytes it has accepted."""
    try:
        return os.write(STDOUT, pending)
    except BlockingIOError:
        return 0
    except OSError:
        # Standard output is closed for good, so the error can't be logged
        # either; discard the lines.
        return len(pending)
