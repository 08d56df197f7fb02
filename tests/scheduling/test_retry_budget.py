"""Budget of retries for the whole fleet."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.retry_budget import RetryBudget

EVENTS = st.lists(
    st.tuples(st.integers(0, 400), st.booleans()),
    max_size=200,
)


@given(EVENTS)
def test_no_window_holds_more_retries_than_allowed(
    events: list[tuple[int, bool]],
) -> None:
    budget = RetryBudget(ratio=0.2, slack=10, window_ms=2000)
    retries: list[int] = []
    requests: list[int] = []
    now = 0
    for passed_ms, is_retry in events:
        now += passed_ms
        if not is_retry:
            budget.record_request(now)
            requests.append(now)
        elif budget.try_spend(now):
            retries.append(now)
    for end in retries:
        in_window = [each for each in retries if end - 2000 < each <= end]
        counted_requests = [
            each for each in requests if end - 4000 < each <= end
        ]
        assert len(in_window) <= 0.2 * len(counted_requests) + 10


def test_the_budget_refills() -> None:
    budget = RetryBudget(ratio=0, slack=4, window_ms=1000)
    assert [budget.try_spend(0) for _ in range(3)] == [True, True, False]
    assert budget.try_spend(1500)


def test_counts_tell_what_is_left() -> None:
    """Guards against a limit that refuses without a trace of its count."""
    budget = RetryBudget(ratio=0.2, slack=10, window_ms=1000)
    budget.record_request(0)
    assert budget.try_spend(100)
    before, after = budget.counts(200), budget.counts(1500)
    assert (before.requests, before.retries) == (1, 1)
    assert (after.requests, after.retries) == (0, 0)
    assert after.left == before.left + 1
