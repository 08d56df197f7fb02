"""Streams of versions that no list of engines has named yet."""

from curio import sleep

from tests.platform.fleet import PlatformFleet, load_at, on_platform
from tests.platform.lost_fleets import (
    async_begin_at_all,
    async_lose_all,
    async_run_versions,
    recorded_versions,
)
from tests.platform.standins import EngineStandin

STREAMS = 6
# Less than the time in which an entry expires that nothing renews.
STALE_S = 1.9


async def _async_restart_behind_its_entry(
    fleet: PlatformFleet,
) -> EngineStandin:
    """Start an engine again at v2 while it is cut off from the store."""
    await async_run_versions(fleet, 'v1', 'v1')
    await fleet.async_until(lambda: recorded_versions(fleet) == {'v1'})
    restarted = fleet.model_engines[0]
    listed = restarted.entry('desk')['born']
    await fleet.async_until(
        lambda: all(
            load_at(gateway, restarted).engine.born_ms == listed
            for gateway in fleet.gateways
        )
    )
    restarted.run_version('v2', born=3)
    await restarted.async_close_connections()
    return restarted


@on_platform(count=3)
async def test_a_version_behind_a_stale_entry_may_have_begun_a_stream(
    fleet: PlatformFleet,
) -> None:
    """Guards against taking the versions that were listed for all."""
    restarted = await _async_restart_behind_its_entry(fleet)
    callers = await async_begin_at_all(fleet, STREAMS)
    assert any(caller.versions == {'v2'} for caller in callers)
    # Its entry expires.
    await fleet.store.async_remove('servers', restarted.name)
    await sleep(0.3)
    await async_lose_all(fleet)
    for number, caller in enumerate(callers):
        await caller.async_resume(number % len(fleet.gateways))
    assert all(len(caller.versions) == 1 for caller in callers)


@on_platform(count=3)
async def test_a_new_process_makes_no_stream_of_a_stale_entry_certain(
    fleet: PlatformFleet,
) -> None:
    """Guards against evidence of a process that has asked no engine yet."""
    await _async_restart_behind_its_entry(fleet)
    callers = await async_begin_at_all(fleet, STREAMS)
    owner, started_again, *_ = fleet.ranked_gateways()
    await fleet.gateways[started_again].async_kill()
    fleet.settings_changes = {'is_first_start': False}
    await fleet.async_add_gateway(started_again)
    fleet.gateways[started_again] = fleet.gateways.pop()
    await sleep(STALE_S)
    caller = next(each for each in callers if each.versions == {'v2'})
    await caller.async_resume(owner)
    assert caller.versions == {'v2'}
