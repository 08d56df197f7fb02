"""The plain path with a store that comes back from an older copy."""

import json
from typing import Any

from curio import sleep

from hornbeamdeck.const import KEY_CONFIGURATION, PREFIX_INSTANCE
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from tests.support import booking_entry, on_fleet

PLAN = FleetPlan(instances=3, speeds=(1.0,))
LOST_WRITES = 20
ADDED = 'added'


async def _async_write(fleet: Fleet, key: str, body: str) -> None:
    client = fleet.instances[0].components.platform
    stored = (await client.async_get(key, role='tests')).unwrap()
    version = stored.version if stored else None
    written = await client.async_put(key, body, expected=version, role='tests')
    written.unwrap()


def _configuration(fleet: Fleet) -> Any:
    return json.loads(fleet.platform.copy().stored[KEY_CONFIGURATION].body)


def _services(fleet: Fleet) -> list[set[str]]:
    return [
        set(instance.components.follower.configuration.services)
        for instance in fleet.instances
    ]


def _add_service(document: Any) -> None:
    document['services'].append({**document['services'][0], 'name': ADDED})


async def _async_until_added(fleet: Fleet) -> bool:
    for _ in range(200):
        if all(ADDED in services for services in _services(fleet)):
            return True
        await sleep(0.02)
    return False


@on_fleet(PLAN)
async def test_configuration_written_after_the_store_went_back_is_applied(
    fleet: Fleet,
) -> None:
    """Guards against a configuration that is taken for an old one."""
    copied = fleet.platform.copy()
    document = _configuration(fleet)
    for _ in range(LOST_WRITES):
        await _async_write(fleet, KEY_CONFIGURATION, json.dumps(document))
    await sleep(0.5)
    await fleet.platform.async_restore(copied)
    _add_service(document)
    await _async_write(fleet, KEY_CONFIGURATION, json.dumps(document))
    assert await _async_until_added(fleet)


@on_fleet(PLAN)
async def test_newer_configuration_stays_while_the_store_holds_an_older_one(
    fleet: Fleet,
) -> None:
    """Guards against a service that comes back with an older copy."""
    document = _configuration(fleet)
    copied = fleet.platform.copy()
    _add_service(document)
    await _async_write(fleet, KEY_CONFIGURATION, json.dumps(document))
    assert await _async_until_added(fleet)
    await fleet.platform.async_restore(copied)
    for _ in range(20):
        assert all(ADDED in services for services in _services(fleet))
        await sleep(0.05)
    await _async_write(fleet, KEY_CONFIGURATION, json.dumps(document))
    await sleep(0.5)
    assert all(ADDED in services for services in _services(fleet))


@on_fleet(PLAN)
async def test_statuses_that_the_copy_lacks_are_published_again(
    fleet: Fleet,
) -> None:
    """Guards against instances that the store does not list any more."""
    copied = fleet.platform.copy()
    keys = {key for key in copied.stored if key.startswith(PREFIX_INSTANCE)}
    for key in keys:
        copied.stored.pop(key)
    await fleet.platform.async_restore(copied)
    for _ in range(200):
        if keys <= fleet.platform.copy().stored.keys():
            return
        await sleep(0.02)
    raise AssertionError('a status is missing')


@on_fleet(PLAN)
async def test_booking_whose_claim_the_copy_lacks_does_not_run_again(
    fleet: Fleet,
) -> None:
    """Guards against a second booking under a key that the store has lost."""
    copied = fleet.platform.copy()
    entry = booking_entry('huelgoat')
    first, *others = [instance.own.address for instance in fleet.instances]
    assert (await async_call(entry, 1, first)).is_complete
    await fleet.platform.async_restore(copied)
    for address in others * 8:
        again = await async_call(entry, 1, address)
        assert fleet.booking_service.runs == {'huelgoat': 1}
        if again.is_complete:
            return
        await sleep(0.5)
    raise AssertionError('the outcome of the booking was lost')
