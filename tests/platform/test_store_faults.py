"""Tests with a store that is unavailable, incomplete or partly reachable."""

from curio import sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.membership.liveness import FLEET_CELL, HEARTBEAT_RECEIVERS
from hornbeamdeck.membership.rendezvous import ranking
from hornbeamdeck.store.freshness_guard import REVOCATION_MARGIN_MS
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import StoreStandin, document


def _document_without_keys() -> object:
    teams = [{**each, 'api_keys': []} for each in document()['tenants']]
    return document(tenants=teams)


@on_platform()
async def test_keys_are_refused_while_configuration_is_unconfirmed(
    fleet: PlatformFleet,
) -> None:
    """Guards against accepting keys that may have been revoked.

    The store stops responding, so a key may have been revoked unnoticed. The
    instance must refuse requests that need a key, with a retry-after time, and
    must still serve the public route.
    """
    gateway = fleet.gateways[0]
    fleet.store.is_silent = True
    bounds = gateway.settings.bounds._replace(
        revocation_ms=REVOCATION_MARGIN_MS + 200,
    )
    gateway.settings = gateway.settings._replace(bounds=bounds)
    await fleet.async_until(
        lambda: (
            gateway.components.freshness.age_ms(
                gateway.components.follower.configuration.version,
                now_ms(),
            )
            > 300
        ),
    )
    refused = await fleet.async_call('/seats/x')
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
    assert (await fleet.async_call('/open/x')).status == 200


@on_platform(2)
async def test_instance_without_store_gets_revocation_from_peers(
    fleet: PlatformFleet,
) -> None:
    """Guards against accepting a revoked key where the store is unreachable.

    The store serves only some of the instances. A revoked key must be refused
    by all of them, and no caller may be refused unnecessarily.
    """
    silent_store = StoreStandin()
    silent_store.is_silent = True
    seeds = [
        str(gateway.components.membership.own_status.peer_address)
        for gateway in fleet.gateways
    ]
    isolated = await fleet.async_add_gateway(
        9,
        store=await silent_store.async_start(),
        seeds=tuple(seeds),
    )
    await fleet.async_until(lambda: isolated.is_ready)
    assert (await fleet.async_call('/seats/x', -1)).status == 200
    await fleet.store.async_put('config', 'main', _document_without_keys())
    await fleet.async_until(
        lambda: not isolated.components.follower.configuration.teams_by_key,
    )
    assert (await fleet.async_call('/seats/x', -1)).status == 401
    age_ms = isolated.components.freshness.age_ms(
        isolated.components.follower.configuration.version,
        now_ms(),
    )
    assert age_ms < isolated.settings.bounds.revocation_ms


@on_platform()
async def test_expired_watch_revision_leads_to_full_read(
    fleet: PlatformFleet,
) -> None:
    fleet.store.oldest_revision = 10_000
    await fleet.store.async_put('config', 'main', _document_without_keys())
    follower = fleet.gateways[0].components.follower
    await fleet.async_until(lambda: not follower.configuration.teams_by_key)
    engine = fleet.booking_engines[0]
    entry = engine.entry('counter', state='draining')
    await fleet.store.async_put('servers', engine.name, entry)
    directory = fleet.gateways[0].components.directory
    await fleet.async_until(lambda: directory.engines[engine.name].is_draining)


@on_platform()
async def test_rejected_store_calls_are_retried(fleet: PlatformFleet) -> None:
    fleet.store.next_statuses = [429, 503, 429, 503]
    await fleet.store.async_put('config', 'main', _document_without_keys())
    follower = fleet.gateways[0].components.follower
    await fleet.async_until(lambda: not follower.configuration.teams_by_key)


