"""Token limits of teams, counted by the owner for the whole fleet.

Load pattern: one team sends many times its usual load through all ingress
instances at once. Only a single count for the fleet refuses neither too much
nor too little. If too little were refused, the other teams would wait behind
the excess.

Owners change while teams spend. A new owner starts each bucket almost empty,
which is safe whatever its predecessor granted. When all instances have reported
to it what they spent, it adds what the limit has left. An owner that has not
run for a while is a new owner: the others may have replaced it.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.scheduling.owner_share import OwnerShare
from hornbeamdeck.scheduling.tenure import MAX_RECORD_GAP_MS
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
# Share of the used slack that may be spent at once, in addition to the team's
# burst. The remainder refills the buckets a little faster than the team's rate.
BURST_SHARE: Final = 0.3
MIN_RETRY_MS: Final = 100
# Part of the slack with which a new owner starts each bucket, for four owners
# in a window.
START_SLACK_SHARE: Final = (1 - USED_SLACK_SHARE) / 4
# Refill that the time of a retry is computed with if there is none now, as for
# an owner without instances.
MIN_REFILL_PER_MS: Final = 1.0
# A request that needs at most this share of the tokens that others wait for may
# overtake them: a booking counts a few hundred tokens, a long prompt thousands,
# and one delays the other by milliseconds.
SMALL_REQUEST_SHARE: Final = 0.1


class BucketStart(NamedTuple):
    """What a new owner derives from the spending that was reported to it.

    :param level_tokens: tokens that the team has left now.
    :param granted_tokens: tokens that this owner has granted it before.
    :param spent_tokens: the team's spending within the window, as reported.
    """

    team: str
    level_tokens: int
    granted_tokens: int
    spent_tokens: int


class QuotaView(NamedTuple):
    """State outside this module that the limits depend on.

    :param spent: tokens of a team in each slice of the window up to a time,
        the latest first, as reported by the ingresses.
    :param covers_window: whether those reports cover a whole window.
    :param share: share of the fleet's instances that this owner serves.
    :param overlap_ms: returns for how long after a partition an owner may
        count instances that another owner serves already.
    :param on_start: called when a new owner has derived what a team has left.
    """

    spent: Callable[[str, float], Sequence[int]]
    covers_window: Callable[[], bool]
    share: Callable[[], float]
    overlap_ms: Callable[[], float] = float
    on_start: Callable[[BucketStart], None] | None = None


class QuotaRules(NamedTuple):
    """How limits are counted.

    :param slack: tokens that a window may hold beyond a team's limit.
    :param overage: what a window may hold beyond it, as a share of the limit.
    :param slice_ms: length of the slices in which spending is reported.
    """

    window_ms: float
    slack: float
    overage: float = 0.0
    slice_ms: float = 1000.0

    def capacity(self, team: GatewayTeam) -> float:
        """Return the tokens that a team may spend at once."""
        return team.burst + self._used_slack * BURST_SHARE

    def refill_per_ms(self, team: GatewayTeam) -> float:
        """Return the tokens that a team may spend in each millisecond."""
        slack_per_ms = self._used_slack * (1 - BURST_SHARE) / self.window_ms
        return team.rate_per_s / MILLIS_PER_SECOND + slack_per_ms

    @property
    def _used_slack(self) -> float:
        return self.slack * USED_SLACK_SHARE


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

    def __init__(self, level: float, now: float, *, is_derived: bool) -> None:
        """Start with a level.

        :param is_derived: whether nothing has to be added for the time before.
        """
        self.level = level
        self.started_ms = now
        self.updated_ms = now
        self.granted_tokens = 0
        self.is_derived = is_derived

    def fill(
        self, refill_per_ms: float, drain_per_ms: float, most: float, now: float
    ) -> None:
        """Apply the time since the last call.

        :param most: level up to which the bucket is refilled, and down to which
            it drains. Another owner's bucket fills up meanwhile.
        """
        elapsed_ms = max(now - self.updated_ms, 0)
        self.updated_ms = now
        if self.level <= most:
            self.level = min(self.level + elapsed_ms * refill_per_ms, most)
        else:
            self.level = max(self.level - elapsed_ms * drain_per_ms, most)

    def spend(self, tokens: int) -> None:
        self.level -= tokens
        self.granted_tokens += tokens


class TokenQuotas:
    """Token buckets, one for each team that has sent requests.

    The capacity of a bucket and its refill within a window together equal what
    the window may hold. So spending is even: after a burst, a team does not
    have to wait until the burst has left the window.
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
        self._share = OwnerShare(
            view.share,
            view.overlap_ms,
            rules.overage,
            is_first_start=is_first_start,
        )
        # When this process was last seen to run; infinity: not yet.
        self._ran_ms = math.inf
        self._buckets: dict[str, _Bucket] = {}
        self._waiting: dict[str, dict[int, int]] = {}

    def record_running(self, now: float) -> None:
        """Record that this process runs; called often."""
        self._reset_after_gap(now)
        self._ran_ms = now

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
        level = self._refilled_bucket(team, now).level
        return level >= needed and level > 0

    def spend(self, team: GatewayTeam, tokens: int, now: float) -> bool:
        """Charge tokens to a team's limit if it has them."""
        if not self.has_tokens(team, tokens, now):
            return False
        if team.rate_per_s:
            self._buckets[team.name].spend(tokens)
        return True

    def give_back(
        self, team: GatewayTeam, tokens: int, spent_ms: float, now: float
    ) -> None:
        """Take back a charge for a request that was never sent.

        :param spent_ms: when it was charged, maybe before this bucket began.
        """
        bucket = self._refilled_bucket(team, now)
        if spent_ms < bucket.started_ms:
            return
        room = max(self._capacity(team) - bucket.level, 0)
        bucket.level += min(tokens, room)
        bucket.granted_tokens -= tokens

    def reset(self) -> None:
        """Remove all buckets, since another instance is the owner or was."""
        self._buckets.clear()
        self._is_first_start = False
        self._share.reset()

    def retry_after_ms(self, team: GatewayTeam, need: TokenNeed) -> int:
        """Return the time until a request's tokens are available."""
        bucket = self._buckets.get(team.name)
        if bucket is None:
            return MIN_RETRY_MS
        missing = min(need.tokens, self._capacity(team)) - bucket.level
        missing += self._tokens_ahead(team, need.rank)
        refill_per_ms = max(self._refill_per_ms(team), MIN_REFILL_PER_MS)
        return max(int(missing / refill_per_ms) + 1, MIN_RETRY_MS)

    def describe(self, team: str) -> str:
        """Return the state of a team's bucket, for the log."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return 'no limit in use'
        share = self._share.share
        return f'{int(bucket.level)} tokens left, share {share:.2f}'

    def _reset_after_gap(self, now: float) -> None:
        if now - self._ran_ms > MAX_RECORD_GAP_MS:
            self._ran_ms = now
            self.reset()

    def _refilled_bucket(self, team: GatewayTeam, now: float) -> _Bucket:
        self._reset_after_gap(now)
        self._share.start(now)
        bucket = self._buckets.get(team.name)
        if bucket is None:
            level = self._initial_level(team, now)
            bucket = _Bucket(level, now, is_derived=self._is_first_start)
            self._buckets[team.name] = bucket
        drain_share = 1 - self._share.share
        bucket.fill(
            self._refill_per_ms(team),
            self._rules.refill_per_ms(team) * drain_share,
            self._capacity(team),
            now,
        )
        if not bucket.is_derived:
            self._derive_level(team, bucket, now)
        return bucket

    def _derive_level(
        self, team: GatewayTeam, bucket: _Bucket, now: float
    ) -> None:
        """Add what a team has left of the time before this owner.

        That is known only to an owner of the whole fleet, once the reports of
        all instances are later than its predecessor's last grants.
        """
        if now - bucket.started_ms > self._rules.window_ms:
            bucket.is_derived = True
        if (
            not self._share.is_overlap_over(now)
            or self._share.share < 1
            or not self._view.covers_window()
        ):
            return
        bucket.is_derived = True
        spent = self._view.spent(team.name, now)
        level = _level_after(spent, self._rules, team) - bucket.granted_tokens
        bucket.level = max(bucket.level, level)
        if self._view.on_start is not None:
            self._view.on_start(
                BucketStart(
                    team=team.name,
                    level_tokens=int(bucket.level),
                    granted_tokens=bucket.granted_tokens,
                    spent_tokens=sum(spent),
                )
            )

    def _tokens_ahead(self, team: GatewayTeam, rank: int) -> int:
        """Return the tokens that waiting requests get before a new request."""
        waiting = self._waiting.get(team.name, {})
        return sum(tokens for other, tokens in waiting.items() if other <= rank)

    def _capacity(self, team: GatewayTeam) -> float:
        return self._rules.capacity(team) * self._share.share

    def _refill_per_ms(self, team: GatewayTeam) -> float:
        return self._rules.refill_per_ms(team) * self._share.share

    def _initial_level(self, team: GatewayTeam, now: float) -> float:
        """Return what a team surely has left when this owner starts to count.

        A new owner does not know what was granted since the last reports.
        Its small start lets teams go on that use a part of their rate.
        """
        if self._is_first_start:
            return self._capacity(team)
        left = _level_after(self._view.spent(team.name, now), self._rules, team)
        return max(min(left, self._rules.slack * START_SLACK_SHARE), 0)


def _level_after(
    spent: Sequence[int], rules: QuotaRules, team: GatewayTeam
) -> float:
    """Return the level of a bucket that was full before some spending.

    The sum of a window does not tell it: a burst that was spent just now leaves
    nothing, and one that was spent at the start of the window has been
    refilled.

    :param spent: by slice of the window, the latest first. All of a slice
        counts as spent at its end.
    """
    level = rules.capacity(team)
    refill_per_slice = rules.slice_ms * rules.refill_per_ms(team)
    total = 0
    for age, tokens in enumerate(spent):
        total += tokens
        left = rules.capacity(team) - total + age * refill_per_slice
        level = min(level, left)
    return level
