"""Tests of an instance whose data lags behind the store."""

from curio import sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.store.store_reader import WATCH_TIMEOUT_MS
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import document, route

# More than the limit after which a change must be in force (the apply limit),
# less than the limit after which a revoked key must be refused.
STALE_AFTER_MS = 2300


async def _async_stop_background_tasks(fleet: PlatformFleet) -> None:
    """Cancel all background tasks to simulate a starved process."""
    for task in fleet.gateways[0]._tasks:
        await task.cancel()


async def _async_wait_until_stale(fleet: PlatformFleet) -> None:
    """Wait until the instance's data is older than STALE_AFTER_MS."""
    components = fleet.gateways[0].components
    await fleet.async_until(
        lambda: (
            components.freshness.age_ms(
                components.follower.configuration.version,
                now_ms(),
            )
            > STALE_AFTER_MS
            and components.directory.age_ms(now_ms()) > STALE_AFTER_MS
        ),
    )


def _document_with_added_route() -> object:
    added = route('/added/', public_access=True)
    return document(routes=[*document()['routes'], added])


@on_platform()
async def test_stale_instance_serves_added_route(
    fleet: PlatformFleet,
) -> None:
    """Guards against a 404 from a configuration older than the apply limit."""
    await _async_stop_background_tasks(fleet)
    await fleet.store.async_put('config', 'main', _document_with_added_route())
    await _async_wait_until_stale(fleet)
    assert (await fleet.async_call('/added/x')).status == 200


@on_platform()
async def test_stale_instance_accepts_new_key(
    fleet: PlatformFleet,
) -> None:
    """Guards against a 401 from a configuration older than the apply limit."""
    await _async_stop_background_tasks(fleet)
    team = {**document()['tenants'][0], 'api_keys': ['key-of-bakers']}
    await fleet.store.async_put('config', 'main', document(tenants=[team]))
    await _async_wait_until_stale(fleet)
    got = await fleet.async_call(
        '/seats/x', authorization='Bearer key-of-bakers'
    )
    assert got.status == 200
    assert (await fleet.async_call('/seats/x')).status == 401


@on_platform()
async def test_stale_instance_uses_new_service_of_moved_route(
    fleet: PlatformFleet,
) -> None:
    """Guards against a run by the old service after the apply limit."""
    await _async_stop_background_tasks(fleet)
    moved = [
        {**each, 'service': 'desk'} if each['path_prefix'] == '/open/' else each
        for each in document()['routes']
    ]
    await fleet.store.async_put('config', 'main', document(routes=moved))
    await _async_wait_until_stale(fleet)
    assert (await fleet.async_call('/open/x')).status == 200
    assert not any(engine.executed for engine in fleet.booking_engines)


@on_platform()
async def test_unconfirmed_configuration_leads_to_retryable_refusal(
    fleet: PlatformFleet,
) -> None:
    """Guards against a final 404 while the store does not respond."""
    fleet.store.is_silent = True
    await sleep(WATCH_TIMEOUT_MS / MILLIS_PER_SECOND)
    await fleet.store.async_put('config', 'main', _document_with_added_route())
    await _async_wait_until_stale(fleet)
    refused = await fleet.async_call('/added/x')
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0


@on_platform()
async def test_stale_instance_sends_nothing_to_draining_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against requests to an engine that has been draining for long."""
    await _async_stop_background_tasks(fleet)
    draining = fleet.booking_engines[0]
    entry = draining.entry('counter', state='draining')
    await fleet.store.async_put('servers', draining.name, entry)
    await _async_wait_until_stale(fleet)
    for _ in range(4):
        assert (await fleet.async_call('/seats/x')).status == 200
    assert not draining.executed


@on_platform()
async def test_stale_instance_sends_nothing_to_removed_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against keeping a removed engine as if the store had failed."""
    await _async_stop_background_tasks(fleet)
    removed = fleet.booking_engines[0]
    await fleet.store.async_remove('servers', removed.name)
    await _async_wait_until_stale(fleet)
    for _ in range(4):
        assert (await fleet.async_call('/seats/x')).status == 200
    assert not removed.executed
