"""Leases: contenders that are slow, paused or lose their answers."""

import curio
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.process.lease import Lease, LeaseTerms
from tests.fakes import DOWN, LOST, FakePlatform

NAMES = ('a', 'b', 'c')
TERMS = LeaseTerms(duration_ms=1000, margin_ms=100)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.sampled_from(('try', 'try', 'try', 'release')),
        st.sampled_from(('', '', '', LOST, DOWN)),
        st.integers(0, 700),
    ),
    max_size=60,
)


def _lease(platform: FakePlatform, name: str, clock: list[float]) -> Lease:
    return Lease(
        platform,  # type: ignore[arg-type]
        'leases/desk',
        name,
        terms=TERMS,
        clock_ms=lambda: clock[0],
    )


@given(STEPS)
def test_at_most_one_holds_and_tokens_grow(
    steps: list[tuple[str, str, str, int]],
) -> None:
    """Two instances that both believe to hold the lease would give engines
    conflicting orders. Whatever is lost, late or down, at most one believes
    it, and each term's token is higher than any before.
    """
    clock = [0.0]
    platform = FakePlatform()
    leases = {name: _lease(platform, name, clock) for name in NAMES}
    terms: dict[int, str] = {}
    for name, what, fault, passed_ms in steps:
        clock[0] += passed_ms
        platform.fault = fault
        lease = leases[name]
        if what == 'try':
            curio.run(lease.async_try)
        else:
            curio.run(lease.async_release)
        holders = [each for each in NAMES if leases[each].is_held]
        assert len(holders) <= 1
        for holder in holders:
            token = leases[holder].fencing_token
            assert terms.setdefault(token, holder) == holder
            assert token == max(terms)


def test_paused_holder_is_succeeded_with_a_higher_token() -> None:
    """The holder is frozen for longer than its lease. Another takes over after
    watching for the whole duration; when the first one thaws it holds nothing,
    and an order it still sends carries the lower token.
    """
    clock = [0.0]
    platform = FakePlatform()
    first, second = (_lease(platform, name, clock) for name in 'ab')
    assert curio.run(first.async_try).unwrap()
    assert not curio.run(second.async_try).unwrap()
    clock[0] = 999.0
    assert not first.is_held
    assert not curio.run(second.async_try).unwrap()
    clock[0] = 1000.0
    assert curio.run(second.async_try).unwrap()
    assert second.fencing_token > first.fencing_token
    assert not curio.run(first.async_try).unwrap()


def test_released_lease_is_free_at_once() -> None:
    """A planned stop gives the lease back, so engines need not go without
    orders for its whole duration.
    """
    clock = [0.0]
    platform = FakePlatform()
    first, second = (_lease(platform, name, clock) for name in 'ab')
    curio.run(first.async_try)
    curio.run(first.async_release)
    assert not first.is_held
    assert curio.run(second.async_try).unwrap()