@on_platform()
async def test_engines_missing_after_outage_are_kept_for_a_while(
    fleet: PlatformFleet,
) -> None:
    """Guards against refusing all requests after an outage of the store.

    Engines can't renew their entries during the outage. After it, the store
    lists none of them, although all run and register again within two
    seconds. Without the previous list every request would be refused meanwhile.
    """
    fleet.store.is_silent = True
    await sleep(2.5)
    for engine in fleet.booking_engines:
        fleet.store.stored_objects['servers'].pop(engine.name)
    fleet.store.is_silent = False
    await fleet.async_until(
        lambda: fleet.gateways[0].components.directory.age_ms(now_ms()) < 300,
    )
    assert (await fleet.async_call('/open/x')).status == 200
    directory = fleet.gateways[0].components.directory
    await fleet.async_until(
        lambda: fleet.booking_engines[0].name not in directory.engines,
    )


@on_platform(3)
async def test_store_calls_do_not_grow_with_fleet(fleet: PlatformFleet) -> None:
    """Guards against store calls that grow with the number of instances.

    Three instances together may only make the calls of the one instance that
    reads for all, and a few calls at their start.
    """
    await sleep(3)
    before = fleet.store.calls
    await sleep(3)
    assert fleet.store.calls - before < 3 * 2 * 5
    readers = [
        gateway for gateway in fleet.gateways if gateway.components.is_owner
    ]
    assert len(readers) == 1


@on_platform()
async def test_new_incarnation_replaces_status_of_old_one(
    fleet: PlatformFleet,
) -> None:
    """Guards against a status that an earlier incarnation left in the store.

    A process is killed and restarts with the same instance ID. Its status in
    the store is that of the earlier incarnation until it writes its own.
    """
    await fleet.gateways[0].async_kill()
    restarted = await fleet.async_add_gateway(0)
    await fleet.async_until(lambda: restarted.is_ready)
    incarnation = restarted.components.membership.own_status.incarnation
    await fleet.async_until(
        lambda: (
            fleet.store.stored_objects['instances']['front-0']['spec'][
                'incarnation'
            ]
            == incarnation
        ),
    )


@on_platform(2)
async def test_key_is_revoked_when_owner_cannot_read_store(
    fleet: PlatformFleet,
) -> None:
    """Guards against a revoked key that stays valid on all instances.

    A key is revoked while the store doesn't respond to the owner, which reads
    for all instances. The other instances must read the configuration instead
    and send it to the owner.
    """
    ids = [gateway.settings.instance_id for gateway in fleet.gateways]
    owner_number = next(
        number
        for number in range(10, 99)
        if ranking(FLEET_CELL, [*ids, f'front-{number}'])[0]
        == f'front-{number}'
    )
    silent_store = StoreStandin()
    silent_store.is_silent = True
    seeds = [
        str(gateway.components.membership.own_status.peer_address)
        for gateway in fleet.gateways
    ]
    owner = await fleet.async_add_gateway(
        owner_number,
        store=await silent_store.async_start(),
        seeds=tuple(seeds),
    )
    await fleet.async_until(
        lambda: (
            owner.is_ready
            and owner.components.is_owner
            and not any(
                gateway.components.is_owner for gateway in fleet.gateways[:2]
            )
        ),
    )
    await fleet.store.async_put('config', 'main', _document_without_keys())
    await fleet.async_until(
        lambda: all(
            gateway.components.follower.configuration.version
            == fleet.store.configuration_version
            for gateway in fleet.gateways
        ),
    )
    assert (await fleet.async_call('/seats/x', -1)).status == 401


@on_platform(8)
async def test_one_listing_of_instances_is_enough_when_told_by_peers(
    fleet: PlatformFleet,
) -> None:
    """Guards against a listing by each instance of a fleet that starts.

    After the loss of all, hundreds of instances would list hundreds of entries
    twice each, which made up most of the calls to the store.
    """
    await sleep(2.5)
    listings = fleet.store.listings['instances']
    assert listings <= 8 + HEARTBEAT_RECEIVERS
    assert all(
        len(gateway.components.membership.known_peers()) == 7
        for gateway in fleet.gateways
    )
