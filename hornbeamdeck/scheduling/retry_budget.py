"""Limit on the retries that the fleet may send to a service.

Load pattern: engines fail many requests at once, and each retry adds load to
the engines that still work. The owner receives every attempt, so one count
covers the whole fleet.
"""

from collections import deque
from typing import Final, NamedTuple

__all__ = ('RetryBudget', 'RetryCounts')

# Half of the allowed retries is used, because two owners may both count while
# ownership moves.
USED_SHARE: Final = 0.5


class RetryCounts(NamedTuple):
    """What this process has counted for one service within the window.

    :param requests: first attempts.
    :param retries: retries that it has allowed.
    :param left: retries that it would allow now.
    """

    requests: int
    retries: int
    left: int


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
        if self.counts(now).left < 1:
            return False
        self._retries.append(now)
        return True

    def counts(self, now: float) -> RetryCounts:
        """Return what counts now."""
        self._remove_expired(self._requests, now)
        self._remove_expired(self._retries, now)
        allowed = self._ratio * len(self._requests) + self._slack
        retries = len(self._retries)
        return RetryCounts(len(self._requests), retries, int(allowed - retries))

    def _remove_expired(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_ms:
            times.popleft()
