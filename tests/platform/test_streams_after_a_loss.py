"""Streams that callers take up again after the loss of all instances."""

from curio import TaskGroup, sleep

from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.lost_fleets import (
    async_begin_at_all,
    async_kill_all,
    async_list_version,
    async_run_versions,
    async_start_again,
    origins_at,
    recorded_versions,
    stored_origins,
)
from tests.platform.standins import EngineStandin
from tests.platform.stream_caller import StreamCaller

STREAMS = 6


async def _async_take_up(
    fleet: PlatformFleet, callers: list[StreamCaller]
) -> list[int]:
    """Take all streams up again; return the statuses of the responses."""
    statuses = []
    for number, caller in enumerate(callers):
        status = await caller.async_resume(number % len(fleet.gateways))
        assert len(caller.versions) == 1, caller.request_id
        statuses.append(status)
    return statuses


@on_platform(3)
async def test_restored_store_without_record_proves_nothing(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams of v1 that go on at v2 where no record tells."""
    copied = fleet.store.copy()
    copied.stored_objects.pop('records', None)
    copied.stored_objects.pop('instances', None)
    await async_run_versions(fleet, 'v1', 'v1')
    callers = await async_begin_at_all(fleet, STREAMS)
    lost = await async_kill_all(fleet)
    await fleet.store.async_restore(copied, away_s=0.02)
    for engine in fleet.model_engines:
        await async_list_version(fleet, engine, 'v2')
    await async_start_again(fleet, lost)
    statuses = await _async_take_up(fleet, callers)
    assert statuses == [503] * STREAMS


@on_platform(3)
async def test_restored_store_with_older_record_proves_nothing(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams of v2 that go on at v1, the older record's."""
    await async_run_versions(fleet, 'v1', 'v1')
    await fleet.async_until(lambda: recorded_versions(fleet) == {'v1'})
    copied = fleet.store.copy()
    await async_run_versions(fleet, 'v1', 'v2')
    await fleet.async_until(lambda: recorded_versions(fleet) == {'v1', 'v2'})
    callers = await async_begin_at_all(fleet, STREAMS)
    assert any(caller.versions == {'v2'} for caller in callers)
    lost = await async_kill_all(fleet)
    await fleet.store.async_restore(copied, away_s=0.02)
    for engine in fleet.model_engines:
        await async_list_version(fleet, engine, 'v1')
    await async_start_again(fleet, lost)
    await _async_take_up(fleet, callers)


@on_platform(2)
async def test_new_version_is_recorded_before_its_first_stream(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams of a version that the store never heard of."""
    await fleet.async_until(lambda: recorded_versions(fleet) == {'v1'})
    later = EngineStandin('desk-3')
    await later.async_start()
    for engine in (later, *fleet.model_engines):
        engine.event_gap_s = 0.05
    await async_list_version(fleet, later, 'v2')

    async def _async_ask(number: int) -> None:
        caller = StreamCaller(fleet, f'early-{number}')
        if await caller.async_request(number % 2) == 200:
            await caller.async_read_all()

    async with TaskGroup() as tasks:
        for number in range(200):
            await tasks.spawn(_async_ask(number))
            await sleep(0.005)
            assert not later.executed or 'v2' in recorded_versions(fleet)
    assert later.executed


async def _async_begin_two_versions(fleet: PlatformFleet) -> list[StreamCaller]:
    """Begin streams at two versions, and wait until the store knows them."""
    await async_run_versions(fleet, 'v1', 'v2')
    callers = await async_begin_at_all(fleet, STREAMS)
    versions = set[str]().union(*(caller.versions for caller in callers))
    assert versions == {'v1', 'v2'}
    await fleet.async_until(
        lambda: stored_origins(fleet) >= {each.request_id for each in callers}
    )
    return callers


@on_platform(3)
async def test_streams_outlast_the_loss_of_all(fleet: PlatformFleet) -> None:
    """Guards against refusing all streams that lost instances relayed."""
    callers = await _async_begin_two_versions(fleet)
    await async_start_again(fleet, await async_kill_all(fleet))
    statuses = await _async_take_up(fleet, callers)
    assert statuses == [200] * STREAMS
    assert all(caller.words == [1, 2, 3, 4, 5, 6] for caller in callers)


@on_platform(3)
async def test_streams_outlast_two_losses_within_a_second(
    fleet: PlatformFleet,
) -> None:
    """Guards against origins that the first new owner keeps to itself."""
    callers = await _async_begin_two_versions(fleet)
    await async_start_again(fleet, await async_kill_all(fleet))
    await sleep(0.3)
    await async_start_again(fleet, await async_kill_all(fleet))
    statuses = await _async_take_up(fleet, callers)
    assert statuses == [200] * STREAMS


@on_platform(4)
async def test_streams_go_on_where_half_of_the_lost_is_back(
    fleet: PlatformFleet,
) -> None:
    """Guards against an owner that knows less than the one before it."""
    callers = await _async_begin_two_versions(fleet)
    await async_kill_all(fleet)
    await async_start_again(fleet, 2)
    statuses = await _async_take_up(fleet, callers[:3])
    for number in (2, 3):
        await fleet.async_add_gateway(number)
    await fleet.async_until(lambda: all(map(_is_ready, fleet.gateways)))
    statuses += await _async_take_up(fleet, callers[3:])
    assert statuses == [200] * STREAMS


def _is_ready(gateway: Gateway) -> bool:
    return gateway.is_ready


@on_platform(3)
async def test_no_stream_is_joined_while_the_store_is_away(
    fleet: PlatformFleet,
) -> None:
    """Guards against guessing a version before the store can be read."""
    callers = await _async_begin_two_versions(fleet)
    fleet.store.reject('records')
    await async_start_again(fleet, await async_kill_all(fleet))
    statuses = await _async_take_up(fleet, callers)
    assert statuses == [503] * STREAMS
    fleet.store.reject('')
    await fleet.async_until(lambda: origins_at(fleet.owner) >= STREAMS)
    statuses = await _async_take_up(fleet, callers)
    assert statuses == [200] * STREAMS


@on_platform(3)
async def test_no_stream_is_joined_where_the_store_lost_its_origin(
    fleet: PlatformFleet,
) -> None:
    """Guards against taking the origins of an older copy for all."""
    await async_run_versions(fleet, 'v1', 'v2')
    copied = fleet.store.copy()
    callers = await async_begin_at_all(fleet, STREAMS)
    lost = await async_kill_all(fleet)
    await fleet.store.async_restore(copied, away_s=0.02)
    await async_start_again(fleet, lost)
    statuses = await _async_take_up(fleet, callers)
    assert statuses == [503] * STREAMS


@on_platform(3)
async def test_streams_of_a_lost_engine_go_on_at_another(
    fleet: PlatformFleet,
) -> None:
    """Guards against binding a stream to the engine that began it."""
    other = EngineStandin('desk-3', events=6)
    await other.async_start()
    callers = await _async_begin_two_versions(fleet)
    lost = await async_kill_all(fleet)
    gone = fleet.model_engines[1]
    await fleet.store.async_remove('servers', gone.name)
    await gone.async_stop()
    await async_list_version(fleet, other, 'v2')
    await async_start_again(fleet, lost)
    statuses = await _async_take_up(fleet, callers)
    assert statuses == [200] * STREAMS
    assert other.executed


@on_platform(2)
async def test_no_origin_is_written_while_one_version_serves(
    fleet: PlatformFleet,
) -> None:
    """Guards against calls to the store that are paid for nothing."""
    await async_run_versions(fleet, 'v1', 'v1')
    await async_begin_at_all(fleet, STREAMS)
    await sleep(0.5)
    assert not stored_origins(fleet)
    names = fleet.store.stored_objects['records'].keys()
    assert names == {'engine-versions', 'crashing-requests'}


@on_platform(1)
async def test_a_record_without_content_ends_no_reading(
    fleet: PlatformFleet,
) -> None:
    """Guards against an object of another writer that ends a task for good."""
    records = fleet.store.stored_objects.setdefault('records', {})
    records['unknown'] = {'metadata': {'name': 'unknown', 'revision': 9}}
    await async_start_again(fleet, await async_kill_all(fleet))
    origins = fleet.owner.components.cells.cells['desk'].origins
    await fleet.async_until(lambda: not origins.awaits_stored)
