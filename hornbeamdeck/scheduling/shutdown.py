"""The graceful shutdown of a process."""

import math

__all__ = ('Shutdown',)


class Shutdown:
    """The graceful shutdown of one process; times are on its own clock."""

    def __init__(self) -> None:
        """Start without a stop request."""
        self.has_ended = False
        self._requested_ms = math.inf
        self._ends_ms = math.inf
        self._grace_ms = math.inf

    @property
    def is_requested(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._ends_ms < math.inf

    def request(self, now: float, *, grace_ms: float, ends_ms: float) -> None:
        """Record the stop request.

        :param grace_ms: time from the request until the process is killed.
        :param ends_ms: when requests that are still running are cut off.
        """
        self._requested_ms = now
        self._grace_ms = grace_ms
        self._ends_ms = ends_ms

    def end(self) -> None:
        """Record that running requests are cut off from now on."""
        self.has_ended = True

    def left_ms(self, now: float) -> float:
        """Return the time until running requests are cut off, at least 0."""
        return max(self._ends_ms - now, 0)

    def elapsed_share(self, now: float) -> float:
        """Return the elapsed share of the grace period; 0 before it begins."""
        if not self.is_requested:
            return 0
        return (now - self._requested_ms) / self._grace_ms
