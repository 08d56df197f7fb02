"""Buffers log lines and writes them to standard output without blocking."""

import os
from collections import deque
from collections.abc import Callable
from typing import Final

from curio import sleep

from hornbeamdeck.const import ENCODING, MILLIS_PER_SECOND

__all__ = ('LogBuffer',)

MAX_LINES: Final = 2000
FLUSH_MS: Final = 100
STDOUT: Final = 1


class LogBuffer:
    """A text stream for structlog, written to standard output by a task.

    If the log collector stops reading, the pipe fills up, and a blocking write
    would stop the whole process while it serves requests. Lines beyond
    `MAX_LINES` are dropped and counted instead.
    """

    def __init__(self, on_dropped: Callable[[], None]) -> None:
        """Start with an empty buffer.

        :param on_dropped: called for each line that is dropped.
        """
        self._lines: deque[bytes] = deque()
        self._on_dropped = on_dropped
        os.set_blocking(STDOUT, False)

    def write(self, text: str) -> int:
        """Buffer text; structlog writes a line and its newline separately."""
        if len(self._lines) < MAX_LINES:
            self._lines.append(text.encode(ENCODING, 'replace'))
        elif text.strip():
            self._on_dropped()
        return len(text)

    def flush(self) -> None:
        """Do nothing; the task writes the buffered lines."""

    def write_out(self) -> None:
        """Write as much as standard output accepts without blocking."""
        pending = b''.join(self._lines)
        self._lines.clear()
        try:
            written = os.write(STDOUT, pending) if pending else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Standard output is closed for good, so the error can't be logged
            # either; discard the lines.
            written = len(pending)
        if written < len(pending):
            self._lines.appendleft(pending[written:])

    async def async_run(self) -> None:
        """Write the buffered lines periodically; never returns."""
        while True:
            await sleep(FLUSH_MS / MILLIS_PER_SECOND)
            self.write_out()
