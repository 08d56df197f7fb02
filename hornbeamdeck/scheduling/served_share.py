"""Share of the fleet that this process has granted for, over a window.

A limit that counts in a window may be used in full only by a process that has
been the only one to grant throughout that window. Whoever has just become the
owner knows nothing of what its predecessors granted, and whoever has lost some
of the instances may have lost them to another owner.
"""

from collections import deque
from typing import NamedTuple

from hornbeamdeck.scheduling.tenure import MAX_RECORD_GAP_MS, Tenure

__all__ = ('ServedShare',)


class _Lowest(NamedTuple):
    """Lowest share up to a time, after all earlier ones were lower."""

    until_ms: float
    share: float


class ServedShare:
    """The lowest share of the fleet served within a window."""

    def __init__(
        self, window_ms: float, now: float, *, is_first_start: bool
    ) -> None:
        """Start with what is known of the time before.

        :param is_first_start: whether nobody can have granted before.
        """
        self._window_ms = window_ms
        self._share = 1.0 if is_first_start else 0.0
        self._recorded_ms = now
        self._lowest: deque[_Lowest] = deque()
        self.tenure = Tenure(is_first_start=is_first_start)
        if not is_first_start:
            self._lowest.append(_Lowest(now, 0.0))

    def record(self, share: float, now: float) -> bool:
        """Record the share that is served from now on.

        :param share: 0 if this process is not the owner.
        :returns: whether others may have granted for the whole fleet since the
            last call.
        """
        self.tenure.record(share, now)
        if now - self._recorded_ms > MAX_RECORD_GAP_MS:
            self._share = 0.0
        lowest = min(self._share, share)
        while self._lowest and self._lowest[-1].share >= lowest:
            self._lowest.pop()
        self._lowest.append(_Lowest(now, lowest))
        self._share = share
        self._recorded_ms = now
        return not lowest

    def lowest(self, now: float) -> float:
        """Return the lowest share served within the window up to now."""
        if now - self._recorded_ms > MAX_RECORD_GAP_MS:
            return 0.0
        while self._lowest and (
            self._lowest[0].until_ms < now - self._window_ms
        ):
            self._lowest.popleft()
        lowest = self._lowest[0].share if self._lowest else self._share
        return min(lowest, self._share)
