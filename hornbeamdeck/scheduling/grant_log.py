"""Recent grants to one engine, counted in sliding windows."""

from collections import deque
from typing import Final

__all__ = ('GRANT_WINDOW_MS', 'GrantLog')

GRANT_WINDOW_MS: Final = 4000.0


class GrantLog:
    """When requests were granted to an engine, within `GRANT_WINDOW_MS`."""

    def __init__(self) -> None:
        """Start without grants."""
        self._granted_ms: deque[float] = deque()

    def record(self, now: float) -> None:
        """Record a grant."""
        self._granted_ms.append(now)
        self._remove_expired(now)

    def count(self, now: float) -> int:
        """Return the number of grants within the window."""
        self._remove_expired(now)
        return len(self._granted_ms)

    def _remove_expired(self, now: float) -> None:
        while self._granted_ms and self._granted_ms[0] <= now - GRANT_WINDOW_MS:
            self._granted_ms.popleft()
