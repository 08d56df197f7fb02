"""Tests of leases with slow or suspended contenders and lost responses."""

import curio
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.store.lease import Lease, LeaseTerms
from tests.fakes import FAULT_DOWN, FAULT_LOST_RESPONSE, FakePlatform

NAMES = ('a', 'b', 'c')
TERMS = LeaseTerms(duration_ms=1000, margin_ms=100)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.sampled_from(('try', 'try', 'try', 'release')),
        st.sampled_from(('', '', '', FAULT_LOST_RESPONSE, FAULT_DOWN)),
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
    """Two instances that both consider themselves the holder would send
    conflicting commands to engines. With any lost response, delay or outage
    there must be at most one holder, and each term's token must be higher than
    all earlier tokens.
    """
    clock = [0.0]
    platform = FakePlatform()
    leases = {name: _lease(platform, name, clock) for name in NAMES}
    terms: dict[int, str] = {}
    for name, action, fault, elapsed_ms in steps:
        clock[0] += elapsed_ms
        platform.fault = fault
        lease = leases[name]
        if action == 'try':
            curio.run(lease.async_try)
        else:
            curio.run(lease.async_release)
        holders = [each for each in NAMES if leases[each].is_held]
        assert len(holders) <= 1
        for holder in holders:
            token = leases[holder].fencing_token
            assert terms.setdefault(token, holder) == holder
            assert token == max(terms)


def test_suspended_holder_is_replaced_with_a_higher_token() -> None:
    """The holder is suspended for longer than its lease. Another contender
    takes over after it has seen the lease unchanged for the whole duration.
    When the first one resumes, it no longer holds the lease, and a command it
    still sends carries the lower token.
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


def test_released_lease_can_be_acquired_immediately() -> None:
    """A graceful shutdown releases the lease. Otherwise engines would get no
    commands for the lease's whole duration.
    """
    clock = [0.0]
    platform = FakePlatform()
    first, second = (_lease(platform, name, clock) for name in 'ab')
    curio.run(first.async_try)
    curio.run(first.async_release)
    assert not first.is_held
    assert curio.run(second.async_try).unwrap()
