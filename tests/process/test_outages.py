"""The platform down, slow or cut off, and instances that help each other."""

import json

from curio import sleep, spawn

from hornbeamdeck.demo.caller import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.process.instance import Instance
from tests.support import booking_entry, desk_entry, on_fleet

PLAN = FleetPlan(instances=3, speeds=(1.0,))


def _set(fleet: Fleet, **changes: object) -> None:
    switches = fleet.platform.switches
    fleet.platform.switches = switches._replace(**changes)  # type: ignore[arg-type]


async def _async_until_version(instance: Instance, version: int) -> None:
    for _ in range(500):
        if instance.parts.follower.configuration.version >= version:
            return
        await sleep(0.01)
    raise AssertionError('the version did not come')


@on_fleet(PLAN)
async def test_instance_started_in_an_outage_serves(fleet: Fleet) -> None:
    """An instance is replaced while the platform is down. With no way to the
    configuration it would refuse every guide until the platform is back; so
    it asks a peer, and takes no cell from the others before they know of it.
    """
    _set(fleet, is_down=True)
    seed = fleet.instances[0].own.peer_address
    late = await fleet.async_add_instance('late', seed_peers=(seed,))
    await _async_until_version(late, 1)
    record = await async_call(desk_entry(), 1, late.own.address)
    assert record.is_whole
    owner = fleet.instances[0].parts.membership.owner_of('desk')
    assert late.parts.membership.owner_of('desk') == owner


@on_fleet(PLAN)
async def test_version_spreads_by_peers_when_watch_hangs(
    fleet: Fleet,
) -> None:
    """A document is accepted and the platform fails in the next moment, before
    one instance has seen the change. A message from a peer tells it, and the
    peer gives the document.
    """
    owner = fleet.owner_of('desk')
    behind = next(each for each in fleet.instances if each is not owner)
    follower = behind.parts.follower

    async def _async_blind(change: object) -> None:
        await sleep(0)

    real_note = follower.async_note
    follower.async_note = _async_blind  # type: ignore[method-assign]
    document = json.loads(follower.configuration.document)
    document['teams'][0]['weight'] = 7
    await fleet.async_put_document(json.dumps(document))
    version = owner.parts.follower.configuration.version + 1
    await _async_until_version(owner, version)
    _set(fleet, is_down=True)
    follower.async_note = real_note  # type: ignore[method-assign]
    await async_call(desk_entry(), 1, behind.own.address)
    await _async_until_version(behind, version)


@on_fleet(PLAN)
async def test_outage_stops_bookings_only(fleet: Fleet) -> None:
    """The platform is down. Guides are served as ever; a booking is refused as
    not run, once its deadline shows that no claim can be made, and runs when
    it is sent again after the outage.
    """
    _set(fleet, is_down=True)
    address = fleet.instances[0].own.address
    assert (await async_call(desk_entry(), 1, address)).is_whole
    entry = booking_entry('outage-1', deadline_ms=600)
    refused = await async_call(entry, 2, address)
    assert (refused.status, refused.outcome) == (503, 'not_run')
    assert fleet.booking.runs == {}
    _set(fleet, is_down=False)
    again = await async_call(booking_entry('outage-1'), 2, address)
    assert again.is_whole
    assert fleet.booking.runs == {'outage-1': 1}


@on_fleet(PLAN)
async def test_caller_that_leaves_during_the_claim_can_come_back(
    fleet: Fleet,
) -> None:
    """The platform is slow, and a family's phone drops the connection while
    the claim of its booking is being made. Were that claim left, the family
    could never book with this key again.
    """
    _set(fleet, delay_ms=300)
    address = fleet.instances[0].own.address
    hasty = await spawn(async_call, booking_entry('hasty'), 1, address)
    await sleep(0.1)
    await hasty.cancel()
    await sleep(0.5)
    _set(fleet, delay_ms=0)
    outcomes = []
    while 'ran' not in outcomes:
        record = await async_call(booking_entry('hasty'), 1, address)
        outcomes.append(record.outcome)
        assert len(outcomes) < 100
        await sleep(0.05)
    assert fleet.booking.runs == {'hasty': 1}


@on_fleet(PLAN)
async def test_leaving_engine_gets_no_new_work(fleet: Fleet) -> None:
    """The platform lists the engine as leaving. A request sent to it would be
    cut off when it goes; so within one reading of the list nothing more is.
    """
    engine = str(fleet.listeners[0].address)
    fleet.platform.listed[engine] = 'leaving'
    for instance in fleet.instances:
        while not instance.parts.membership.leaving_addresses():
            await sleep(0.02)
    entry = desk_entry(deadline_ms=400)
    record = await async_call(entry, 1, fleet.instances[0].own.address)
    assert record.outcome == 'not_run'
    assert fleet.engines[0].batch.records.runs == {}


@on_fleet(PLAN)
async def test_stale_document_never_replaces_a_newer_one(
    fleet: Fleet,
) -> None:
    """A list answer that was under way for long shows the document before the
    last. Taken over, it would bring back what an operator has just removed.
    """
    parts = fleet.instances[0].parts
    old = parts.follower.configuration
    document = json.loads(old.document)
    document['teams'] = document['teams'][:2]
    await fleet.async_put_document(json.dumps(document))
    await _async_until_version(fleet.instances[0], old.version + 1)
    got = await parts.platform.async_get('configuration', role='test')
    stored = got.unwrap()
    assert stored is not None
    stale = stored._replace(version=old.version, body=old.document)
    await parts.follower.async_note(stale)
    assert len(parts.follower.configuration.teams_by_key) == 2
