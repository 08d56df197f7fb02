"""Keeps log lines until standard output takes them; never waits for it."""

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
    """A text stream for structlog, written out by a task of its own.

    A reader of the logs that stands still fills the pipe; a process that
    wrote on would stop in the middle of serving. Lines beyond the bound are
    dropped and counted instead.
    """

    def __init__(self, on_dropped: Callable[[], None]) -> None:
        """Start empty.

        :param on_dropped: told of each line that is dropped.
        """
        self._lines: deque[bytes] = deque()
        self._on_dropped = on_dropped
        os.set_blocking(STDOUT, False)

    def write(self, text: str) -> int:
        """Take in text; structlog gives a line and its end apart."""
        if len(self._lines) < MAX_LINES:
            self._lines.append(text.encode(ENCODING, 'replace'))
        elif text.strip():
            self._on_dropped()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the task writes in its own time."""

    def write_out(self) -> None:
        """Write what standard output takes now."""
        pending = b''.join(self._lines)
        self._lines.clear()
        try:
            written = os.write(STDOUT, pending) if pending else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody will ever read this again; there is nowhere to say so.
            written = len(pending)
        if written < len(pending):
            self._lines.appendleft(pending[written:])

    async def async_run(self) -> None:
        """Write out for ever."""
        while True:
            await sleep(FLUSH_MS / MILLIS_PER_SECOND)
            self.write_out()
