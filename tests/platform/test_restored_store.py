"""A store that is away for a moment and comes back from an older copy."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from curio import sleep
from curio.errors import TaskTimeout

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import PlatformFleet, load_at, on_platform
from tests.platform.standins import (
    EngineStandin,
    StoreCopy,
    StoreStandin,
    document,
    route,
)

# Bounds of the platform, less the time that a call takes.
CHANGE_MS = 1900
NEW_ENGINE_MS = 3000
# How long the owner needs at most to read what the store holds.
READ_S = 1.2
LOST_WRITES = 40
CALLS = 8


def _document_without_keys() -> dict[str, Any]:
    teams = [{**each, 'api_keys': []} for each in document()['tenants']]
    return document(tenants=teams)


def _document_with_route() -> dict[str, Any]:
    added = route('/added/', public_access=True)
    return document(routes=[*document()['routes'], added])


async def _async_write_much(fleet: PlatformFleet) -> StoreCopy:
    """Raise the store's revision far beyond that of the returned copy."""
    copied = fleet.store.copy()
    for number in range(LOST_WRITES):
        await fleet.store.async_put('others', f'lost-{number}', {})
    await fleet.store.async_put('config', 'main', document())
    engine = fleet.model_engines[0]
    await fleet.store.async_put(
        'servers', engine.name, engine.entry('desk', zone='z2')
    )
    await fleet.async_until(
        lambda: all(
            _has_read_all(gateway, fleet.store, engine)
            for gateway in fleet.gateways
        )
    )
    return copied


def _has_read_all(
    gateway: Gateway, store: StoreStandin, changed: EngineStandin
) -> bool:
    components = gateway.components
    listed = components.directory.engines[changed.name]
    version = components.follower.configuration.version
    return (
        listed.availability_zone == 'z2'
        and version == store.configuration_version
    )


async def _async_until_draining(
    fleet: PlatformFleet, engine: EngineStandin
) -> None:
    async def _async_is_known() -> bool:
        return all(
            gateway.components.directory.is_draining_or_removed(engine.name)
            for gateway in fleet.gateways
        )

    assert await _async_within(CHANGE_MS, _async_is_known)


async def _async_restore(fleet: PlatformFleet, *, away_s: float = 0.4) -> None:
    """Lose many writes; the operator and the engines write theirs again."""
    copied = await _async_write_much(fleet)
    era = fleet.gateways[0].components.directory.era
    newest = fleet.store.stored_objects['config']['main']['spec']
    await fleet.store.async_restore(copied, away_s=away_s)
    await fleet.store.async_put_unchanged('config', 'main', newest)
    await fleet.async_until(
        lambda: all(
            gateway.components.directory.era > era for gateway in fleet.gateways
        )
    )


async def _async_within(
    timeout_ms: int, condition: Callable[[], Awaitable[bool]]
) -> bool:
    async def _async_wait() -> None:
        while not await condition():
            await sleep(0.05)

    try:
        await async_with_timeout(timeout_ms, _async_wait())
    except TaskTimeout:
        return False
    return True


async def _async_statuses(fleet: PlatformFleet, path: str) -> set[int]:
    return {
        (await fleet.async_call(path, number)).status
        for number in range(len(fleet.gateways))
    }


async def _async_is_key_refused(fleet: PlatformFleet) -> bool:
    return await _async_within(
        CHANGE_MS, lambda: _async_answers(fleet, '/seats/x', 401)
    )


async def _async_answers(fleet: PlatformFleet, path: str, status: int) -> bool:
    return await _async_statuses(fleet, path) == {status}


async def _async_call_all(fleet: PlatformFleet) -> None:
    for number in range(CALLS):
        gateway = number % len(fleet.gateways)
        assert (await fleet.async_call('/open/x', gateway)).status == 200


async def _async_is_unused(fleet: PlatformFleet, engine: EngineStandin) -> bool:
    """Whether an engine gets no request that is sent now."""
    before = len(engine.arrivals)
    await _async_call_all(fleet)
    return len(engine.arrivals) == before


async def _async_say_draining(
    fleet: PlatformFleet, engine: EngineStandin
) -> None:
    entry = engine.entry('counter', state='draining')
    await fleet.store.async_put('servers', engine.name, entry)


@on_platform(3)
async def test_key_revoked_after_the_store_went_back_is_refused(
    fleet: PlatformFleet,
) -> None:
    """Guards against a revocation whose revision is lower than an old one."""
    await _async_restore(fleet)
    await fleet.store.async_put('config', 'main', _document_without_keys())
    assert await _async_is_key_refused(fleet)


@on_platform(3)
async def test_route_added_after_the_store_went_back_is_served(
    fleet: PlatformFleet,
) -> None:
    """Guards against a route that is unknown until revisions have caught up."""
    await _async_restore(fleet)
    await fleet.store.async_put('config', 'main', _document_with_route())
    assert await _async_within(
        CHANGE_MS, lambda: _async_answers(fleet, '/added/x', 200)
    )


