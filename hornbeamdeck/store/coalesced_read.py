"""A read of the store that concurrent requests share."""

import math
from collections.abc import Awaitable, Callable
from typing import Final

from curio import Event, spawn
from curio.errors import TaskTimeout

from hornbeamdeck.clock import async_with_timeout, now_ms

__all__ = ('CoalescedRead',)

# Longest time that a request waits for a read. The store either responds
# within milliseconds or is down.
WAIT_TIMEOUT_MS: Final = 300
# After a failed read, no new read starts for this time, so that most requests
# do not wait at all during an outage.
RETRY_MS: Final = 1000


class CoalescedRead:
    """Runs at most one read at a time, for any number of waiting requests."""

    def __init__(self, read: Callable[[], Awaitable[bool]]) -> None:
        """Create the shared read; nothing is read yet.

        :param read: reads once and returns whether the read succeeded.
        """
        self._read = read
        self._done: Event | None = None
        self._started_ms = -math.inf
        self._failed_ms = -math.inf

    async def async_wait(self) -> None:
        """Wait until a read ends; starts one if none is in progress."""
        now = now_ms()
        done = self._done
        if done is None:
            if now - self._failed_ms < RETRY_MS:
                return
            done = Event()
            self._done = done
            self._started_ms = now
            await spawn(self._async_run, done, daemon=True)
        left_ms = self._started_ms + WAIT_TIMEOUT_MS - now
        if left_ms <= 0:
            return
        try:
            await async_with_timeout(left_ms, done.wait())
        except TaskTimeout:
            return

    async def _async_run(self, done: Event) -> None:
        try:
            if not await self._read():
                self._failed_ms = now_ms()
        finally:
            self._done = None
            await done.set()
