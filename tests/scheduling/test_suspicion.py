"""Requests that upstreams die of."""

from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.demo.caller import CallRecord, async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.scheduling.suspicion import Suspicions
from hornbeamdeck.wire import RunEnd
from tests.scheduling.test_cell import end, enqueue, granted, make_cell, offer
from tests.support import desk_entry, on_fleet

Crash = tuple[int, set[int]]

FLEET = FleetPlan(instances=3, speeds=(1.0, 1.0, 1.0, 1.0))
POISON = 'poison'


OTHERS = st.sets(st.integers(0, 6), max_size=5)
CRASHES = st.lists(st.tuples(st.integers(0, 3), OTHERS), max_size=30)


@given(CRASHES)
def test_only_one_sent_again_alone_is_found_guilty(
    crashes: list[Crash],
) -> None:
    """Whatever runs beside the culprit when upstreams die, no request is
    refused that was not the only suspect there at a second crash.
    """
    suspicions = Suspicions()
    now = 0.0
    for upstream, others in crashes:
        now += 10_000
        together = [POISON, *(f'r{each}' for each in sorted(others))]
        alone = {
            each for each in together if suspicions.crashes(each, now)
        } <= {POISON}
        for fingerprint in together:
            suspicions.record_failure(
                f'u{upstream}', fingerprint, together, now
            )
        if alone:
            guilty = [
                each
                for each in together
                if suspicions.is_culprit(each, now) and each != POISON
            ]
            assert not guilty
        for innocent in others:
            suspicions.clear(f'r{innocent}')


def test_suspects_run_one_at_a_time() -> None:
    """Two requests were on an engine when it died. Run together again, they
    would take the next engine along and still nobody could tell which it is.
    """
    cell = make_cell('a', 'b')
    for name in ('x', 'y'):
        offer(cell, enqueue(name))
    assert len(granted(cell)) == 2
    for name in ('x', 'y'):
        end(cell, name, RunEnd.FAILED)
    for again in ('x', 'y'):
        offer(cell, enqueue(f'{again}2', fingerprint=again))
    first = granted(cell)
    assert len(first) == 1
    end(cell, first[0], RunEnd.ANSWERED)
    assert len(granted(cell)) == 1


async def _async_send(fleet: Fleet, number: int) -> CallRecord:
    """Send the same prompt again, each time to another instance."""
    instance = fleet.instances[number % len(fleet.instances)]
    entry = desk_entry(team=POISON, deadline_ms=3000)
    return await async_call(
        entry._replace(team='guides'),
        0,
        instance.own.address,
    )


def _poison(fleet: Fleet) -> None:
    # The prompt of call number 0 begins with these words.
    for engine in fleet.engines:
        engine.crash_mark = '0 guides'


def _crashed(fleet: Fleet) -> int:
    return sum(engine.has_crashed for engine in fleet.engines)


@on_fleet(FLEET)
async def test_request_sent_twenty_times_costs_two_engines(
    fleet: Fleet,
) -> None:
    """A guide's app sends a request again each time that it fails, and engines
    die of this very request. Two engines may be lost to it; then it is
    refused, and everybody else is served by those that are left.
    """
    _poison(fleet)
    records = [await _async_send(fleet, number) for number in range(20)]
    assert _crashed(fleet) == 2
    assert {each.outcome for each in records[:2]} == {'unknown'}
    assert {each.outcome for each in records[2:]} == {'not_run'}
    assert {each.status for each in records[2:]} == {422}
    other = await async_call(desk_entry(), 5, fleet.instances[0].own.address)
    assert other.is_whole


@on_fleet(FLEET)
async def test_suspicion_outlives_the_owner(fleet: Fleet) -> None:
    """An engine dies of a request and then the instance dies that knew which
    request it was. The next owner must not begin to count from nothing.
    """
    _poison(fleet)
    owner = fleet.owner_of('desk')
    asked = [each for each in fleet.instances if each is not owner]
    await _async_send(
        fleet._replace(instances=asked),
        0,
    )
    await owner.async_kill()
    remaining = fleet._replace(instances=asked)
    for number in range(1, 10):
        await _async_send(remaining, number)
    assert _crashed(fleet) == 2
