"""Tests of the stamps of processes whose wall clocks differ."""

from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.hybrid_clock import MAX_STAMP_LEAD_US, HybridClock

# Each step: the sender, the receiver and by how many microseconds the sender's
# wall clock jumps.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(-50_000, 50_000),
    ),
    max_size=50,
)


@given(STEPS)
def test_effect_is_stamped_after_its_cause(
    steps: list[tuple[int, int, int]],
) -> None:
    """Guards against an effect that sorts before its cause when wall clocks
    jump back and forth, such as a response before its request.
    """
    wall_clocks_us = [1_000_000, 1_000_000, 1_000_000]
    clocks = [
        HybridClock(partial(wall_clocks_us.__getitem__, index))
        for index in range(3)
    ]
    last_stamps = [0, 0, 0]
    for sender, receiver, jump_us in steps:
        wall_clocks_us[sender] += jump_us
        sent = clocks[sender].stamp()
        assert sent > last_stamps[sender]
        last_stamps[sender] = sent
        clocks[receiver].observe(sent)
        received = clocks[receiver].stamp()
        assert received > max(sent, last_stamps[receiver])
        last_stamps[receiver] = received


def test_stamp_far_ahead_is_ignored() -> None:
    clock = HybridClock(lambda: 1_000_000)
    clock.observe(1_000_000 + MAX_STAMP_LEAD_US + 1)
    assert clock.stamp() == 1_000_000
