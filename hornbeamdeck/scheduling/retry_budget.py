"""Limit on the retries that the fleet may send to a service.

Load pattern: engines fail many requests at once, and each retry adds load to
the engines that still work. The owner receives every attempt, so one count
covers the whole fleet.
"""

from collections import deque
from typing import Final

__all__ = ('RetryBudget',)

# Half of the allowed retries is used, because two owners may both count while
# ownership moves.
USED_SHARE: Final = 0.5


class RetryBudget:
    """Counts the requests and retries of one service in a sliding window."""

    def __init__(self, *, ratio: float, slack: float, window_ms: float) -> None:
        """Allow `ratio` retries per request plus `slack` in a window."""
        self._ratio = ratio * USED_SHARE
        self._slack = slack * USED_SHARE
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request on its first attempt."""
        self._remove_expired(self._requests, now)
        self._requests.append(now)

    def try_spend(self, now: float) -> bool:
        """Count a retry and return whether the budget allows it."""
        self._remove_expired(self._requests, now)
        self._remove_expired(self._retries, now)
        allowed = self._ratio * len(self._requests) + self._slack
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _remove_expired(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_ms:
            times.popleft()
