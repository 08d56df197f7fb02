"""Requests that crash upstreams."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.demo.client import CallResult, async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.scheduling.upstream_crash_tracker import UpstreamCrashTracker
from hornbeamdeck.wire import RunEnd
from tests.scheduling.test_cell import (
    end_run,
    enqueue,
    granted_ids,
    make_cell,
    make_request,
)
from tests.support import completion_entry, on_fleet

Crash = tuple[int, set[int]]

FLEET = FleetPlan(instances=3, speeds=(1.0, 1.0, 1.0, 1.0))
POISON = 'poison'


OTHERS = st.sets(st.integers(0, 6), max_size=5)
CRASHES = st.lists(st.tuples(st.integers(0, 3), OTHERS), max_size=30)


@given(CRASHES)
def test_only_a_sole_suspect_is_confirmed(
    crashes: list[Crash],
) -> None:
    """Guards against refusing a harmless request. Whatever runs next to the
    poison request when upstreams fail, only a request that was the sole suspect
    at a second crash is refused.
    """
    tracker = UpstreamCrashTracker()
    now = 0.0
    for upstream, others in crashes:
        now += 10_000
        concurrent = [POISON, *(f'r{each}' for each in sorted(others))]
        alone = {
            each for each in concurrent if tracker.crash_count(each, now)
        } <= {POISON}
        for fingerprint in concurrent:
            tracker.record_failure(f'u{upstream}', fingerprint, concurrent, now)
        if alone:
            confirmed = [
                each
                for each in concurrent
                if tracker.is_confirmed_poison(each, now) and each != POISON
            ]
            assert not confirmed
        for other in others:
            tracker.clear(f'r{other}')


def test_suspected_requests_run_one_at_a_time() -> None:
    """Two requests were running on an upstream when it crashed. If they ran
    together again, they could crash the next one, and the cause would still be
    unknown.
    """
    cell = make_cell('a', 'b')
    for name in ('x', 'y'):
        enqueue(cell, make_request(name))
    assert len(granted_ids(cell)) == 2
    for name in ('x', 'y'):
        end_run(cell, name, RunEnd.FAILED)
    for again in ('x', 'y'):
        enqueue(cell, make_request(f'{again}2', fingerprint=again))
    first = granted_ids(cell)
    assert len(first) == 1
    end_run(cell, first[0], RunEnd.ANSWERED)
    assert len(granted_ids(cell)) == 1


async def _async_send(fleet: Fleet, number: int) -> CallResult:
    """Send the same prompt again, each time to another instance."""
    instance = fleet.instances[number % len(fleet.instances)]
    entry = completion_entry(team=POISON, deadline_ms=3000)
    return await async_call(
        entry._replace(team='guides'),
        0,
        instance.own.address,
    )


def _crash_on_prompt(fleet: Fleet) -> None:
    # The prompt of call number 0 begins with these words.
    for engine in fleet.engines:
        engine.crash_mark = '0 guides'


def _crash_count(fleet: Fleet) -> int:
    return sum(engine.has_crashed for engine in fleet.engines)


@on_fleet(FLEET)
async def test_request_sent_twenty_times_costs_two_engines(
    fleet: Fleet,
) -> None:
    """A caller retries a request each time it fails, and the request crashes
    engines. It may cost two engines. Then it is refused, and the remaining
    engines serve everyone else.
    """
    _crash_on_prompt(fleet)
    records = [await _async_send(fleet, number) for number in range(20)]
    assert _crash_count(fleet) == 2
    assert {each.outcome for each in records[:2]} == {'unknown'}
    assert {each.outcome for each in records[2:]} == {'not_run'}
    assert {each.status for each in records[2:]} == {422}
    other = await async_call(
        completion_entry(), 5, fleet.instances[0].own.address
    )
    assert other.is_complete


@on_fleet(FLEET)
async def test_suspicion_outlives_the_owner(fleet: Fleet) -> None:
    """A request crashes an engine, and then the owner that suspects the request
    dies. The next owner must not start counting from zero.
    """
    _crash_on_prompt(fleet)
    owner = fleet.owner_of('desk')
    others = [each for each in fleet.instances if each is not owner]
    await _async_send(
        fleet._replace(instances=others),
        0,
    )
    await owner.async_kill()
    remaining = fleet._replace(instances=others)
    for number in range(1, 10):
        await _async_send(remaining, number)
    assert _crash_count(fleet) == 2
