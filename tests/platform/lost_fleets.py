"""Fleets whose gateways are all lost at once and start again."""

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import PlatformFleet
from tests.platform.standins import EngineStandin
from tests.platform.stream_caller import StreamCaller, async_set_versions


async def async_kill_all(fleet: PlatformFleet) -> int:
    """Kill all gateways; return how many there were."""
    lost = len(fleet.gateways)
    for gateway in fleet.gateways:
        await gateway.async_kill()
    fleet.gateways.clear()
    fleet.settings_changes = {'is_first_start': False}
    return lost


async def async_start_again(fleet: PlatformFleet, count: int) -> None:
    """Start gateways that know nothing of those that were lost."""
    for number in range(count):
        await fleet.async_add_gateway(number)
    await fleet.async_until(
        lambda: all(gateway.is_ready for gateway in fleet.gateways)
    )


async def async_lose_all(fleet: PlatformFleet) -> None:
    """Kill all gateways and start others that know nothing of them."""
    await async_start_again(fleet, await async_kill_all(fleet))


async def async_run_versions(
    fleet: PlatformFleet, first: str, second: str, *, events: int = 6
) -> None:
    """Run these versions at the two model engines."""
    versions = dict(zip(fleet.model_engines, (first, second), strict=True))
    for engine in versions:
        engine.events = events
        engine.event_gap_s = 0.05
    await async_set_versions(fleet, versions)


async def async_list_version(
    fleet: PlatformFleet, engine: EngineStandin, version: str
) -> None:
    """Let an engine run a version, whether or not gateways know of it."""
    engine.run_version(version)
    entry = engine.entry('desk', born=int(now_ms()))
    await fleet.store.async_put('servers', engine.name, entry)


def recorded_versions(fleet: PlatformFleet) -> set[str]:
    """Return the versions of model engines that the store holds."""
    records = fleet.store.stored_objects.get('records', {})
    fields = records.get('engine-versions', {}).get('spec', {})
    return set(fields.get('names', fields).get('desk', ()))


def stored_origins(fleet: PlatformFleet) -> set[str]:
    """Return the requests whose streams the store knows."""
    records = fleet.store.stored_objects.get('records', {})
    return {
        request_id
        for name, stored in records.items()
        if name.startswith('origins-')
        for request_id in stored['spec']['services'].get('desk', ())
    }


async def async_begin_at_all(
    fleet: PlatformFleet, count: int
) -> list[StreamCaller]:
    """Begin streams at all gateways in turn, and read an event of each."""
    callers = [StreamCaller(fleet, f'first-{each}') for each in range(count)]
    for number, caller in enumerate(callers):
        await caller.async_begin(number % len(fleet.gateways))
    return callers


def origins_at(gateway: Gateway) -> int:
    """Count the streams of which a gateway knows the origin."""
    return len(gateway.components.cells.cells['desk'].origins)
