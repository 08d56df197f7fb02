"""How many second tries the fleet may send to a service.

Load pattern: engines fail many requests at once, and each second try adds load
to those that still work. The owner sees every try, so one count holds for all.
"""

from collections import deque
from typing import Final

__all__ = ('RetryBudget',)

# Half of what is allowed is used: while ownership moves, two owners count.
USED_SHARE: Final = 0.5


class RetryBudget:
    """Counts the requests and second tries of one service in a window."""

    def __init__(self, *, ratio: float, slack: float, window_ms: float) -> None:
        """Allow `ratio` tries a request and `slack` besides in a window."""
        self._ratio = ratio * USED_SHARE
        self._slack = slack * USED_SHARE
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._tries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request that comes for the first time."""
        self._forget(self._requests, now)
        self._requests.append(now)

    def take(self, now: float) -> bool:
        """Allow one second try, if the window has room."""
        self._forget(self._requests, now)
        self._forget(self._tries, now)
        allowed = self._ratio * len(self._requests) + self._slack
        if len(self._tries) + 1 > allowed:
            return False
        self._tries.append(now)
        return True

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_ms:
            times.popleft()
