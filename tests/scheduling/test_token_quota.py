"""Limits of teams in tokens."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.token_quota import Need
from tests.scheduling.routed import quotas, team

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
        if limits.spend(guides, tokens, now):
            taken.append((now, tokens))
    for start, _ in taken:
        window = [each for at, each in taken if start <= at < start + 8000]
        # One request may overdraw a full bucket.
        largest = max(window, default=0)
        assert sum(window) <= 1000 * 8 + max(largest, 1000)


def test_nothing_is_refused_below_the_limit() -> None:
    limits = quotas()
    for second in range(60):
        assert limits.spend(team(), 1000, second * 1000)


def test_a_team_without_a_rate_has_no_limit() -> None:
    assert quotas().spend(team(rate=0), 10**9, 0)


def test_what_waits_is_not_counted_before_it_starts() -> None:
    """A request waits for a place and its caller leaves. Nothing has run, so
    nothing of the team's limit is used up.
    """
    limits = quotas()
    need = Need(1000, 0, 500)
    limits.add_waiting('guides', need)
    limits.remove_waiting('guides', need)
    assert limits.spend(team(), 1000, 0)


def test_the_time_to_come_back_is_when_there_is_room() -> None:
    limits = quotas()
    limits.spend(team(), 1000, 0)
    assert not limits.spend(team(), 500, 100)
    wait_ms = limits.retry_after_ms(team(), Need(500, 0))
    assert not limits.spend(team(), 500, 100 + wait_ms - 10)
    assert limits.spend(team(), 500, 100 + wait_ms)


def test_a_request_larger_than_the_bucket_passes_a_full_one() -> None:
    """A team sends one request beyond its whole burst. Refused for good, it
    could never be served; it passes, and the team waits for it afterwards.
    """
    limits = quotas()
    assert limits.spend(team(), 5000, 0)
    assert not limits.spend(team(), 1, 3900)
    assert limits.spend(team(), 1, 4100)


def test_after_a_restart_of_all_the_window_still_holds() -> None:
    """Every process is killed right after a team spent its burst at once, and
    nobody remembers. Counted as spread over the time before, part of it would
    be granted again while it still counts.
    """
    before = quotas()
    spent = sum(
        100 * before.spend(team(), 100, number * 10) for number in range(500)
    )
    after = quotas(is_remembered=False, is_first_start=False)
    spent += sum(
        100 * after.spend(team(), 100, 6000 + number * 10)
        for number in range(200)
    )
    assert spent <= 9000
    assert after.spend(team(), 900, 9000)


def test_a_new_owner_counts_what_is_reported() -> None:
    limits = quotas(spent=8600, is_first_start=False)
    assert limits.spend(team(), 400, 0)
    assert not limits.spend(team(), 400, 10)


def test_two_halves_of_a_cut_fleet_spend_the_limit_once() -> None:
    """The fleet is cut in two and each side has an owner. Together they may
    not spend the limit twice.
    """
    sides = [quotas(share=0.7), quotas(share=0.3)]
    spent = sum(
        100 * side.spend(team(), 100, number * 10)
        for number in range(200)
        for side in sides
    )
    assert spent <= 9000


def test_what_lacks_a_few_tokens_waits_for_them() -> None:
    """A team's bucket is short by what it gains in a tenth of a second. Sent
    away, its caller would return once, late, and meet the same.
    """
    limits = quotas()
    assert limits.spend(team(), 1000, 0)
    assert limits.may_wait(team(), Need(100, 0, 200), 0)
    assert not limits.may_wait(team(), Need(300, 0, 200), 0)


def test_what_waits_already_counts_for_who_comes_next() -> None:
    limits = quotas()
    assert limits.spend(team(), 1000, 0)
    limits.add_waiting('guides', Need(150, 1))
    assert not limits.may_wait(team(), Need(100, 1, 200), 0)
    assert limits.may_wait(team(), Need(100, 0, 200), 0)


def test_a_booking_passes_long_prompts_that_wait_for_tokens() -> None:
    """A team is over its limit by long prompts. Its bookings need next to
    nothing of it; behind the prompts each would be refused.
    """
    limits = quotas()
    assert limits.spend(team(), 800, 0)
    limits.add_waiting('guides', Need(5000, 0))
    assert limits.may_wait(team(), Need(100, 2, 40), 0)
    assert limits.spend(team(), 100, 0)
