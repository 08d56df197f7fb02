"""Buffers log lines and writes them to standard output without blocking."""

import os
from collections import deque
from collections.abc import Callable
from typing import Final

from curio import sleep

from hornbeamdeck.const import ENCODING, MEBIBYTE, MILLIS_PER_SECOND

__all__ = ('LogBuffer',)

MAX_LINES: Final = 2000
# Lines on single requests hold what callers have sent.
MAX_BYTES: Final = 2 * MEBIBYTE
# Parts of both that lines on single requests don't use.
RESERVED_LINES: Final = 200
RESERVED_BYTES: Final = MAX_BYTES // 10
REQUEST_MARK: Final = '"request_id"'
CHUNK_BYTES: Final = 16_384
FLUSH_MS: Final = 100
STDOUT: Final = 1


class LogBuffer:
    """A text stream for structlog, written to standard output by a task.

    If the log collector stops reading, the pipe fills up, and a blocking write
    would stop the whole process while it serves requests. Lines beyond
    `MAX_LINES` or `MAX_BYTES` are dropped and counted instead.

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
        self._buffered_bytes = 0
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
        encoded = line.encode(ENCODING, 'replace')
        is_on_request = REQUEST_MARK in line
        if self._has_room(len(encoded), is_on_request=is_on_request):
            lines = self._request_lines if is_on_request else self._state_lines
            lines.append(encoded)
            self._buffered_bytes += len(encoded)
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

    def _has_room(self, line_bytes: int, *, is_on_request: bool) -> bool:
        count = len(self._state_lines) + len(self._request_lines)
        wanted_bytes = self._buffered_bytes + line_bytes
        if is_on_request:
            count += RESERVED_LINES
            wanted_bytes += RESERVED_BYTES
        return count < MAX_LINES and wanted_bytes <= MAX_BYTES

    def _next_chunk(self) -> bytes:
        """Take the next lines, few enough not to delay later state lines."""
        chunk = b''
        for lines in (self._state_lines, self._request_lines):
            while lines and len(chunk) < CHUNK_BYTES:
                chunk += lines.popleft()
        self._buffered_bytes -= len(chunk)
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
