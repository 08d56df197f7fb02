"""Rate at which requests are granted to one engine.

Load pattern: an engine in trouble accepts a few requests per second from all
instances together and states so in its responses. Most of its slots are free,
so bounded by slots alone it would get as many requests as before.
"""

import math
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('EngineRate', 'RateRules')

# Sliding windows in which grants are counted. The short one spreads them: the
# successor of an owner does not know what that owner has granted.
SHORT_WINDOW_MS: Final = 1000.0
LONG_WINDOW_MS: Final = 4000.0
# How far the long window may exceed the limit while it reaches back to grants
# from before the limit was stated.
TRANSITION_FACTOR: Final = 1.5


class RateRules(NamedTuple):
    """How engines expect their limits to be kept.

    :param settle_ms: time after which the whole long window counts.
    :param fleet_share: returns the share of the fleet whose requests are
        granted here. It is less than 1 while another instance may take itself
        for the owner, too.
    :param is_new_owner: returns whether another owner may have granted requests
        within the second for which rejections count.
    """

    settle_ms: float = 0.0
    fleet_share: Callable[[], float] = lambda: 1.0
    is_new_owner: Callable[[], bool] = bool


class _Bound(NamedTuple):
    """The most grants within a window, not counting those before `since_ms`."""

    window_ms: float
    most: int
    since_ms: float

    def next_ms(self, granted_ms: Sequence[float]) -> float:
        """Return when another grant is within the bound."""
        if len(granted_ms) < self.most:
            return -math.inf
        oldest_ms = granted_ms[-self.most]
        if oldest_ms < self.since_ms:
            return -math.inf
        return oldest_ms + self.window_ms

    def grants_left(self, granted_ms: Sequence[float], now: float) -> int:
        """Return how many grants are within the bound now."""
        first = max(
            bisect_right(granted_ms, now - self.window_ms),
            bisect_left(granted_ms, self.since_ms),
        )
        return max(self.most - (len(granted_ms) - first), 0)


class EngineRate:
    """Recent grants to an engine, and the limit that it states, if any."""

    def __init__(self, rules: RateRules) -> None:
        """Start without grants and without a limit."""
        # Requests per second; `None`: no limit.
        self.limit_per_s: float | None = None
        self._rules = rules
        self._stated_ms = -math.inf
        self._limited_since_ms = -math.inf
        self._granted_ms: deque[float] = deque()
        self._is_changed = True
        self._fleet_share = 1.0
        self._bounds: tuple[_Bound, ...] = ()
        self._next_ms = -math.inf

    def set_limit(self, per_s: float | None, stated_ms: float) -> bool:
        """Apply what a response of the engine stated.

        :param stated_ms: when it did.
        :returns: whether the limit has changed.
        """
        if stated_ms < self._stated_ms:
            return False
        self._stated_ms = stated_ms
        if per_s == self.limit_per_s:
            return False
        if self.limit_per_s is None:
            self._limited_since_ms = stated_ms
        self.limit_per_s = per_s
        self._is_changed = True
        return True

    def record_grant(self, now: float) -> None:
        """Record a request that this owner has granted."""
        self._granted_ms.append(now)
        self._is_changed = True
        while self._granted_ms[0] <= now - LONG_WINDOW_MS:
            self._granted_ms.popleft()

    def recent_grants(self, now: float) -> int:
        """Return the number of grants within the long window."""
        since_ms = now - LONG_WINDOW_MS
        return sum(granted_ms > since_ms for granted_ms in self._granted_ms)

    def may_start(self, now: float) -> bool:
        """Return whether the limit lets a request start now."""
        return self.limit_per_s is None or self._next_start_ms() <= now

    def starts_left(self, most: int, now: float) -> int:
        """Return how many requests the limit lets start now.

        :param most: the largest number of interest.
        """
        if self.limit_per_s is None:
            return most
        if self._next_start_ms() > now:
            return 0
        left = [
            bound.grants_left(self._granted_ms, now) for bound in self._bounds
        ]
        return min(most, *left)

    def later_starts_ms(self, count: int, now: float) -> list[float]:
        """Estimate when requests can start beyond those that can start now."""
        interval_ms = LONG_WINDOW_MS
        if self.limit_per_s:
            stated_interval_ms = MILLIS_PER_SECOND / self.limit_per_s
            interval_ms = min(interval_ms, stated_interval_ms)
        next_ms = self._next_start_ms()
        first_ms = next_ms if next_ms > now else now + interval_ms
        return [first_ms + interval_ms * number for number in range(count)]

    def _next_start_ms(self) -> float:
        # Called for every engine whenever a request is placed, so computed only
        # after a change.
        share = self._rules.fleet_share()
        if self._is_changed or share != self._fleet_share:
            self._is_changed = False
            self._fleet_share = share
            self._bounds = self._make_bounds()
            self._next_ms = max(
                bound.next_ms(self._granted_ms) for bound in self._bounds
            )
        return self._next_ms

    def _make_bounds(self) -> tuple[_Bound, ...]:
        per_s = (self.limit_per_s or 0.0) * self._fleet_share
        since_ms = self._limited_since_ms
        settled_ms = since_ms + self._rules.settle_ms
        return (
            _Bound(SHORT_WINDOW_MS, _most(per_s, SHORT_WINDOW_MS), -math.inf),
            _Bound(LONG_WINDOW_MS, _most(per_s, LONG_WINDOW_MS), since_ms),
            _Bound(
                LONG_WINDOW_MS,
                _most(per_s * TRANSITION_FACTOR, LONG_WINDOW_MS),
                settled_ms - LONG_WINDOW_MS,
            ),
        )


def _most(per_s: float, window_ms: float) -> int:
    # At least one, since only a response shows that the limit has changed.
    return max(math.ceil(per_s * window_ms / MILLIS_PER_SECOND), 1)
