"""Token limits of teams."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.token_quota import TokenNeed
from tests.scheduling.engine_cell_factories import make_quotas, make_team

SPENDINGS = st.lists(
    st.tuples(st.integers(0, 2000), st.integers(1, 6000)),
    max_size=60,
)


@given(SPENDINGS)
def test_no_window_holds_more_than_the_limit(
    spendings: list[tuple[int, int]],
) -> None:
    limits = make_quotas()
    guides = make_team()
    charged = []
    now = 0
    for wait_ms, tokens in spendings:
        now += wait_ms
        if limits.spend(guides, tokens, now):
            charged.append((now, tokens))
    for start, _ in charged:
        window = [each for at, each in charged if start <= at < start + 8000]
        # One request may overdraw a full bucket.
        largest = max(window, default=0)
        assert sum(window) <= 1000 * 8 + max(largest, 1000)


def test_nothing_is_refused_below_the_limit() -> None:
    limits = make_quotas()
    for second in range(60):
        assert limits.spend(make_team(), 1000, second * 1000)


def test_a_team_without_a_rate_has_no_limit() -> None:
    assert make_quotas().spend(make_team(rate=0), 10**9, 0)


def test_a_waiting_request_is_not_charged() -> None:
    """A request waits for a slot and its caller disconnects. Nothing has run,
    so nothing is charged to the team's limit.
    """
    limits = make_quotas()
    need = TokenNeed(1000, 0, 500)
    limits.add_waiting('guides', need)
    limits.remove_waiting('guides', need)
    assert limits.spend(make_team(), 1000, 0)


def test_the_retry_time_is_when_tokens_are_available() -> None:
    limits = make_quotas()
    limits.spend(make_team(), 1000, 0)
    assert not limits.spend(make_team(), 500, 100)
    wait_ms = limits.retry_after_ms(make_team(), TokenNeed(500, 0))
    assert not limits.spend(make_team(), 500, 100 + wait_ms - 10)
    assert limits.spend(make_team(), 500, 100 + wait_ms)


def test_a_request_larger_than_the_bucket_starts_with_a_full_one() -> None:
    """A team sends one request larger than its whole burst. It must not be
    refused for ever: it starts with a full bucket, and the team waits
    afterwards.
    """
    limits = make_quotas()
    assert limits.spend(make_team(), 5000, 0)
    assert not limits.spend(make_team(), 1, 3900)
    assert limits.spend(make_team(), 1, 4100)


def test_the_window_limit_holds_after_a_fleet_restart() -> None:
    """Every process is killed right after a team spent its burst, and the count
    is lost. If that spending were assumed to be spread over the time before,
    part of it would be granted again while it still counts.
    """
    before = make_quotas()
    spent = sum(
        100 * before.spend(make_team(), 100, number * 10)
        for number in range(500)
    )
    after = make_quotas(covers_window=False, is_first_start=False)
    spent += sum(
        100 * after.spend(make_team(), 100, 6000 + number * 10)
        for number in range(200)
    )
    assert spent <= 9000
    assert after.spend(make_team(), 900, 9000)


def test_a_new_owner_counts_reported_spending() -> None:
    limits = make_quotas(spent=(600,), is_first_start=False)
    assert limits.spend(make_team(), 400, 0)
    assert not limits.spend(make_team(), 400, 10)


def test_a_burst_that_was_just_spent_leaves_nothing() -> None:
    """Guards against a successor that counts the sum of a window only."""
    limits = make_quotas(spent=(1000,), is_first_start=False)
    assert not limits.spend(make_team(), 100, 0)


def test_a_burst_that_was_spent_long_ago_has_been_refilled() -> None:
    """Guards against a successor that refuses what a team has left."""
    limits = make_quotas(spent=(0, 0, 0, 1000), is_first_start=False)
    assert limits.spend(make_team(), 1000, 0)


def test_a_partitioned_fleet_spends_the_limit_once() -> None:
    """The fleet is partitioned and each side has an owner. Together they must
    not spend the limit twice.
    """
    sides = [make_quotas(share=0.7), make_quotas(share=0.3)]
    spent = sum(
        100 * side.spend(make_team(), 100, number * 10)
        for number in range(200)
        for side in sides
    )
    assert spent <= 9000


def test_a_request_that_lacks_a_few_tokens_waits() -> None:
    """A team's bucket lacks what it gains in a tenth of a second. If the
    request were refused, its caller would retry once, late, and be refused
    again.
    """
    limits = make_quotas()
    assert limits.spend(make_team(), 1000, 0)
    assert limits.may_wait(make_team(), TokenNeed(100, 0, 200), 0)
    assert not limits.may_wait(make_team(), TokenNeed(300, 0, 200), 0)


def test_waiting_requests_count_for_the_next_one() -> None:
    limits = make_quotas()
    assert limits.spend(make_team(), 1000, 0)
    limits.add_waiting('guides', TokenNeed(150, 1))
    assert not limits.may_wait(make_team(), TokenNeed(100, 1, 200), 0)
    assert limits.may_wait(make_team(), TokenNeed(100, 0, 200), 0)


def test_a_booking_passes_long_prompts_that_wait_for_tokens() -> None:
    """A team's long prompts exceed its limit. Its bookings need very few
    tokens; if they queued behind the prompts, each would be refused.
    """
    limits = make_quotas()
    assert limits.spend(make_team(), 800, 0)
    limits.add_waiting('guides', TokenNeed(5000, 0))
    assert limits.may_wait(make_team(), TokenNeed(100, 2, 40), 0)
    assert limits.spend(make_team(), 100, 0)
