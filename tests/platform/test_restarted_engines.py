"""Streams of engines that start again while their entries stay as they were."""

from curio import TaskGroup, sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.membership.liveness import FLEET_CELL, HEARTBEAT_RECEIVERS
from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.stream_caller import StreamCaller

STREAMS = 4
EVENTS = 40
EVENT_GAP_S = 0.05
# The list is evidence for engines that state nothing within this time, and
# streams may be taken up for a little longer.
LISTED_MS = 2700
STEP_S = 0.2


def _others(fleet: PlatformFleet, *dead: int) -> list[int]:
    return [each for each in range(len(fleet.gateways)) if each not in dead]


def _owner_index(fleet: PlatformFleet) -> int:
    return fleet.gateways.index(fleet.owner)


async def _async_begin(
    fleet: PlatformFleet, gateway: int, prefix: str
) -> list[StreamCaller]:
    callers = [
        StreamCaller(fleet, f'{prefix}-{each}') for each in range(STREAMS)
    ]
    for caller in callers:
        await caller.async_begin(gateway)
    return callers


def _run_v1(fleet: PlatformFleet) -> None:
    for engine in fleet.model_engines:
        engine.run_version('v1')
        engine.event_gap_s = EVENT_GAP_S
        engine.events = EVENTS


async def _async_run_v1(fleet: PlatformFleet) -> None:
    """Relay streams of all engines through all gateways."""
    _run_v1(fleet)
    for short in fleet.model_engines:
        short.events = 2
    for gateway in _others(fleet):
        for caller in await _async_begin(fleet, gateway, f'before-{gateway}'):
            await caller.async_read_all()
    for engine in fleet.model_engines:
        engine.events = EVENTS


def _count_begun(gateway: Gateway) -> int:
    origins = gateway.components.cells.cells['desk'].origins
    return sum(
        bool(origin.is_begun) and origin.request_id.startswith('first')
        for origin in origins.changed_since(0, 'nobody', now_ms())
    )


async def _async_until_reported(fleet: PlatformFleet) -> None:
    """Wait until the next owners know the origins of all streams."""
    ranked = fleet.owner.components.membership.ranked_ids(FLEET_CELL)
    await fleet.async_until(
        lambda: all(
            _count_begun(gateway) >= STREAMS
            for gateway in fleet.gateways
            if gateway.settings.instance_id in ranked[:HEARTBEAT_RECEIVERS]
        )
    )


async def _async_check_taken_up(
    callers: list[StreamCaller], gateways: list[int], stale: str
) -> None:
    """Check that only streams of the listed version go on.

    :param stale: what engines make whose entry is stale; the entry says v1.
    """
    assert set.union(*(each.versions for each in callers)) == {'v1', stale}
    begun_at = [set(caller.versions) for caller in callers]
    statuses = await _async_take_up(callers, gateways)
    assert statuses == [503 if each == {stale} else 200 for each in begun_at]
    assert [each.versions for each in callers] == begun_at


async def _async_take_up(
    callers: list[StreamCaller], gateways: list[int]
) -> list[int]:
    """Go on with all streams at once, and return the statuses."""
    async with TaskGroup() as group:
        tasks = [
            await group.spawn(
                caller.async_resume, gateways[number % len(gateways)]
            )
            for number, caller in enumerate(callers)
        ]
    return [task.result for task in tasks]


@on_platform(count=3)
async def test_streams_of_a_restarted_engine_are_not_taken_up(
    fleet: PlatformFleet,
) -> None:
    """Guards against the version of an entry that its engine can't write."""
    await _async_run_v1(fleet)
    fleet.model_engines[0].run_version('v2', born=2)
    dead = _others(fleet, _owner_index(fleet))[0]
    callers = await _async_begin(fleet, dead, 'first')
    await fleet.gateways[dead].async_kill()
    await _async_check_taken_up(callers, _others(fleet, dead), 'v2')


@on_platform(count=4)
async def test_streams_of_a_restarted_engine_stay_unknown_to_the_next_owner(
    fleet: PlatformFleet,
) -> None:
    """Guards against an owner that trusts what another one has granted."""
    await _async_run_v1(fleet)
    fleet.model_engines[0].run_version('v2', born=2)
    owner = _owner_index(fleet)
    dead = _others(fleet, owner)[-1]
    callers = await _async_begin(fleet, dead, 'first')
    await _async_until_reported(fleet)
    await fleet.gateways[dead].async_kill()
    await fleet.gateways[owner].async_kill()
    await _async_check_taken_up(callers, _others(fleet, dead, owner), 'v2')


@on_platform(count=3)
async def test_streams_of_an_engine_that_is_back_at_its_version_stay_unknown(
    fleet: PlatformFleet,
) -> None:
    """Guards against an entry of the same version after two restarts."""
    await _async_run_v1(fleet)
    restarted = fleet.model_engines[0]
    restarted.run_version('v2', born=2)
    dead = _others(fleet, _owner_index(fleet))[0]
    callers = await _async_begin(fleet, dead, 'first')
    await fleet.gateways[dead].async_kill()
    restarted.run_version('v1', born=3)
    await fleet.store.async_put(
        'servers', restarted.name, restarted.entry('desk')
    )
    await fleet.async_until(
        lambda: all(
            fleet.gateways[each]
            .components.directory.engines[restarted.name]
            .born_ms
            == 3
            for each in _others(fleet, dead)
        )
    )
    await _async_check_taken_up(callers, _others(fleet, dead), 'v2')


@on_platform(count=3)
async def test_stale_entry_is_no_evidence_before_it_would_have_expired(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that can't renew its entry."""
    await _async_run_v1(fleet)
    restarted = fleet.model_engines[0]
    restarted.run_version('v2', born=2)
    dead = _others(fleet, _owner_index(fleet))[0]
    callers = await _async_begin(fleet, dead, 'first')
    begun_ms = now_ms()
    await fleet.gateways[dead].async_kill()
    asking = [each for each in callers if each.versions == {'v2'}]
    assert asking
    left = _others(fleet, dead)
    while now_ms() < begun_ms + LISTED_MS:
        for number, caller in enumerate(asking):
            assert await caller.async_resume(left[number % 2]) == 503
        await sleep(STEP_S)


@on_platform(count=3)
async def test_streams_of_sound_engines_are_taken_up_at_once(
    fleet: PlatformFleet,
) -> None:
    """Guards against waiting for the list where engines state enough."""
    await _async_run_v1(fleet)
    dead = _others(fleet, _owner_index(fleet))[0]
    callers = await _async_begin(fleet, dead, 'first')
    await fleet.gateways[dead].async_kill()
    for engine in fleet.model_engines:
        engine.events = 2
    begun_ms = now_ms()
    statuses = await _async_take_up(callers, _others(fleet, dead))
    assert statuses == [200] * STREAMS
    assert now_ms() - begun_ms < 1000


@on_platform(count=3)
async def test_streams_are_taken_up_where_only_the_list_is_evidence(
    fleet: PlatformFleet,
) -> None:
    """Guards against an instance that dies before its engine has answered."""
    for engine in fleet.model_engines:
        engine.report = 'nothing'
    _run_v1(fleet)
    dead = _others(fleet, _owner_index(fleet))[0]
    callers = await _async_begin(fleet, dead, 'first')
    await fleet.gateways[dead].async_kill()
    for answering in fleet.model_engines:
        answering.report = 'born'
    statuses = await _async_take_up(callers, _others(fleet, dead))
    assert statuses == [200] * STREAMS
