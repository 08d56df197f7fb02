"""Stamps over several processes whose wall clocks differ."""

from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.hybrid_clock import MAX_AHEAD_US, HybridClock

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
    """Wall clocks jump back and forth. A time line sorted by them would show
    an answer before its question.
    """
    walls = [1_000_000, 1_000_000, 1_000_000]
    clocks = [HybridClock(partial(walls.__getitem__, at)) for at in range(3)]
    before = [0, 0, 0]
    for sender, receiver, jump_us in steps:
        walls[sender] += jump_us
        sent = clocks[sender].stamp()
        assert sent > before[sender]
        before[sender] = sent
        clocks[receiver].observe(sent)
        received = clocks[receiver].stamp()
        assert received > max(sent, before[receiver])
        before[receiver] = received


def test_broken_wall_clock_carries_nobody_along() -> None:
    clock = HybridClock(lambda: 1_000_000)
    clock.observe(1_000_000 + MAX_AHEAD_US + 1)
    assert clock.stamp() == 1_000_000
