"""Streams that callers take up again after the loss of all instances."""

from curio import TaskGroup, sleep

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.lost_fleets import (
    async_begin_at_all,
    async_kill_all,
    async_list_version,
    async_run_versions,
    async_start_again,
    recorded_versions,
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