@pytest.mark.parametrize('away_s', [0.4, 0.02])
def test_engine_draining_after_the_store_went_back_is_unused(
    away_s: float,
) -> None:
    """Guards against a notice of leaving that looks like an old list."""

    @on_platform(3)
    async def _async_run(fleet: PlatformFleet) -> None:
        await _async_restore(fleet, away_s=away_s)
        leaving = fleet.booking_engines[0]
        await _async_say_draining(fleet, leaving)
        await _async_until_draining(fleet, leaving)
        assert await _async_is_unused(fleet, leaving)

    _async_run()


@on_platform(3)
async def test_engine_draining_before_the_next_watch_is_unused(
    fleet: PlatformFleet,
) -> None:
    """Guards against revisions that catch up before the next watch begins."""
    copied = await _async_write_much(fleet)
    leaving = fleet.booking_engines[0]
    other = fleet.booking_engines[1]
    await fleet.store.async_put('servers', other.name, other.entry('counter'))
    # The owner's watch has ended, and the next one begins a little later.
    await sleep(0.05)
    await fleet.store.async_restore(copied, away_s=0.05)
    await _async_say_draining(fleet, leaving)
    for number in range(2 * LOST_WRITES):
        await fleet.store.async_put('others', f'again-{number}', {})
    await _async_until_draining(fleet, leaving)
    assert await _async_is_unused(fleet, leaving)


@on_platform(3)
async def test_engine_added_after_the_store_went_back_is_used(
    fleet: PlatformFleet,
) -> None:
    """Guards against a new engine that looks like one of an old list."""
    await _async_restore(fleet)
    added = EngineStandin('counter-3')
    await added.async_start()
    for engine in fleet.booking_engines:
        await _async_say_draining(fleet, engine)
    await fleet.store.async_put('servers', added.name, added.entry('counter'))

    async def _async_is_used() -> bool:
        await fleet.async_call('/open/x')
        return bool(added.arrivals)

    assert await _async_within(NEW_ENGINE_MS, _async_is_used)


@on_platform(3)
async def test_instance_without_store_learns_of_its_new_era(
    fleet: PlatformFleet,
) -> None:
    """Guards against an instance that only its peers can tell of the change."""
    silent_store = StoreStandin()
    silent_store.is_silent = True
    seeds = tuple(
        str(gateway.components.membership.own_status.peer_address)
        for gateway in fleet.gateways
    )
    isolated = await fleet.async_add_gateway(
        9, store=await silent_store.async_start(), seeds=seeds
    )
    await fleet.async_until(lambda: isolated.is_ready)
    await _async_restore(fleet)
    leaving = fleet.booking_engines[0]
    await _async_say_draining(fleet, leaving)
    await fleet.store.async_put('config', 'main', _document_without_keys())
    assert await _async_is_key_refused(fleet)
    await _async_until_draining(fleet, leaving)
    assert await _async_is_unused(fleet, leaving)


@on_platform(3)
async def test_changes_come_into_force_after_the_store_went_back_twice(
    fleet: PlatformFleet,
) -> None:
    """Guards against a second drill that begins before the first is over."""
    copied = await _async_write_much(fleet)
    await fleet.store.async_restore(copied)
    await _async_restore(fleet)
    await fleet.store.async_put('config', 'main', _document_without_keys())
    assert await _async_is_key_refused(fleet)


async def _async_restart_all(fleet: PlatformFleet) -> None:
    count = len(fleet.gateways)
    await fleet.async_stop()
    fleet.gateways.clear()
    for number in range(count):
        await fleet.async_add_gateway(number)
    await fleet.async_until(
        lambda: all(gateway.is_ready for gateway in fleet.gateways)
    )


@on_platform(3)
async def test_fleet_started_just_before_the_store_goes_back(
    fleet: PlatformFleet,
) -> None:
    """Guards against instances that have seen one era only for a moment."""
    copied = await _async_write_much(fleet)
    await _async_restart_all(fleet)
    await fleet.store.async_restore(copied)
    leaving = fleet.booking_engines[0]
    await _async_say_draining(fleet, leaving)
    await fleet.store.async_put('config', 'main', _document_without_keys())
    assert await _async_is_key_refused(fleet)
    await _async_until_draining(fleet, leaving)
    assert await _async_is_unused(fleet, leaving)


@on_platform(3)
async def test_newer_configuration_stays_while_the_store_holds_an_older_one(
    fleet: PlatformFleet,
) -> None:
    """Guards against a configuration that goes back with the store."""
    copied = fleet.store.copy()
    await fleet.store.async_put('config', 'main', _document_with_route())
    assert await _async_within(
        CHANGE_MS, lambda: _async_answers(fleet, '/added/x', 200)
    )
    added = fleet.store.stored_objects['config']['main']['spec']
    await fleet.store.async_restore(copied)
    for _ in range(10):
        assert await _async_statuses(fleet, '/added/x') == {200}
        await sleep(0.2)
    await fleet.store.async_put_unchanged('config', 'main', added)
    await sleep(READ_S)
    assert await _async_statuses(fleet, '/added/x') == {200}
    await fleet.store.async_put('config', 'main', document())
    assert await _async_within(
        CHANGE_MS, lambda: _async_answers(fleet, '/added/x', 404)
    )


