"""Limit on the retries that the fleet may send to a service.

Load pattern: engines fail many requests at once, and each retry adds load to
the engines that still work. The limit holds in any window, for all instances
together, however many owners follow one another or grant at the same time. So
no owner relies on what another one has counted:

- Each request earns a fraction of a retry, at the owner that receives it. Only
  that owner spends it, and it saves up only a few while it is the owner.
- The retries allowed in addition in each window belong to a process that has
  been the only owner for a whole window. One that serves a part of the fleet
  has that part of them.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, TypeAlias

__all__ = ('RetryBudget', 'RetryCounts', 'RetryRules', 'ReadServedShare')

ReadServedShare: TypeAlias = Callable[[float], float]

# Share of the slack that is used, since retries that were granted before a
# window may reach their engines in it.
USED_SHARE: Final = 0.95
# Share of the slack that may be saved up from requests instead.
SAVED_SHARE: Final = 0.25
# Retries that any owner may save up. With less than one, an owner that has just
# started could not grant any.
MIN_SAVED: Final = 2.0


class RetryRules(NamedTuple):
    """How many retries a service may get.

    :param ratio: retries allowed per request.
    :param slack: retries allowed in addition in any window.
    """

    ratio: float
    slack: float
    window_ms: float


class RetryCounts(NamedTuple):
    """What this process has counted for one service.

    :param retries: retries that it has started within the window.
    :param left: retries that may start now; some of them may be reserved.
    :param served_share: lowest share of the fleet that it has granted for
        within the window.
    """

    retries: int
    left: int
    served_share: float


class RetryBudget:
    """The retries of one service that this process may allow."""

    def __init__(
        self, rules: RetryRules, served_share: ReadServedShare
    ) -> None:
        """Start with as many saved retries as may be, or none.

        Nobody can have granted any if this process has served the whole fleet
        for a whole window when the budget is first used.

        :param served_share: returns the lowest share of the fleet that this
            process has granted for within the window up to a time.
        """
        slack = rules.slack * USED_SHARE
        self._ratio = rules.ratio
        self._window_ms = rules.window_ms
        self._served_share = served_share
        self._min_saved = min(MIN_SAVED, slack) if self._ratio else 0.0
        self._max_saved = max(
            slack * SAVED_SHARE if self._ratio else 0.0, self._min_saved
        )
        self._slack = slack - self._max_saved
        self._saved: float | None = None
        self._slack_spent: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._reserved = 0

    def record_request(self, now: float) -> None:
        """Earn a part of a retry by a request on its first attempt."""
        self._saved = self._limit_saved(now) + self._ratio
        self._limit_saved(now)

    def drop_saved(self) -> None:
        """Forget what was saved up, as this process is not the owner.

        Owners that follow one another could otherwise spend within one window
        what each of them had saved up long before.
        """
        if self._saved is not None:
            self._saved = 0.0

    def try_reserve(self, now: float) -> bool:
        """Let a retry wait, if the budget allows one more than do."""
        if self.counts(now).left <= self._reserved:
            return False
        self._reserved += 1
        return True

    def cancel_reserved(self) -> None:
        """Stop reserving for a retry that does not wait any more."""
        self._reserved -= 1

    def has_retry(self, now: float) -> bool:
        """Return whether a retry may start now."""
        return self.counts(now).left >= 1

    def spend(self, now: float) -> None:
        """Count a retry that starts now."""
        saved = self._limit_saved(now)
        if saved >= 1:
            self._saved = saved - 1
        else:
            self._slack_spent.append(now)
        self._retries.append(now)

    def counts(self, now: float) -> RetryCounts:
        """Return what counts now."""
        saved = self._limit_saved(now)
        for spent in (self._slack_spent, self._retries):
            while spent and spent[0] < now - self._window_ms:
                spent.popleft()
        share = self._served_share(now)
        slack_left = int(self._slack * share) - len(self._slack_spent)
        return RetryCounts(
            len(self._retries),
            int(saved) + max(slack_left, 0),
            share,
        )

    def _limit_saved(self, now: float) -> float:
        """Drop what may not be saved up, and return what is left of it."""
        share = self._served_share(now)
        if self._saved is None:
            self._saved = self._max_saved if share >= 1 else 0.0
        limit = max(self._max_saved * share, self._min_saved)
        self._saved = min(self._saved, limit)
        return self._saved
