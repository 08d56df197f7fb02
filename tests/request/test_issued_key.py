"""Idempotency keys that the system issues."""

import json

from curio import TaskGroup
from hypothesis import given
from hypothesis import strategies as st

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.configuration import team_key
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.process.instance import Instance
from hornbeamdeck.request.issued_key import (
    is_issued,
    issue_key,
    verify_issued_key,
)
from tests.support import async_fetch, booking_entry, on_fleet

PLAN = FleetPlan(instances=3, speeds=(1.0,))
SECRET = 'a-secret-of-the-fleet'
FAMILIES = {'authorization': f'Bearer {team_key("families")}'}


def _issue(team: str = 'families') -> str:
    return issue_key(
        instance_id='i',
        incarnation='x',
        team=team,
        secret=SECRET,
    )


def test_issued_key_is_decoded() -> None:
    decoded = verify_issued_key(
        _issue(), team='families', secret=SECRET
    ).unwrap()
    assert (decoded.instance_id, decoded.incarnation) == ('i', 'x')


def test_key_of_another_team_is_refused() -> None:
    assert verify_issued_key(_issue(), team='sales', secret=SECRET).is_err()


@given(st.integers(0, 400), st.characters(codec='utf-8'))
def test_changed_key_is_refused(position: int, letter: str) -> None:
    """Guards against a caller that changes an issued key so that a call runs
    under an incarnation of its choice. Only keys with an intact signature are
    accepted.
    """
    key = _issue()
    position %= len(key)
    changed = key[:position] + letter + key[position + 1 :]
    if changed != key and is_issued(changed):
        assert verify_issued_key(
            changed, team='families', secret=SECRET
        ).is_err()


async def _async_request_key(instance: Instance) -> str:
    request = HttpRequest('POST', '/v1/idempotency-keys', '', FAMILIES, b'')
    response = await async_fetch(instance.own.address, request)
    return str(json.loads(response.body)['idempotency_key'])


@on_fleet(PLAN)
async def test_bookings_continue_while_the_store_is_down(
    fleet: Fleet,
) -> None:
    """Guards against bookings that depend on the store. While the store is
    down, a booking with an issued key is sent to one instance and resent to the
    others. It runs once, all return the same outcome, and no claim is sent to
    the store.
    """
    key = await _async_request_key(fleet.instances[0])
    fleet.platform.switches = fleet.platform.switches._replace(is_down=True)
    before = fleet.platform.calls_by_role.get('claims', 0)
    entry = booking_entry(key)
    for instance in fleet.instances:
        record = await async_call(entry, 1, instance.own.address)
        assert record.is_complete
        assert record.outcome == 'ran'
    assert fleet.booking_service.runs == {key: 1}
    assert fleet.platform.calls_by_role.get('claims', 0) == before


@on_fleet(PLAN)
async def test_issued_key_sent_to_all_instances_at_once_runs_once(
    fleet: Fleet,
) -> None:
    key = await _async_request_key(fleet.instances[0])
    async with TaskGroup() as calls:
        for instance in fleet.instances * 3:
            address = instance.own.address
            await calls.spawn(async_call, booking_entry(key), 1, address)
    assert fleet.booking_service.runs == {key: 1}
    assert {each.outcome for each in calls.results} <= {'ran', 'unknown'}


@on_fleet(PLAN)
async def test_key_of_a_crashed_instance_is_not_run_elsewhere(
    fleet: Fleet,
) -> None:
    """Guards against a second run of a booking. The instance that issued the
    key has crashed, and its record of what ran is lost. Another instance that
    ran the booking could charge the customer twice; it returns `unknown`
    instead.
    """
    issuer = fleet.instances[0]
    key = await _async_request_key(issuer)
    await issuer.async_kill()
    record = await async_call(
        booking_entry(key),
        1,
        fleet.instances[1].own.address,
    )
    assert record.outcome == 'unknown'
    assert fleet.booking_service.runs == {}


@on_fleet(PLAN)
async def test_key_used_for_another_call_is_refused(fleet: Fleet) -> None:
    """Guards against a client that uses one key for two different bookings. The
    second customer must not get the confirmation of the first.
    """
    key = await _async_request_key(fleet.instances[0])
    address = fleet.instances[0].own.address
    first = await async_call(booking_entry(key), 1, address)
    other = booking_entry(key)._replace(path='/bookings/special')
    second = await async_call(other, 1, address)
    assert first.is_complete
    assert (second.status, second.outcome) == (422, 'not_run')
    assert fleet.booking_service.runs == {key: 1}
