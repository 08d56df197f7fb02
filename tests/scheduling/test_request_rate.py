"""Request limits of engines, in simulated time."""

import math
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.engine_conditions import EngineConditions
from hornbeamdeck.scheduling.request_rate import (
    LONG_WINDOW_MS,
    SHORT_WINDOW_MS,
    EngineRate,
    RateRules,
)
from hornbeamdeck.version.gateway import EngineProperties
from hornbeamdeck.wire import EngineObservation, Release, RunEnd
from tests.scheduling.engine_cell_factories import (
    MODEL,
    PLAIN,
    engine,
    enqueue,
    granted,
    make_cell,
    make_request,
)

SETTLE_MS = 2500.0
RULES = RateRules(SETTLE_MS)
LIMITS = (0.0, 0.1, 0.5, 1.0, 1.01, 2.7, 10.0, 40.0)
STEP_MS = 10


def _most_tolerated(per_s: float) -> float:
    """Return what an engine tolerates in 4 s once it has stated its limit."""
    return 1.5 * 4 * per_s + 5


def _grant_all(rate: EngineRate, from_ms: int, until_ms: int) -> list[float]:
    """Grant a request as soon as each may start; return when."""
    grants: list[float] = []
    for now in range(from_ms, until_ms, STEP_MS):
        while rate.may_start(now) and len(grants) < 10_000:
            rate.record_grant(now)
            grants.append(float(now))
    return grants


def _most_in_window(
    grants: list[float], window_ms: float, since_ms: float = -math.inf
) -> int:
    """Return the most grants in any window that ends after `since_ms`."""
    return max(
        (
            sum(end_ms - window_ms < each <= end_ms for each in grants)
            for end_ms in grants
            if end_ms >= since_ms
        ),
        default=0,
    )


def _limit(name: str, per_s: float | None, **changes: int) -> EngineObservation:
    fields = {'born_ms': 1, 'age_ms': 0, **changes}
    return EngineObservation(cell='desk', upstream=name, per_s=per_s, **fields)


def _serve(cell: EngineCell, until_ms: int, *, interval_ms: int) -> list[float]:
    """Send short requests at a steady rate; return when each was granted."""
    starts_ms: list[float] = []
    ends_ms: dict[str, int] = {}
    for now in range(0, until_ms, STEP_MS):
        ended = [key for key, end_ms in ends_ms.items() if end_ms <= now]
        for request_id in ended:
            ends_ms.pop(request_id)
            release = Release(
                request_id=request_id,
                cell='desk',
                end=RunEnd.ANSWERED,
                total_ms=50,
            )
            cell.release(release, now)
        if not now % interval_ms:
            enqueue(cell, make_request(f'r{now}', output_tokens=2), now)
        for request_id, _ in granted(cell, now):
            starts_ms.append(now)
            ends_ms[request_id] = now + 50
        list(cell.refuse_expired(now))
    return starts_ms


@given(
    per_s=st.sampled_from(LIMITS),
    before=st.lists(st.integers(0, 5000), max_size=200),
)
def test_grants_stay_within_what_the_engine_tolerates(
    per_s: float, before: list[int]
) -> None:
    """Guards against too many requests, whatever was granted before."""
    rate = EngineRate(RULES)
    for at_ms in sorted(before):
        rate.record_grant(at_ms)
    assert rate.set_limit(per_s, 5000)
    grants = _grant_all(rate, 5000, 15_000)
    assert _most_in_window(grants, SHORT_WINDOW_MS) <= max(math.ceil(per_s), 1)
    assert _most_in_window(grants, LONG_WINDOW_MS) <= max(
        math.ceil(4 * per_s), 1
    )
    recent = [at_ms for at_ms in before if at_ms > 5000 + SETTLE_MS - 4000]
    if len(recent) <= _most_tolerated(per_s):
        together = [*map(float, sorted(before)), *grants]
        most = _most_in_window(together, LONG_WINDOW_MS, 5000 + SETTLE_MS)
        assert most <= _most_tolerated(per_s)


