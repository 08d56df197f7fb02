"""Limits of teams in tokens."""

from hypothesis import given
from hypothesis import strategies as st

from tests.process.routed import quotas, team, took

SPENDINGS = st.lists(
    st.tuples(st.integers(0, 2000), st.integers(1, 6000)),
    max_size=60,
)


@given(SPENDINGS)
def test_no_window_holds_more_than_the_limit(
    spendings: list[tuple[int, int]],
) -> None:
    limits = quotas()
    guides = team()
    taken = []
    now = 0
    for wait_ms, tokens in spendings:
        now += wait_ms
        if took(limits, guides, tokens, now):
            taken.append((now, tokens))
    for start, _ in taken:
        window = [each for at, each in taken if start <= at < start + 8000]
        # One request may overdraw a full bucket.
        largest = max(window, default=0)
        assert sum(window) <= 1000 * 8 + max(largest, 1000)


def test_nothing_is_refused_below_the_limit() -> None:
    limits = quotas()
    for second in range(60):
        assert took(limits, team(), 1000, second * 1000)


def test_a_team_without_a_rate_has_no_limit() -> None:
    assert took(quotas(), team(rate=0), 10**9, 0)


def test_what_never_ran_is_given_back() -> None:
    limits = quotas()
    assert took(limits, team(), 1000, 0)
    assert not took(limits, team(), 900, 10)
    limits.give_back('guides', 1000)
    assert took(limits, team(), 900, 20)


def test_the_time_to_come_back_is_when_there_is_room() -> None:
    limits = quotas()
    took(limits, team(), 1000, 0)
    assert not took(limits, team(), 500, 100)
    wait_ms = limits.retry_after_ms(team(), 500)
    assert not took(limits, team(), 500, 100 + wait_ms - 10)
    assert took(limits, team(), 500, 100 + wait_ms)


def test_a_request_larger_than_the_bucket_passes_a_full_one() -> None:
    """A team sends one request beyond its whole burst. Refused for good, it
    could never be served; it passes, and the team waits for it afterwards.
    """
    limits = quotas()
    assert took(limits, team(), 5000, 0)
    assert not took(limits, team(), 1, 3900)
    assert took(limits, team(), 1, 4100)


def test_after_a_restart_of_all_the_window_still_holds() -> None:
    """Every process is killed right after a team spent its burst at once, and
    nobody remembers. Counted as spread over the time before, part of it would
    be granted again while it still counts.
    """
    before = quotas()
    spent = sum(
        100 * took(before, team(), 100, number * 10) for number in range(500)
    )
    after = quotas(is_remembered=False, is_first_start=False)
    spent += sum(
        100 * took(after, team(), 100, 6000 + number * 10)
        for number in range(200)
    )
    assert spent <= 9000
    assert took(after, team(), 900, 9000)


def test_a_new_owner_counts_what_is_reported() -> None:
    limits = quotas(spent=8600, is_first_start=False)
    assert took(limits, team(), 400, 0)
    assert not took(limits, team(), 400, 10)


def test_two_halves_of_a_cut_fleet_spend_the_limit_once() -> None:
    """The fleet is cut in two and each side has an owner. Together they may
    not spend the limit twice.
    """
    sides = [quotas(share=0.7), quotas(share=0.3)]
    spent = sum(
        100 * took(side, team(), 100, number * 10)
        for number in range(200)
        for side in sides
    )
    assert spent <= 9000


def test_what_lacks_a_few_tokens_starts_as_soon_as_they_are_there() -> None:
    """A team's bucket is short by what it gains in a tenth of a second. Sent
    away, its caller would return once, late, and meet the same.
    """
    limits = quotas()
    assert limits.reserve(team(), 1000, 0, 200) == 0
    assert limits.reserve(team(), 100, 0, 200) == 100
    assert limits.reserve(team(), 50, 0, 200) == 150
    assert limits.reserve(team(), 100, 0, 200) is None


@given(SPENDINGS)
def test_what_waits_for_tokens_keeps_the_window(
    spendings: list[tuple[int, int]],
) -> None:
    """Requests start when their tokens are there, and so within the limit."""
    limits = quotas()
    started = []
    now = 0
    for wait_ms, tokens in spendings:
        now += wait_ms
        held_ms = limits.reserve(team(), tokens, now, 700)
        if held_ms is not None:
            started.append((now + held_ms, tokens))
    for start, _ in started:
        window = [each for at, each in started if start <= at < start + 8000]
        largest = max(window, default=0)
        assert sum(window) <= 1000 * 8 + max(largest, 1000)
