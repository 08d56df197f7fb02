"""Decides which requests may begin while their process shuts down.

The load that it answers: callers use an address for a multiple of its time to
live, so requests still arrive seconds after the stop request. One that begins
too late is cut off when the process ends, and its caller can't know whether it
has run. If it is refused, another instance serves it at once.
"""

import math
from typing import Final

__all__ = ('Shutdown',)

# In this share of the grace period, requests of any length begin. Streams may
# take longer than the whole period, but most end within a few seconds.
UNCONDITIONAL_SHARE: Final = 0.35
# At most this long after the stop request, however long the grace period is.
MAX_UNCONDITIONAL_MS: Final = 2800
# Time to write a response that is complete at its deadline.
RESPONSE_WRITE_MS: Final = 100
# Some routes have a target latency of many seconds that few requests need.
MAX_USUAL_MS: Final = 1000


class Shutdown:
    """The graceful shutdown of one process; times are on its own clock."""

    def __init__(self) -> None:
        """Start without a stop request."""
        self.has_ended = False
        self._ends_ms = math.inf
        self._unconditional_until_ms = math.inf

    @property
    def is_requested(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._ends_ms < math.inf

    def request(self, now: float, *, grace_ms: float, ends_ms: float) -> None:
        """Record the stop request.

        :param grace_ms: time from the request until the process is killed.
        :param ends_ms: when requests that are still running are cut off.
        """
        unconditional_ms = min(
            UNCONDITIONAL_SHARE * grace_ms, MAX_UNCONDITIONAL_MS
        )
        self._unconditional_until_ms = now + unconditional_ms
        self._ends_ms = ends_ms

    def end(self) -> None:
        """Let no more requests begin, since connections are closed next."""
        self.has_ended = True

    def left_ms(self, now: float) -> float:
        """Return the time until running requests are cut off, at least 0."""
        return max(self._ends_ms - now, 0)

    def may_be_sent(self, now: float, usual_ms: float) -> bool:
        """Return whether a request that may be repeated is sent to an engine.

        :param usual_ms: time in which most of its kind are answered.
        """
        if self.has_ended:
            return False
        needed_ms = min(usual_ms, MAX_USUAL_MS) + RESPONSE_WRITE_MS
        return self.left_ms(now) >= needed_ms

    def may_begin(self, now: float, deadline_ms: float) -> bool:
        """Return whether a request may begin now.

        :param deadline_ms: when its final response is due.
        """
        if self.has_ended:
            return False
        if now < self._unconditional_until_ms:
            return True
        return deadline_ms + RESPONSE_WRITE_MS <= self._ends_ms