@pytest.mark.parametrize('per_s', LIMITS)
def test_a_limit_is_used_up(per_s: float) -> None:
    """Guards against an engine that gets far less than it accepts."""
    rate = EngineRate(RULES)
    rate.set_limit(per_s, 0)
    assert len(_grant_all(rate, 0, 20_000)) >= math.floor(20 * per_s)


@pytest.mark.parametrize('per_s', [0.0, 0.1])
def test_an_engine_that_accepts_nothing_is_tried_now_and_then(
    per_s: float,
) -> None:
    """Guards against a limit that never ends, since no response shows it."""
    rate = EngineRate(RULES)
    rate.set_limit(per_s, 0)
    assert _grant_all(rate, 0, 8001) == [0, 4000, 8000]


@pytest.mark.parametrize('per_s', LIMITS)
def test_two_owners_in_a_row_stay_within_a_limit(per_s: float) -> None:
    """Guards against a new owner that grants what the last one has granted."""
    grants = []
    for start_ms in (0, 4000):
        rate = EngineRate(RULES)
        rate.set_limit(per_s, start_ms)
        grants += _grant_all(rate, start_ms, start_ms + 4000)
    assert _most_in_window(grants, LONG_WINDOW_MS) <= _most_tolerated(per_s)


@pytest.mark.parametrize('per_s', LIMITS)
@pytest.mark.parametrize('share', [0.5, 0.3])
def test_two_owners_at_once_share_a_limit(per_s: float, share: float) -> None:
    """Guards against two owners that each grant the whole of a limit."""
    grants = []
    for each in (share, 1 - share):
        rate = EngineRate(RateRules(SETTLE_MS, partial(float, each)))
        rate.set_limit(per_s, 0)
        grants += _grant_all(rate, 0, 10_000)
    most = _most_in_window(sorted(grants), LONG_WINDOW_MS)
    assert most <= _most_tolerated(per_s)


def test_a_report_that_was_overtaken_is_ignored() -> None:
    """Guards against a limit that a late report of an older response lifts."""
    conditions = EngineConditions(RULES)
    rate = conditions.condition_of(engine('e1')).rate
    assert conditions.apply(_limit('e1', 2.5), 'a', 1000) is not None
    assert conditions.apply(_limit('e1', 2.5), 'a', 2000) is None
    assert conditions.apply(_limit('e1', None, age_ms=500), 'a', 2100) is None
    assert rate.limit_per_s == 2.5
    change = conditions.apply(_limit('e1', 1.5), 'a', 2200)
    assert change is not None and change.limit is not None
    assert change.limit.previous_per_s == 2.5
    assert conditions.apply(_limit('e1', None), 'a', 2300) is not None
    assert rate.limit_per_s is None


def test_a_limit_outlives_an_entry_but_not_an_incarnation() -> None:
    """Guards against losing limits in an outage of the store."""
    cell = make_cell(engine('e1'), engine('e2'))
    cell.conditions.apply(_limit('e1', 0.5), 'a', 0)
    cell.update_engines([engine('e2')], MODEL, {})
    cell.update_engines([engine('e1'), engine('e2')], MODEL, {})
    assert cell.loads['e1'].rate.limit_per_s == 0.5
    cell.update_engines([engine('e1', born_ms=2), engine('e2')], MODEL, {})
    assert cell.loads['e1'].rate.limit_per_s is None
    cell.conditions.apply(_limit('e1', 0.5), 'a', 10)
    assert cell.loads['e1'].rate.limit_per_s is None


