"""Budget of retries for the whole fleet."""

from hypothesis import given
from hypothesis import strategies as st

from tests.retry_rule import RetryRule
from tests.scheduling.retry_budgets import make_owner, try_spend

RULE = RetryRule(ratio=0.2, slack=10, window_ms=2000)
EVENTS = st.lists(
    st.tuples(st.integers(0, 400), st.booleans()),
    max_size=200,
)


OWNER_EVENTS = st.lists(
    st.tuples(
        st.sampled_from((0, 0, 20, 700)),
        st.sampled_from(('request', 'request', 'retries', 'new owner')),
    ),
    max_size=200,
)


@given(EVENTS)
def test_no_window_holds_more_retries_than_allowed(
    events: list[tuple[int, bool]],
) -> None:
    budget = make_owner(0.2, 10, 2000)
    retries: list[int] = []
    requests: list[int] = []
    now = 0
    for passed_ms, is_retry in events:
        now += passed_ms
        if not is_retry:
            budget.record_request(now)
            requests.append(now)
        elif try_spend(budget, now):
            retries.append(now)
    for end in retries:
        in_window = [each for each in retries if end - 2000 < each <= end]
        counted_requests = [
            each for each in requests if end - 4000 < each <= end
        ]
        assert len(in_window) <= 0.2 * len(counted_requests) + 10


def test_the_budget_refills() -> None:
    budget = make_owner(0, 4, 1000)
    assert [try_spend(budget, 0) for _ in range(4)] == [True, True, True, False]
    assert try_spend(budget, 1500)


def test_counts_tell_what_is_left() -> None:
    """Guards against a limit that refuses without a trace of its count."""
    budget = make_owner(0, 10, 1000)
    assert try_spend(budget, 100)
    before, after = budget.counts(200), budget.counts(1500)
    assert (before.retries, after.retries) == (1, 0)
    assert after.left == before.left + 1


@given(OWNER_EVENTS)
def test_any_series_of_owners_keeps_the_limit(
    events: list[tuple[int, str]],
) -> None:
    """Guards against a whole budget of retries for each new owner."""
    owner = make_owner(RULE.ratio, RULE.slack, RULE.window_ms)
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    for passed_ms, event in events:
        now += passed_ms
        if event == 'new owner':
            owner = make_owner(
                RULE.ratio,
                RULE.slack,
                RULE.window_ms,
                started_ms=now,
                is_first_start=False,
            )
        elif event == 'request':
            owner.record_request(now)
            requests.append(now)
        else:
            retries += [now for _ in range(20) if try_spend(owner, now)]
    assert RULE.excess(requests, retries) <= 0


def test_six_owners_in_one_window_keep_the_limit() -> None:
    """Guards against a whole budget of retries for each new owner."""
    retries: list[float] = []
    for number in range(6):
        now = 100.0 * number
        owner = make_owner(
            RULE.ratio,
            RULE.slack,
            RULE.window_ms,
            started_ms=now,
            is_first_start=number == 0,
        )
        retries += [now for _ in range(20) if try_spend(owner, now)]
    assert RULE.excess([], retries) <= 0


def test_an_owner_saves_only_a_few_retries_up() -> None:
    """Guards against retries that were earned long ago and come together."""
    owner = make_owner(RULE.ratio, RULE.slack, RULE.window_ms)
    requests = [float(each) for each in range(1000)]
    for now in requests:
        owner.record_request(now)
    later_ms = 10 * RULE.window_ms
    retries = [later_ms for _ in range(1000) if try_spend(owner, later_ms)]
    assert RULE.excess(requests, retries) <= 0
