"""One read of the store at a time, shared by all that wait for it."""

import math
from collections.abc import Awaitable, Callable
from typing import Final

from curio import Event, spawn
from curio.errors import TaskTimeout

from hornbeamdeck.clock import async_within, now_ms

__all__ = ('SharedRead',)

# A request waits no longer than this for a read: the store answers within
# milliseconds, or is away.
WAIT_MS: Final = 300
# Between reads that fail. In an outage most requests do not wait at all.
RETRY_MS: Final = 1000


class SharedRead:
    """A read that many requests may need at the same moment."""

    def __init__(self, read: Callable[[], Awaitable[bool]]) -> None:
        """Read nothing yet.

        :param read: reads once, and tells whether the store has answered.
        """
        self._read = read
        self._done: Event | None = None
        self._started_ms = -math.inf
        self._failed_ms = -math.inf

    async def async_wait(self) -> None:
        """Wait for a read to end, and start one where none is under way."""
        now = now_ms()
        done = self._done
        if done is None:
            if now - self._failed_ms < RETRY_MS:
                return
            done = Event()
            self._done = done
            self._started_ms = now
            await spawn(self._async_run, done, daemon=True)
        left_ms = self._started_ms + WAIT_MS - now
        if left_ms <= 0:
            return
        try:
            await async_within(left_ms, done.wait())
        except TaskTimeout:
            return

    async def _async_run(self, done: Event) -> None:
        try:
            if not await self._read():
                self._failed_ms = now_ms()
        finally:
            self._done = None
            await done.set()
