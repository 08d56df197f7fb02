"""Limits of teams in tokens, kept by the owner for the whole fleet.

Load pattern: one team sends many times its usual, through all ingress
instances at once. Only a count in one place refuses neither too little (the
others would wait behind it) nor too much.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.version.routed import RoutedTeam

__all__ = ('SMALL_SHARE', 'Need', 'QuotaRules', 'QuotaView', 'TokenQuotas')

# Part of the allowed slack that is used, so that a request at the very limit
# is not refused for the clocks of two machines. The rest stays for the moment
# in which two owners grant.
SLACK_SHARE: Final = 0.6
# From this share of the instances on, an owner spends the whole limit; those
# that are cut off spend their own share, which fits the allowed overage.
WHOLE_SHARE: Final = 0.8
# Part of that which may be spent at once, besides the team's burst; the rest
# makes the buckets fill a little faster than the team's rate.
BURST_SHARE: Final = 0.3
MIN_RETRY_MS: Final = 100
# A request that needs no more than this part of what waits may pass it: a
# booking counts a few hundred tokens, a long prompt thousands, and one delays
# the other by milliseconds. Chosen between these, not measured.
SMALL_SHARE: Final = 0.1


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


class Need(NamedTuple):
    """What a request needs of its team's limit.

    :param rank: requests of this priority or before it get theirs first.
    :param patience_ms: how long it may wait for them.
    """

    tokens: int
    rank: int
    patience_ms: float = 0.0


class _Bucket:
    """A token bucket; it may be overdrawn by one request."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.updated_ms = now

    def fill(self, per_ms: float, capacity: float, now: float) -> None:
        gained = max(now - self.updated_ms, 0) * per_ms
        self.level = min(self.level + gained, capacity)
        self.updated_ms = now


class TokenQuotas:
    """A bucket for each team that has asked.

    What a bucket holds and what it gains within a window are together what the
    window may hold. So spending is even: after a burst there is no pause until
    the burst has left the window, and whoever counts next, knowing nothing of
    it, is safe with an empty bucket.
    """

    def __init__(
        self,
        view: QuotaView,
        rules: QuotaRules,
        *,
        is_first_start: bool,
    ) -> None:
        """Start without buckets.

        :param is_first_start: nothing can have been spent before.
        """
        self._view = view
        self._rules = rules
        self._is_first_start = is_first_start
        self._buckets: dict[str, _Bucket] = {}
        self._waiting: dict[str, dict[int, int]] = {}

    def may_wait(self, team: RoutedTeam, need: Need, now: float) -> bool:
        """Whether a request may wait for its tokens.

        A bucket that lacks some gains them in a fraction of a second. What can
        start then and be on time waits; sent away, it would come back late, or
        not at all.
        """
        if not team.rate_per_s:
            return True
        bucket = self._filled(team, now)
        tokens = min(need.tokens, self._capacity(team))
        ahead = self._ahead(team, need.rank)
        if tokens <= bucket.level and tokens <= ahead * SMALL_SHARE:
            return True
        lacking = tokens + ahead - bucket.level
        return lacking <= need.patience_ms * self._per_ms(team)

    def wait(self, team: str, need: Need) -> None:
        """Count a request among those that wait for a team's tokens."""
        waiting = self._waiting.setdefault(team, {})
        waiting[need.rank] = waiting.get(need.rank, 0) + need.tokens

    def stop_waiting(self, team: str, need: Need) -> None:
        """Count it no more."""
        waiting = self._waiting[team]
        waiting[need.rank] -= need.tokens
        if not any(waiting.values()):
            self._waiting.pop(team)

    def has(self, team: RoutedTeam, tokens: int, now: float) -> bool:
        """Whether a team has so many tokens now."""
        if not team.rate_per_s:
            return True
        # A request larger than the bucket would never pass a full one.
        needed = min(tokens, self._capacity(team))
        return self._filled(team, now).level >= needed

    def take(self, team: RoutedTeam, tokens: int, now: float) -> bool:
        """Count tokens against a team's limit if they are there."""
        if not self.has(team, tokens, now):
            return False
        if team.rate_per_s:
            self._buckets[team.name].level -= tokens
        return True

    def forget(self) -> None:
        """Drop all buckets, since another instance is the owner now."""
        self._buckets.clear()
        self._is_first_start = False

    def retry_after_ms(self, team: RoutedTeam, need: Need) -> int:
        """Tell when a request's tokens will be there."""
        bucket = self._buckets.get(team.name)
        if bucket is None:
            return MIN_RETRY_MS
        lacking = min(need.tokens, self._capacity(team)) - bucket.level
        lacking += self._ahead(team, need.rank)
        return max(int(lacking / self._per_ms(team)) + 1, MIN_RETRY_MS)

    def describe(self, team: str) -> str:
        """Tell the state of a team's bucket, for the log."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return 'no limit in use'
        return f'{int(bucket.level)} tokens left, share {self._share():.2f}'

    def _filled(self, team: RoutedTeam, now: float) -> _Bucket:
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(self._first_level(team), now)
            self._buckets[team.name] = bucket
        bucket.fill(self._per_ms(team), self._capacity(team), now)
        return bucket

    def _ahead(self, team: RoutedTeam, rank: int) -> int:
        """Count the tokens that go before those of a new request."""
        waiting = self._waiting.get(team.name, {})
        return sum(tokens for other, tokens in waiting.items() if other <= rank)

    def _share(self) -> float:
        share = self._view.share()
        return 1.0 if share >= WHOLE_SHARE else share

    def _slack(self) -> float:
        return self._rules.slack * SLACK_SHARE

    def _capacity(self, team: RoutedTeam) -> float:
        return (team.burst + self._slack() * BURST_SHARE) * self._share()

    def _per_ms(self, team: RoutedTeam) -> float:
        spread = self._slack() * (1 - BURST_SHARE) / self._rules.window_ms
        per_ms = team.rate_per_s / MILLIS_PER_SECOND + spread
        return per_ms * self._share()

    def _first_level(self, team: RoutedTeam) -> float:
        # After a fleet's restart nobody knows what was spent right before it.
        # An empty bucket gives each team its rate, which those below their
        # limit hardly notice; a full one could break the limit.
        capacity = self._capacity(team)
        if self._is_first_start:
            return capacity
        if not self._view.is_remembered():
            return 0.0
        gained = self._per_ms(team) * self._rules.window_ms
        left = capacity + gained - self._view.spent(team.name)
        return min(capacity, left)
