"""Estimates of an upstream's speed."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.scheduling.speed_estimate import LinearFit, SpeedEstimate

LENGTHS = st.lists(
    st.integers(1, 5000),
    min_size=2,
    max_size=50,
    unique=True,
)


@given(LENGTHS, st.floats(0, 100), st.floats(0, 5))
def test_a_linear_function_is_learned(
    lengths: list[int],
    base_ms: float,
    slope: float,
) -> None:
    fit = LinearFit()
    for length in lengths:
        fit.learn(length, base_ms + slope * length)
    expected = base_ms + slope * 3000
    assert abs(fit.time_ms(3000) - expected) <= 0.01 + expected / 1000


def test_short_prompts_do_not_inflate_the_estimate_of_long_ones() -> None:
    """Many prompts of a few words are each answered after a fixed 20 ms. A long
    prompt must not be refused because it is estimated at 5,000 times that time.
    """
    speed = SpeedEstimate()
    for _ in range(100):
        speed.learn_first_token(20, 1)
    assert speed.first_token_ms(5000) < 100


def test_a_slowdown_is_learned() -> None:
    """An upstream drops to a fifth of its speed. The estimate follows within a
    few dozen responses, so that urgent requests go elsewhere.
    """
    speed = SpeedEstimate()
    for tokens in range(10, 60):
        speed.learn_output(tokens * 10, tokens)
    for slower in range(10, 60):
        speed.learn_output(slower * 50, slower)
    assert speed.service_ms(0, 30) > 30 * 40
