"""Behaviour of instances while the store is down, slow or cut off."""

import json

from curio import sleep, spawn

from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.process.instance import Instance
from tests.support import booking_entry, completion_entry, on_fleet

PLAN = FleetPlan(instances=3, speeds=(1.0,))


def _set(fleet: Fleet, **changes: object) -> None:
    switches = fleet.platform.switches
    fleet.platform.switches = switches._replace(**changes)  # type: ignore[arg-type]


async def _async_until_version(instance: Instance, version: int) -> None:
    for _ in range(500):
        if instance.components.follower.configuration.version >= version:
            return
        await sleep(0.01)
    raise AssertionError('the version did not arrive in time')


@on_fleet(PLAN)
async def test_instance_started_in_an_outage_serves(fleet: Fleet) -> None:
    """An instance is replaced while the store is down. Without a configuration
    it would refuse every request until the store is back, so it requests a
    snapshot from a peer. It must not take over cells before the others have
    its status.
    """
    _set(fleet, is_down=True)
    seed = fleet.instances[0].own.peer_address
    late = await fleet.async_add_instance('late', seed_peers=(seed,))
    await _async_until_version(late, 1)
    record = await async_call(completion_entry(), 1, late.own.address)
    assert record.is_complete
    owner = fleet.instances[0].components.membership.owner_of('desk')
    assert late.components.membership.owner_of('desk') == owner


@on_fleet(PLAN)
async def test_version_spreads_by_peers_when_watch_hangs(
    fleet: Fleet,
) -> None:
    """The store fails right after accepting a document, before one instance
    has received the change. The instance learns of the new version from a
    peer's message and must get the document from that peer.
    """
    owner = fleet.owner_of('desk')
    lagging = next(each for each in fleet.instances if each is not owner)
    follower = lagging.components.follower

    async def _async_ignore_change(change: object) -> None:
        await sleep(0)

    real_note = follower.async_note
    follower.async_note = _async_ignore_change  # type: ignore[method-assign]
    document = json.loads(follower.configuration.document)
    document['teams'][0]['weight'] = 7
    await fleet.async_put_configuration(json.dumps(document))
    version = owner.components.follower.configuration.version + 1
    await _async_until_version(owner, version)
    _set(fleet, is_down=True)
    follower.async_note = real_note  # type: ignore[method-assign]
    await async_call(completion_entry(), 1, lagging.own.address)
    await _async_until_version(lagging, version)


@on_fleet(PLAN)
async def test_outage_stops_bookings_only(fleet: Fleet) -> None:
    """While the store is down, guide requests are served as usual. A booking is
    refused as not run when its deadline passes without a claim, and runs when
    it is sent again after the outage.
    """
    _set(fleet, is_down=True)
    address = fleet.instances[0].own.address
    assert (await async_call(completion_entry(), 1, address)).is_complete
    entry = booking_entry('outage-1', deadline_ms=600)
    refused = await async_call(entry, 2, address)
    assert (refused.status, refused.outcome) == (503, 'not_run')
    assert fleet.booking_service.runs == {}
    _set(fleet, is_down=False)
    again = await async_call(booking_entry('outage-1'), 2, address)
    assert again.is_complete
    assert fleet.booking_service.runs == {'outage-1': 1}


@on_fleet(PLAN)
async def test_claim_is_released_when_the_caller_disconnects(
    fleet: Fleet,
) -> None:
    """The store is slow, and a caller disconnects while the claim for its
    booking is being made. If the claim remained, the caller could never book
    with this idempotency key again.
    """
    _set(fleet, delay_ms=300)
    address = fleet.instances[0].own.address
    first_call = await spawn(async_call, booking_entry('hasty'), 1, address)
    await sleep(0.1)
    await first_call.cancel()
    await sleep(0.5)
    _set(fleet, delay_ms=0)
    outcomes = []
    while 'ran' not in outcomes:
        record = await async_call(booking_entry('hasty'), 1, address)
        outcomes.append(record.outcome)
        assert len(outcomes) < 100
        await sleep(0.05)
    assert fleet.booking_service.runs == {'hasty': 1}


@on_fleet(PLAN)
async def test_draining_engine_gets_no_new_work(fleet: Fleet) -> None:
    """The platform lists the engine as draining. A request sent to it would be
    cut off when it stops, so none may be sent after the next read of the list.
    """
    engine = str(fleet.listeners[0].address)
    fleet.platform.instance_states[engine] = 'leaving'
    for instance in fleet.instances:
        while not instance.components.membership.draining_addresses():
            await sleep(0.02)
    entry = completion_entry(deadline_ms=400)
    record = await async_call(entry, 1, fleet.instances[0].own.address)
    assert record.outcome == 'not_run'
    assert fleet.engines[0].batch.counters.runs == {}


@on_fleet(PLAN)
async def test_stale_document_never_replaces_a_newer_one(
    fleet: Fleet,
) -> None:
    """A delayed list response contains the previous document. If it were
    applied, it would restore what an operator has just removed.
    """
    components = fleet.instances[0].components
    old = components.follower.configuration
    document = json.loads(old.document)
    document['teams'] = document['teams'][:2]
    await fleet.async_put_configuration(json.dumps(document))
    await _async_until_version(fleet.instances[0], old.version + 1)
    response = await components.platform.async_get('configuration', role='test')
    stored = response.unwrap()
    assert stored is not None
    stale = stored._replace(version=old.version, body=old.document)
    await components.follower.async_note(stale)
    assert len(components.follower.configuration.teams_by_key) == 2
