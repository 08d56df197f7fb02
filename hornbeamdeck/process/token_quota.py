"""Limits of teams in tokens, kept by the owner for the whole fleet.

Load pattern: one team sends many times its usual, through all ingress
instances at once. Only a count in one place refuses neither too little (the
others would wait behind it) nor too much.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.version.routed import RoutedTeam

__all__ = ('QuotaRules', 'QuotaView', 'TokenQuotas')

# Part of the allowed slack that is used, so that a request at the very limit
# is not refused for the clocks of two machines. The rest stays for the moment
# in which two owners grant.
SLACK_SHARE: Final = 0.6
# From this share of the instances on, an owner spends the whole limit; those
# that are cut off spend their own share, which fits the allowed overage.
WHOLE_SHARE: Final = 0.8
# An engine may begin a request so much later than it was granted here.
LATE_START_MS: Final = 300
# Into so many entries is spread what was spent before this process counted.
SPREAD: Final = 16
MIN_RETRY_MS: Final = 100


class QuotaView(NamedTuple):
    """What limits depend on besides the clock.

    :param spent: tokens of a team in the last window, as ingresses report.
    :param is_remembered: whether those reports cover a whole window.
    :param share: part of the fleet's instances that this owner serves.
    """

    spent: Callable[[str], int]
    is_remembered: Callable[[], bool]
    share: Callable[[], float]


class QuotaRules(NamedTuple):
    """How limits are counted.

    :param slack: tokens that a window may hold beyond a team's limit.
    """

    window_ms: float
    slack: float


class _Spent(NamedTuple):
    at_ms: float
    tokens: float


class _Window:
    """What one team has spent within the window."""

    def __init__(self) -> None:
        self.entries: deque[_Spent] = deque()
        self.total = 0.0

    def add(self, at_ms: float, tokens: float) -> None:
        self.entries.append(_Spent(at_ms, tokens))
        self.total += tokens

    def forget(self, before_ms: float) -> None:
        while self.entries and self.entries[0].at_ms < before_ms:
            self.total -= self.entries.popleft().tokens


class TokenQuotas:
    """A sliding window for each team that has asked."""

    def __init__(
        self,
        view: QuotaView,
        rules: QuotaRules,
        *,
        is_first_start: bool,
    ) -> None:
        """Start without windows.

        :param is_first_start: nothing can have been spent before.
        """
        self._view = view
        self._window_ms = rules.window_ms + LATE_START_MS
        self._rules = rules
        self._is_first_start = is_first_start
        self._windows: dict[str, _Window] = {}

    def take(self, team: RoutedTeam, tokens: int, now: float) -> bool:
        """Count tokens against a team's limit if they fit."""
        if not team.rate_per_s:
            return True
        window = self._windows.get(team.name)
        if window is None:
            window = self._first_window(team, now)
            self._windows[team.name] = window
        window.forget(now - self._window_ms)
        if window.total + tokens > self._allowed(team):
            return False
        window.add(now, tokens)
        return True

    def give_back(self, team: str, tokens: int) -> None:
        """Return what a request took that never ran."""
        window = self._windows.get(team)
        if window is not None and window.entries:
            window.add(window.entries[-1].at_ms, -tokens)

    def forget(self) -> None:
        """Drop all windows, since another instance is the owner now."""
        self._windows.clear()
        self._is_first_start = False

    def retry_after_ms(
        self,
        team: RoutedTeam,
        tokens: int,
        now: float,
    ) -> int:
        """Tell when the window will have room for so many tokens."""
        window = self._windows.get(team.name)
        if window is None:
            return MIN_RETRY_MS
        missing = window.total + tokens - self._allowed(team)
        for spent in window.entries:
            missing -= spent.tokens
            if missing <= 0:
                return int(spent.at_ms + self._window_ms - now) + 1
        return int(self._window_ms)

    def describe(self, team: str) -> str:
        """Tell the state of a team's window, for the log."""
        window = self._windows.get(team)
        if window is None:
            return 'no limit in use'
        return f'{int(window.total)} tokens spent, share {self._share():.2f}'

    def _share(self) -> float:
        share = self._view.share()
        return 1.0 if share >= WHOLE_SHARE else share

    def _allowed(self, team: RoutedTeam) -> float:
        slack = self._rules.slack * SLACK_SHARE
        return (self._limit(team) + slack) * self._share()

    def _limit(self, team: RoutedTeam) -> float:
        window_s = self._rules.window_ms / MILLIS_PER_SECOND
        return team.burst + team.rate_per_s * window_s

    def _first_window(self, team: RoutedTeam, now: float) -> _Window:
        # After a fleet's restart nobody knows what the window holds already.
        # Taken for full it gives each team its rate, which those below their
        # limit do not notice; taken for empty it could break the limit.
        window = _Window()
        if self._is_first_start:
            return window
        spent: float = self._limit(team)
        if self._view.is_remembered():
            spent = min(spent, self._view.spent(team.name))
        step_ms = self._window_ms / SPREAD
        for step in range(SPREAD, 0, -1):
            window.add(now - step * step_ms, spent / SPREAD)
        return window