def test_engines_that_have_left_are_forgotten_one_day() -> None:
    """Guards against state that grows with every engine that ever was."""
    conditions = EngineConditions(RULES)
    listed = engine('listed')
    conditions.condition_of(listed)
    conditions.apply(_limit('listed', 0.5), 'a', 0)
    for number in range(2000):
        conditions.condition_of(engine(f'e{number}'))
    conditions.remove_unlisted([listed])
    assert conditions.condition_of(listed).rate.limit_per_s == 0.5
    assert conditions.apply(_limit('e0', 1.0), 'a', 1) is None
    assert conditions.apply(_limit('e1999', 1.0), 'a', 1) is not None


@pytest.mark.parametrize('properties', [MODEL, PLAIN])
def test_a_limited_engine_has_no_free_slot_left(
    properties: EngineProperties,
) -> None:
    """Guards against placing by slots alone, for models and short calls."""
    cell = make_cell(
        engine('limited', slots=9),
        engine('other', slots=9),
        properties=properties,
    )
    cell.conditions.apply(_limit('limited', 2.0), 'a', 0)
    for number in range(14):
        enqueue(cell, make_request(f'r{number}'))
    engines = [upstream for _, upstream in granted(cell)]
    assert engines.count('limited') == 2
    assert engines.count('other') == 9


def test_retries_count_towards_a_limit() -> None:
    """Guards against second attempts that exceed a limit."""
    cell = make_cell(engine('limited', slots=9), engine('failed'))
    cell.conditions.apply(_limit('limited', 1.0), 'a', 0)
    for number in range(3):
        request = make_request(f'r{number}', excluded=['failed'], dispatches=1)
        enqueue(cell, request)
    assert granted(cell) == [('r0', 'limited')]
    assert not granted(cell, 950)
    assert granted(cell, 1000) == [('r1', 'limited')]


def test_a_request_starts_once_a_limit_allows_it() -> None:
    """Guards against a request that waits although its engine accepts it."""
    cell = make_cell(engine('limited'))
    cell.conditions.apply(_limit('limited', 2.0), 'a', 0)
    starts_ms = _serve(cell, 6000, interval_ms=100)
    assert len(starts_ms) >= 11
    assert _most_in_window(starts_ms, LONG_WINDOW_MS) <= 8


def test_requests_that_limits_leave_no_room_for_are_refused() -> None:
    """Guards against waiting in vain for slots that are free but not usable."""
    cell = make_cell(engine('e1', slots=9), engine('e2', slots=9))
    for name in ('e1', 'e2'):
        cell.conditions.apply(_limit(name, 1.0), 'a', 0)
    refused = []
    for number in range(20):
        refused.append(enqueue(cell, make_request(f'r{number}')))
        granted(cell)
    assert refused[:2] == [None, None]
    assert all(refused[4:])
    assert refused[-1].log_fields['held_by_limit'] == 2  # type: ignore[attr-defined]


def test_a_rate_as_high_as_the_demand_holds_nothing_back() -> None:
    """Guards against limits that cost slots although they are not reached."""
    free = make_cell(engine('e1', slots=9))
    limited = make_cell(engine('e1', slots=9))
    limited.conditions.apply(_limit('e1', 1_000_000.0), 'a', 0)
    assert _serve(free, 3000, interval_ms=50) == _serve(
        limited, 3000, interval_ms=50
    )


@given(
    per_s=st.sampled_from(LIMITS),
    before=st.lists(st.integers(0, 5000), max_size=60),
    waited_ms=st.integers(0, 5000),
)
def test_the_forecast_of_starts_matches_what_is_granted(
    per_s: float, before: list[int], waited_ms: int
) -> None:
    """Guards against forecasts that promise more slots than a limit allows."""
    rate = EngineRate(RULES)
    for at_ms in sorted(before):
        rate.record_grant(at_ms)
    rate.set_limit(per_s, 4000)
    now = 5000.0 + waited_ms
    expected = rate.starts_left(1000, now)
    later_ms = rate.later_starts_ms(3, now)
    assert min(later_ms) > now
    grants = 0
    while rate.may_start(now):
        rate.record_grant(now)
        grants += 1
    assert grants == expected
