"""Bound on the requests that one engine has to reject.

Load pattern: an engine lets fewer requests wait than before and falls over when
it rejects too many in a second. Its slots look free, so bounded by slots alone
it is offered again what it has just rejected, from all sides.

A new owner does not know what was rejected right before. For as long as that
counts, it starts requests only in place of those that have ended.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import Final

__all__ = ('REJECTION_WINDOW_MS', 'RejectionLimit')

# A little longer than the second that counts, since a rejection is recorded
# later than the engine made it.
REJECTION_WINDOW_MS: Final = 1200.0
# Rejections that are left to an owner that still grants beside this one.
MARGIN: Final = 1
# Interval at which an engine that rejects nothing is trusted with one more
# request at once.
RAISE_INTERVAL_MS: Final = 1000.0


class RejectionLimit:
    """Recent rejections of an engine, and the limit that it states, if any."""

    def __init__(self, is_new_owner: Callable[[], bool]) -> None:
        """Start without rejections and without a limit.

        :param is_new_owner: returns whether another owner may have granted
            within the window that counts.
        """
        self._is_new_owner = is_new_owner
        # Most runs at once that the engine has accepted from other owners.
        self._inherited = 0
        # Rejections per second; `None`: it does not fall over.
        self.per_s: float | None = None
        self.stated_ms = -math.inf
        self._rejected_ms: deque[float] = deque()
        # Requests at once that it has room for; `None`: as many as its slots.
        self._room: int | None = None
        self._room_since_ms = -math.inf

    def set_limit(self, per_s: float | None, stated_ms: float) -> bool:
        """Apply what a response of the engine stated.

        :param stated_ms: when it did.
        :returns: whether the limit has changed.
        """
        if stated_ms < self.stated_ms:
            return False
        self.stated_ms = stated_ms
        is_changed = per_s != self.per_s
        self.per_s = per_s
        return is_changed

    def record_rejection(self, running: int, now: float) -> None:
        """Record that the engine has rejected a request.

        :param running: number of its other runs.
        """
        self._rejected_ms.append(now)
        self._forget(now)
        self._inherited = min(self._inherited, running)
        self._room = max(running, 1)
        self._room_since_ms = now

    def recent_rejections(self, now: float) -> int:
        """Return the number of rejections that count now."""
        self._forget(now)
        return len(self._rejected_ms)

    def starts_left(
        self, slots: int, running: int, unanswered: int, now: float
    ) -> int:
        """Return how many requests may start without toppling the engine.

        :param slots: number of requests that it processes at once.
        :param running: number of its runs.
        :param unanswered: number of those that it may still reject.
        """
        if self.per_s is not None and self._is_new_owner():
            return self._starts_in_place(running, unanswered, now)
        self._inherited = 0
        room_left = self._room_for(slots, now) - running
        if self.per_s is None or not self.recent_rejections(now):
            return max(room_left, 0)
        rejections_left = int(self.per_s) - MARGIN
        rejections_left -= self.recent_rejections(now) + unanswered
        return max(min(room_left, rejections_left), 0)

    def _starts_in_place(
        self, running: int, unanswered: int, now: float
    ) -> int:
        """Return how many runs have ended that an engine had room for."""
        self._inherited = max(self._inherited, running - unanswered)
        self._room = max(self._inherited, 1)
        self._room_since_ms = now
        return max(self._inherited - running, 0)

    def _room_for(self, slots: int, now: float) -> int:
        if self._room is None:
            return slots
        intervals = int((now - self._room_since_ms) / RAISE_INTERVAL_MS)
        room = self._room + intervals
        if room >= slots:
            self._room = None
            return slots
        return room

    def _forget(self, now: float) -> None:
        while (
            self._rejected_ms
            and self._rejected_ms[0] <= now - REJECTION_WINDOW_MS
        ):
            self._rejected_ms.popleft()
