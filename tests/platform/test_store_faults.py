"""What holds while the users' store is away, lies or turns some away."""

from curio import sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.attendance import FLEET_CELL
from hornbeamdeck.process.proofs import REVOCATION_MARGIN_MS
from hornbeamdeck.process.rendezvous import ranking
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import StoreStandin, document


def _without_keys() -> object:
    teams = [{**each, 'api_keys': []} for each in document()['tenants']]
    return document(tenants=teams)


@on_platform()
async def test_without_proof_no_keyed_request_is_served(
    fleet: PlatformFleet,
) -> None:
    """The store falls silent. A key may have been taken away meanwhile; an
    instance that can't know refuses, with a time to come back, and the public
    route goes on.
    """
    front = fleet.fronts[0]
    fleet.store.is_silent = True
    bounds = front.settings.bounds._replace(
        revocation_ms=REVOCATION_MARGIN_MS + 200,
    )
    front.settings = front.settings._replace(bounds=bounds)
    await fleet.async_until(
        lambda: (
            front.parts.freshness.age_ms(
                front.parts.follower.configuration.version,
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
async def test_one_that_is_turned_away_learns_from_the_others(
    fleet: PlatformFleet,
) -> None:
    """The store turns some instances away and serves the others. A key taken
    away must be dead at all of them, and no caller refused without need.
    """
    deaf = StoreStandin()
    deaf.is_silent = True
    seeds = [
        str(front.parts.membership.own.peer_address) for front in fleet.fronts
    ]
    outcast = await fleet.async_add_front(
        9,
        store=await deaf.async_start(),
        seeds=tuple(seeds),
    )
    await fleet.async_until(lambda: outcast.is_ready)
    assert (await fleet.async_call('/seats/x', -1)).status == 200
    await fleet.store.async_put('config', 'main', _without_keys())
    await fleet.async_until(
        lambda: not outcast.parts.follower.configuration.teams_by_key,
    )
    assert (await fleet.async_call('/seats/x', -1)).status == 401
    age_ms = outcast.parts.freshness.age_ms(
        outcast.parts.follower.configuration.version,
        now_ms(),
    )
    assert age_ms < outcast.settings.bounds.revocation_ms


@on_platform()
async def test_history_that_is_gone_is_read_anew(fleet: PlatformFleet) -> None:
    fleet.store.history_from = 10_000
    await fleet.store.async_put('config', 'main', _without_keys())
    follower = fleet.fronts[0].parts.follower
    await fleet.async_until(lambda: not follower.configuration.teams_by_key)
    engine = fleet.counters[0]
    entry = engine.entry('counter', state='draining')
    await fleet.store.async_put('servers', engine.name, entry)
    directory = fleet.fronts[0].parts.directory
    await fleet.async_until(lambda: directory.engines[engine.name].is_leaving)


@on_platform()
async def test_rejected_calls_are_made_again(fleet: PlatformFleet) -> None:
    fleet.store.refusals = [429, 503, 429, 503]
    await fleet.store.async_put('config', 'main', _without_keys())
    follower = fleet.fronts[0].parts.follower
    await fleet.async_until(lambda: not follower.configuration.teams_by_key)


@on_platform()
async def test_engines_that_lapse_with_the_store_are_kept_for_a_moment(
    fleet: PlatformFleet,
) -> None:
    """The store is down and engines can't renew their entries. On its return
    it lists none of them, though all live and are back in two seconds; without
    a memory every request would be refused meanwhile.
    """
    fleet.store.is_silent = True
    await sleep(2.5)
    for engine in fleet.counters:
        fleet.store.stored['servers'].pop(engine.name)
    fleet.store.is_silent = False
    await fleet.async_until(
        lambda: fleet.fronts[0].parts.directory.age_ms(now_ms()) < 300,
    )
    assert (await fleet.async_call('/open/x')).status == 200
    directory = fleet.fronts[0].parts.directory
    await fleet.async_until(
        lambda: fleet.counters[0].name not in directory.engines,
    )


@on_platform(3)
async def test_reads_do_not_grow_with_the_fleet(fleet: PlatformFleet) -> None:
    """Each instance that polls for itself costs calls. Three together make no
    more than the one that reads for all, and a few at their start.
    """
    await sleep(3)
    before = fleet.store.calls
    await sleep(3)
    assert fleet.store.calls - before < 3 * 2 * 5
    readers = [front for front in fleet.fronts if front.parts.is_owner]
    assert len(readers) == 1


@on_platform()
async def test_a_second_incarnation_takes_its_name_over(
    fleet: PlatformFleet,
) -> None:
    """A process is killed and starts again under its name. Its entry in the
    store is the old one's until it writes its own.
    """
    await fleet.fronts[0].async_kill()
    again = await fleet.async_add_front(0)
    await fleet.async_until(lambda: again.is_ready)
    incarnation = again.parts.membership.own.incarnation
    await fleet.async_until(
        lambda: (
            fleet.store.stored['instances']['front-0']['spec']['incarnation']
            == incarnation
        ),
    )


@on_platform(2)
async def test_a_key_dies_though_the_owner_is_turned_away(
    fleet: PlatformFleet,
) -> None:
    """The store turns away the instance that reads for all, and at that moment
    a key is taken away. The others read in its place and tell it, or the key
    would live on everywhere.
    """
    ids = [front.settings.instance_id for front in fleet.fronts]
    first = next(
        number
        for number in range(10, 99)
        if ranking(FLEET_CELL, [*ids, f'front-{number}'])[0]
        == f'front-{number}'
    )
    deaf = StoreStandin()
    deaf.is_silent = True
    seeds = [
        str(front.parts.membership.own.peer_address) for front in fleet.fronts
    ]
    owner = await fleet.async_add_front(
        first,
        store=await deaf.async_start(),
        seeds=tuple(seeds),
    )
    await fleet.async_until(
        lambda: (
            owner.is_ready
            and owner.parts.is_owner
            and not any(front.parts.is_owner for front in fleet.fronts[:2])
        ),
    )
    version = await fleet.store.async_put('config', 'main', _without_keys())
    await fleet.async_until(
        lambda: all(
            front.parts.follower.configuration.version == version
            for front in fleet.fronts
        ),
    )
    assert (await fleet.async_call('/seats/x', -1)).status == 401
