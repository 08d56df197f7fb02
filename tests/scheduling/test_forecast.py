"""Forecast of when slots become free."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.forecast import Forecast

ENDS = st.lists(st.floats(-5000, 5000), max_size=8)


def test_free_slots_come_first_then_runs_by_their_end() -> None:
    forecast = Forecast.from_ends(2, [300, 120], 40, now=100)
    starts = [
        forecast.start_in_ms(requests_ahead) for requests_ahead in range(6)
    ]
    assert starts == [0, 0, 20, 200, 240, 280]


def test_an_overdue_run_is_not_expected_to_end_at_once() -> None:
    """A caller estimated a tenth of the actual output length. If the run were
    always expected to end at once, its slot would be promised to one request
    after another.
    """
    forecast = Forecast.from_ends(0, [100], 40, now=1100)
    assert forecast.start_in_ms(0) == 200


@given(st.integers(0, 5), ENDS)
def test_requests_further_behind_start_no_sooner(
    free_slots: int,
    ends_ms: list[float],
) -> None:
    forecast = Forecast.from_ends(free_slots, ends_ms, 25, now=0)
    starts = [
        forecast.start_in_ms(requests_ahead) for requests_ahead in range(20)
    ]
    assert starts == sorted(starts)
    assert starts[0] >= 0
