"""When places are expected to come free."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.process.forecast import Forecast, OutputEstimate

ENDS = st.lists(st.floats(-5000, 5000), max_size=8)


def test_free_places_come_first_then_runs_by_their_end() -> None:
    forecast = Forecast.from_ends(2, [300, 120], 40, now=100)
    starts = [forecast.start_in_ms(ahead) for ahead in range(6)]
    assert starts == [0, 0, 20, 200, 240, 280]


def test_a_run_past_its_end_is_not_expected_to_end_at_once() -> None:
    """A caller guessed a tenth of its answer's length. Taken for about to end
    all the while, its place would be promised to one request after another.
    """
    forecast = Forecast.from_ends(0, [100], 40, now=1100)
    assert forecast.start_in_ms(0) == 200


@given(st.integers(0, 5), ENDS)
def test_who_is_further_behind_starts_no_sooner(
    places: int,
    ends_ms: list[float],
) -> None:
    forecast = Forecast.from_ends(places, ends_ms, 25, now=0)
    starts = [forecast.start_in_ms(ahead) for ahead in range(20)]
    assert starts == sorted(starts)
    assert starts[0] >= 0


def test_an_engine_that_makes_tokens_four_times_as_slowly_is_learned() -> None:
    output = OutputEstimate()
    true_ms = output.token_ms * 4
    for _ in range(200):
        output.learn_tokens(true_ms * 50, 50)
    assert abs(output.token_ms - true_ms) < true_ms / 10


def test_one_answer_of_another_length_changes_little() -> None:
    output = OutputEstimate()
    before_ms = output.token_ms
    output.learn_tokens(before_ms * 500, 1)
    assert output.token_ms < before_ms * 2


def test_a_call_four_times_as_long_is_learned() -> None:
    output = OutputEstimate()
    true_ms = output.call_ms * 4
    for _ in range(200):
        output.learn_call(true_ms)
    assert abs(output.call_ms - true_ms) < true_ms / 10
