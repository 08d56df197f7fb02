"""Token limits of teams, counted by the owner for the whole fleet.

Load pattern: one team sends many times its usual load through all ingress
instances at once. Only a single count for the fleet refuses neither too much
nor too little. If too little were refused, the other teams would wait behind
the excess.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.version.gateway import GatewayTeam

__all__ = (
    'SMALL_REQUEST_SHARE',
    'BucketStart',
    'TokenNeed',
    'QuotaRules',
    'QuotaView',
    'TokenQuotas',
)

# Share of the allowed slack that is used, so that a request at the exact limit
# is not refused because the clocks of two machines differ. The remainder covers
# the moment in which two owners grant.
USED_SLACK_SHARE: Final = 0.6
# An owner that serves at least this share of the instances spends the whole
# limit. An owner of a smaller part of a partitioned fleet spends only its own
# share, which fits in the allowed overage.
FULL_LIMIT_SHARE: Final = 0.8
# Share of the used slack that may be spent at once, in addition to the team's
# burst. The remainder refills the buckets a little faster than the team's rate.
BURST_SHARE: Final = 0.3
MIN_RETRY_MS: Final = 100
# A request that needs at most this share of the tokens that others wait for may
# overtake them: a booking counts a few hundred tokens, a long prompt thousands,
# and one delays the other by milliseconds.
SMALL_REQUEST_SHARE: Final = 0.1


class BucketStart(NamedTuple):
    """What a new owner knows of a team's limit when it starts to count.

    :param level_tokens: tokens that it grants the team at once.
    :param spent_tokens: the team's spending within the window, as reported.
    :param covers_window: whether the reports cover a whole window.
    """

    team: str
    level_tokens: int
    spent_tokens: int
    covers_window: bool
    share: float


class QuotaView(NamedTuple):
    """State outside this module that the limits depend on.

    :param spent: tokens of a team in the window up to a time, as reported by
        the ingresses.
    :param covers_window: whether those reports cover a whole window.
    :param share: share of the fleet's instances that this owner serves.
    :param on_start: called for each bucket that a new owner starts.
    """

    spent: Callable[[str, float], int]
    covers_window: Callable[[], bool]
    share: Callable[[], float]
    on_start: Callable[[BucketStart], None] | None = None


class QuotaRules(NamedTuple):
    """How limits are counted.

    :param slack: tokens that a window may hold beyond a team's limit.
    """

    window_ms: float
    slack: float


class TokenNeed(NamedTuple):
    """Tokens that a request needs of its team's limit.

    :param rank: requests of this priority or a higher one get theirs first.
    :param max_wait_ms: how long it may wait for them.
    """

    tokens: int
    rank: int
    max_wait_ms: float = 0.0


class _Bucket:
    """A token bucket; it may be overdrawn by one request."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.updated_ms = now

    def fill(self, per_ms: float, capacity: float, now: float) -> None:
        refill = max(now - self.updated_ms, 0) * per_ms
        self.level = min(self.level + refill, capacity)
        self.updated_ms = now


