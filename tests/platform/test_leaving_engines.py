"""Engines that state in their responses that they leave."""

import pytest
from curio import sleep
from result import UnwrapError

from hornbeamdeck.clock import wall_ms
from hornbeamdeck.wire import EngineObservation
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    load_at,
    on_platform,
)

# Requests sent later than this after such a response must not reach the engine.
DRAIN_S = 2.0
CALLS = 12


# How long the engine has run when it states that it leaves.
RUNNING_MS = 10_000
LEAVING = {'server-leaving': '1'}


async def _async_call(
    fleet: PlatformFleet, number: int, gateway: int = 0
) -> None:
    got = await fleet.async_call(
        '/open/x', gateway, hornbeamdeck_request_id=f'open-{number}'
    )
    assert got.status == 200


async def _async_call_all(fleet: PlatformFleet) -> None:
    for number in range(CALLS):
        await _async_call(fleet, number, number % len(fleet.gateways))


@on_platform()
async def test_no_request_is_sent_to_an_engine_that_says_it_leaves(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine known as ready while only its responses tell."""
    leaving = fleet.booking_engines[0]
    leaving.state(LEAVING)
    fleet.store.is_silent = True
    for number in range(CALLS):
        await _async_call(fleet, number)
    assert leaving.executed
    await sleep(DRAIN_S)
    before = len(leaving.arrivals_s)
    for number in range(CALLS):
        await _async_call(fleet, number)
    assert len(leaving.arrivals_s) == before


@on_platform(count=3)
async def test_all_instances_learn_that_an_engine_leaves(
    fleet: PlatformFleet,
) -> None:
    """Guards against a statement that only the instance that read it keeps."""
    leaving = fleet.booking_engines[0]
    leaving.state(LEAVING)
    await _async_call_all(fleet)
    before = len(leaving.arrivals_s)
    assert before <= len(fleet.gateways)
    await _async_call_all(fleet)
    assert len(leaving.arrivals_s) == before


@on_platform(count=3)
async def test_a_new_owner_knows_that_an_engine_leaves(
    fleet: PlatformFleet,
) -> None:
    """Guards against a statement that is lost with the owner that knew it."""
    leaving = fleet.booking_engines[0]
    leaving.state(LEAVING)
    owner = fleet.owner
    others = [each for each in range(3) if fleet.gateways[each] is not owner]
    await _async_call(fleet, 0, others[0])
    await fleet.async_until(lambda: load_at(owner, leaving).is_leaving)
    await owner.async_kill()
    await fleet.async_until(
        lambda: any(
            fleet.gateways[each].components.is_owner
            and load_at(fleet.gateways[each], leaving).is_leaving
            for each in others
        )
    )
    before = len(leaving.arrivals_s)
    await _async_call(fleet, 1, others[1])
    assert len(leaving.arrivals_s) == before


@on_platform()
async def test_an_owner_that_missed_a_statement_is_told_again(
    fleet: PlatformFleet,
) -> None:
    """Guards against grants that are returned as long as the engine runs."""
    leaving = fleet.booking_engines[0]
    leaving.state(LEAVING)
    scheduler = fleet.gateways[0].components.scheduler
    async_receive = scheduler.async_receive
    missed: list[EngineObservation] = []

    async def _async_miss_first(message: object, **context: object) -> None:
        if isinstance(message, EngineObservation) and not missed:
            missed.append(message)
            return
        await async_receive(message, **context)  # type: ignore[arg-type]

    scheduler.async_receive = _async_miss_first  # type: ignore[method-assign]
    await _async_call(fleet, 0)
    assert missed
    assert not load_at(fleet.gateways[0], leaving).is_leaving
    await _async_call(fleet, 1)
    assert load_at(fleet.gateways[0], leaving).is_leaving
    assert len(leaving.arrivals_s) == 1


@pytest.mark.parametrize('fault', ['not_run', 'no_seal', 'other_id', 'error'])
def test_any_response_may_say_that_its_engine_leaves(fault: str) -> None:
    """Guards against statements that count in successful responses only."""

    @on_platform()
    async def _async_check(fleet: PlatformFleet) -> None:
        leaving = fleet.booking_engines[0]
        leaving.state(LEAVING)
        leaving.faults = [fault]
        await fleet.async_call('/seats/x')
        assert load_at(fleet.gateways[0], leaving).is_leaving

    _async_check()


@on_platform()
async def test_the_engine_at_a_reused_address_speaks_for_itself(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that seems to leave since another one does."""
    engine = fleet.booking_engines[0]
    name = engine.name
    engine.state(LEAVING)
    engine.name = 'of-another-service'
    await _async_call(fleet, 0)
    engine.name = name
    assert not load_at(fleet.gateways[0], engine).is_leaving


@on_platform()
async def test_an_engine_that_starts_again_gets_requests(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that is lost since its last start left."""
    engine, other = fleet.booking_engines
    engine.state(LEAVING)
    await _async_call(fleet, 0)
    engine.state({})
    entry = other.entry('counter', state='draining')
    await fleet.store.async_put('servers', other.name, entry)
    entry = engine.entry('counter', born=2)
    await fleet.store.async_put('servers', engine.name, entry)
    gateway = fleet.gateways[0]
    await fleet.async_until(
        lambda: (
            load_at(gateway, other).is_leaving
            and not load_at(gateway, engine).is_leaving
        )
    )
    before = len(engine.executed)
    await _async_call(fleet, 1)
    assert len(engine.executed) == before + 1


@on_platform()
async def test_a_resumed_stream_is_not_sent_to_an_engine_that_leaves(
    fleet: PlatformFleet,
) -> None:
    """Guards against second attempts that go by the list of engines only."""
    leaving, cut = fleet.model_engines
    leaving.state(LEAVING)
    await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert len(leaving.arrivals_s) == 1
    cut.faults = ['cut']
    with pytest.raises(UnwrapError):
        await fleet.async_call('/guide/y', tokens=TOKEN_COUNTS)
    assert cut.executed
    assert len(leaving.arrivals_s) == 1


@on_platform()
async def test_an_engine_that_started_again_unseen_and_leaves_gets_nothing(
    fleet: PlatformFleet,
) -> None:
    """Guards against a notice that ends with the entry of an earlier start."""
    engine = fleet.booking_engines[0]
    born_ms = wall_ms() - RUNNING_MS
    fleet.store.is_silent = True
    engine.state(LEAVING)
    for number in range(CALLS):
        await _async_call(fleet, number)
    assert engine.executed
    await sleep(DRAIN_S)
    before = len(engine.arrivals_s)
    fleet.store.is_silent = False
    entry = engine.entry('counter', born=born_ms)
    await fleet.store.async_put('servers', engine.name, entry)
    directory = fleet.gateways[0].components.directory
    await fleet.async_until(
        lambda: any(
            listed.born_ms == born_ms
            for listed in directory.of_service('counter')
        )
    )
    for number in range(CALLS):
        await _async_call(fleet, CALLS + number)
    assert len(engine.arrivals_s) == before
