"""What an instance does that lags behind the store."""

from curio import sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.process.store_reader import WATCH_MS
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import document, route

# More than a change may take to be in force, less than a key may live on.
LATE_MS = 2300


async def _async_lag(fleet: PlatformFleet) -> None:
    """Stop all that runs in the background, as a starved process does."""
    for task in fleet.fronts[0]._tasks:
        await task.cancel()


async def _async_age(fleet: PlatformFleet) -> None:
    """Wait until what the instance holds is older than a change may be."""
    parts = fleet.fronts[0].parts
    await fleet.async_until(
        lambda: (
            parts.freshness.age_ms(
                parts.follower.configuration.version,
                now_ms(),
            )
            > LATE_MS
            and parts.directory.age_ms(now_ms()) > LATE_MS
        ),
    )


def _with_another_route() -> object:
    added = route('/added/', public_access=True)
    return document(routes=[*document()['routes'], added])


@on_platform()
async def test_an_added_route_is_not_denied_by_an_instance_that_lags(
    fleet: PlatformFleet,
) -> None:
    """Guards against a 404 from a configuration older than a change may be."""
    await _async_lag(fleet)
    await fleet.store.async_put('config', 'main', _with_another_route())
    await _async_age(fleet)
    assert (await fleet.async_call('/added/x')).status == 200


@on_platform()
async def test_a_new_key_is_not_denied_by_an_instance_that_lags(
    fleet: PlatformFleet,
) -> None:
    """Guards against a 401 from a configuration older than a change may be."""
    await _async_lag(fleet)
    team = {**document()['tenants'][0], 'api_keys': ['key-of-bakers']}
    await fleet.store.async_put('config', 'main', document(tenants=[team]))
    await _async_age(fleet)
    got = await fleet.async_call(
        '/seats/x', authorization='Bearer key-of-bakers'
    )
    assert got.status == 200
    assert (await fleet.async_call('/seats/x')).status == 401


@on_platform()
async def test_a_moved_route_is_not_run_by_its_old_service(
    fleet: PlatformFleet,
) -> None:
    """Guards against a run by the old service after a change is in force."""
    await _async_lag(fleet)
    moved = [
        {**each, 'service': 'desk'} if each['path_prefix'] == '/open/' else each
        for each in document()['routes']
    ]
    await fleet.store.async_put('config', 'main', document(routes=moved))
    await _async_age(fleet)
    assert (await fleet.async_call('/open/x')).status == 200
    assert not any(engine.ran for engine in fleet.counters)


@on_platform()
async def test_what_can_not_be_proved_is_not_denied(
    fleet: PlatformFleet,
) -> None:
    """Guards against a final 404 from an instance that the store leaves."""
    fleet.store.is_silent = True
    await sleep(WATCH_MS / MILLIS_PER_SECOND)
    await fleet.store.async_put('config', 'main', _with_another_route())
    await _async_age(fleet)
    refused = await fleet.async_call('/added/x')
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0


@on_platform()
async def test_a_leaving_engine_gets_no_work_from_an_instance_that_lags(
    fleet: PlatformFleet,
) -> None:
    """Guards against work for an engine that has long said that it leaves."""
    await _async_lag(fleet)
    leaving = fleet.counters[0]
    entry = leaving.entry('counter', state='draining')
    await fleet.store.async_put('servers', leaving.name, entry)
    await _async_age(fleet)
    for _ in range(4):
        assert (await fleet.async_call('/seats/x')).status == 200
    assert not leaving.ran


@on_platform()
async def test_a_removed_engine_gets_no_work_from_an_instance_that_lags(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that is gone and kept as in an outage."""
    await _async_lag(fleet)
    removed = fleet.counters[0]
    await fleet.store.async_remove('servers', removed.name)
    await _async_age(fleet)
    for _ in range(4):
        assert (await fleet.async_call('/seats/x')).status == 200
    assert not removed.ran