class TokenQuotas:
    """Token buckets, one for each team that has sent requests.

    The capacity of a bucket and its refill within a window together equal what
    the window may hold. So spending is even: after a burst, a team does not
    have to wait until the burst has left the window. The next owner, which does
    not have the count, stays within the limit by starting with an empty bucket.
    """

    def __init__(
        self,
        view: QuotaView,
        rules: QuotaRules,
        *,
        is_first_start: bool,
    ) -> None:
        """Start without buckets.

        :param is_first_start: whether nothing can have been spent before.
        """
        self._view = view
        self._rules = rules
        self._is_first_start = is_first_start
        self._buckets: dict[str, _Bucket] = {}
        self._waiting: dict[str, dict[int, int]] = {}

    def may_wait(self, team: GatewayTeam, need: TokenNeed, now: float) -> bool:
        """Return whether a request may wait for its tokens.

        A bucket that lacks a few tokens gains them in a fraction of a second. A
        request that can start then and be on time waits. If it were refused, it
        would come back late or not at all.
        """
        if not team.rate_per_s:
            return True
        bucket = self._refilled_bucket(team, now)
        tokens = min(need.tokens, self._capacity(team))
        tokens_ahead = self._tokens_ahead(team, need.rank)
        if (
            tokens <= bucket.level
            and tokens <= tokens_ahead * SMALL_REQUEST_SHARE
        ):
            return True
        missing = tokens + tokens_ahead - bucket.level
        return missing <= need.max_wait_ms * self._refill_per_ms(team)

    def add_waiting(self, team: str, need: TokenNeed) -> None:
        """Count a request among those that wait for a team's tokens."""
        waiting = self._waiting.setdefault(team, {})
        waiting[need.rank] = waiting.get(need.rank, 0) + need.tokens

    def remove_waiting(self, team: str, need: TokenNeed) -> None:
        """Stop counting a request among those that wait."""
        waiting = self._waiting[team]
        waiting[need.rank] -= need.tokens
        if not any(waiting.values()):
            self._waiting.pop(team)

    def has_tokens(self, team: GatewayTeam, tokens: int, now: float) -> bool:
        """Return whether a team has a number of tokens now."""
        if not team.rate_per_s:
            return True
        # The need is capped, since a request larger than the bucket's capacity
        # would never start, even with a full bucket.
        needed = min(tokens, self._capacity(team))
        return self._refilled_bucket(team, now).level >= needed

    def spend(self, team: GatewayTeam, tokens: int, now: float) -> bool:
        """Charge tokens to a team's limit if it has them."""
        if not self.has_tokens(team, tokens, now):
            return False
        if team.rate_per_s:
            self._buckets[team.name].level -= tokens
        return True

    def reset(self) -> None:
        """Remove all buckets, since another instance is the owner now."""
        self._buckets.clear()
        self._is_first_start = False

    def retry_after_ms(self, team: GatewayTeam, need: TokenNeed) -> int:
        """Return the time until a request's tokens are available."""
        bucket = self._buckets.get(team.name)
        if bucket is None:
            return MIN_RETRY_MS
        missing = min(need.tokens, self._capacity(team)) - bucket.level
        missing += self._tokens_ahead(team, need.rank)
        return max(int(missing / self._refill_per_ms(team)) + 1, MIN_RETRY_MS)

    def describe(self, team: str) -> str:
        """Return the state of a team's bucket, for the log."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return 'no limit in use'
        return f'{int(bucket.level)} tokens left, share {self._share():.2f}'

    def _refilled_bucket(self, team: GatewayTeam, now: float) -> _Bucket:
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(self._initial_level(team, now), now)
            self._buckets[team.name] = bucket
            self._report_start(team, bucket, now)
        bucket.fill(self._refill_per_ms(team), self._capacity(team), now)
        return bucket

    def _report_start(
        self, team: GatewayTeam, bucket: _Bucket, now: float
    ) -> None:
        if self._is_first_start or self._view.on_start is None:
            return
        self._view.on_start(
            BucketStart(
                team=team.name,
                level_tokens=int(bucket.level),
                spent_tokens=self._view.spent(team.name, now),
                covers_window=self._view.covers_window(),
                share=self._view.share(),
            )
        )

    def _tokens_ahead(self, team: GatewayTeam, rank: int) -> int:
        """Return the tokens that waiting requests get before a new request."""
        waiting = self._waiting.get(team.name, {})
        return sum(tokens for other, tokens in waiting.items() if other <= rank)

    def _share(self) -> float:
        share = self._view.share()
        return 1.0 if share >= FULL_LIMIT_SHARE else share

    def _slack(self) -> float:
        return self._rules.slack * USED_SLACK_SHARE

    def _capacity(self, team: GatewayTeam) -> float:
        return (team.burst + self._slack() * BURST_SHARE) * self._share()

    def _refill_per_ms(self, team: GatewayTeam) -> float:
        slack_per_ms = self._slack() * (1 - BURST_SHARE) / self._rules.window_ms
        per_ms = team.rate_per_s / MILLIS_PER_SECOND + slack_per_ms
        return per_ms * self._share()

    def _initial_level(self, team: GatewayTeam, now: float) -> float:
        # After a restart of the whole fleet, the tokens spent right before it
        # are unknown. An empty bucket gives each team its rate, which hardly
        # affects teams below their limit. A full one could exceed the limit.
        capacity = self._capacity(team)
        if self._is_first_start:
            return capacity
        if not self._view.covers_window():
            return 0.0
        refill = self._refill_per_ms(team) * self._rules.window_ms
        remaining = capacity + refill - self._view.spent(team.name, now)
        return min(capacity, remaining)