@on_platform(3)
async def test_engine_that_leaves_stays_unused_where_its_notice_is_lost(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that is listed as ready again by the copy."""
    copied = await _async_write_much(fleet)
    leaving = fleet.booking_engines[0]
    await _async_say_draining(fleet, leaving)
    await _async_until_draining(fleet, leaving)
    await fleet.store.async_restore(copied)
    for _ in range(5):
        assert await _async_is_unused(fleet, leaving)
        await sleep(0.3)


@on_platform(3)
async def test_engine_that_is_gone_stays_unused_where_its_removal_is_lost(
    fleet: PlatformFleet,
) -> None:
    """Guards against a removed engine that is listed again by the copy."""
    copied = await _async_write_much(fleet)
    removed = fleet.booking_engines[0]
    await fleet.store.async_remove('servers', removed.name)
    await _async_until_draining(fleet, removed)
    await fleet.store.async_restore(copied)
    for _ in range(5):
        assert await _async_is_unused(fleet, removed)
        await sleep(0.3)


@on_platform(3)
async def test_restarted_engine_is_used_although_it_left_before(
    fleet: PlatformFleet,
) -> None:
    """Guards against a notice that outlasts the engine that gave it."""
    copied = await _async_write_much(fleet)
    left = fleet.booking_engines[0]
    await _async_say_draining(fleet, left)
    await _async_until_draining(fleet, left)
    await fleet.store.async_restore(copied)
    entry = left.entry('counter', born=2)
    await fleet.store.async_put('servers', left.name, entry)

    async def _async_is_used() -> bool:
        return not await _async_is_unused(fleet, left)

    assert await _async_within(NEW_ENGINE_MS, _async_is_used)


@on_platform(3)
async def test_engines_missing_in_the_copy_are_kept_until_they_write_again(
    fleet: PlatformFleet,
) -> None:
    """Guards against refusals between the copy and the engines' next writes."""
    engines = [EngineStandin('counter-3'), EngineStandin('counter-4')]
    copied = await _async_write_much(fleet)
    for engine in engines:
        await engine.async_start()
        entry = engine.entry('counter')
        await fleet.store.async_put('servers', engine.name, entry)
    for replaced in fleet.booking_engines:
        await fleet.store.async_remove('servers', replaced.name)
        copied.stored_objects['servers'].pop(replaced.name)
    await sleep(READ_S)
    await fleet.store.async_restore(copied)
    for _ in range(4):
        await _async_call_all(fleet)
        await sleep(0.3)
    for engine in engines:
        entry = engine.entry('counter')
        await fleet.store.async_put('servers', engine.name, entry)
    for _ in range(5):
        await _async_call_all(fleet)
        await sleep(0.5)


def _own_names(fleet: PlatformFleet) -> set[str]:
    return set(fleet.store.stored_objects.get('instances', {}))


def _ids(gateways: list[Gateway]) -> set[str]:
    return {gateway.settings.instance_id for gateway in gateways}


@on_platform(3)
async def test_instances_write_their_lost_entries_again(
    fleet: PlatformFleet,
) -> None:
    """Guards against instances that nobody who starts later can find."""
    copied = await _async_write_much(fleet)
    copied.stored_objects.pop('instances', None)
    await fleet.store.async_restore(copied)
    await fleet.async_until(lambda: _own_names(fleet) == _ids(fleet.gateways))


@on_platform(3)
async def test_lost_records_are_written_again(fleet: PlatformFleet) -> None:
    """Guards against versions and culprits that a lost fleet forgets."""
    await fleet.async_until(
        lambda: bool(fleet.store.stored_objects.get('records'))
    )
    names = set(fleet.store.stored_objects['records'])
    copied = await _async_write_much(fleet)
    copied.stored_objects.pop('records', None)
    await fleet.store.async_restore(copied)
    await fleet.async_until(
        lambda: names <= set(fleet.store.stored_objects.get('records', {}))
    )


@on_platform(3)
async def test_statement_of_leaving_outlasts_the_restored_list(
    fleet: PlatformFleet,
) -> None:
    """Guards against what an engine stated itself being lost with the list."""
    copied = await _async_write_much(fleet)
    leaving = fleet.booking_engines[0]
    leaving.state({'server-leaving': '1'})
    await _async_call_all(fleet)
    await fleet.async_until(
        lambda: all(
            load_at(gateway, leaving).is_leaving
            for gateway in fleet.gateways
            if gateway.components.is_owner
        )
    )
    await fleet.store.async_restore(copied)
    for _ in range(4):
        assert await _async_is_unused(fleet, leaving)
        await sleep(0.3)
