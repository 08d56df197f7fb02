"""End-to-end tests of requests on a fleet of several instances."""

from curio import TaskGroup

from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from tests.support import booking_entry, completion_entry, on_fleet


@on_fleet(FleetPlan())
async def test_every_instance_streams_complete_response(fleet: Fleet) -> None:
    for number, instance in enumerate(fleet.instances):
        record = await async_call(
            completion_entry(), number, instance.own.address
        )
        assert record.is_complete
        assert record.outcome == 'ran'


@on_fleet(FleetPlan(speeds=(1,)))
async def test_complete_response_without_stream(fleet: Fleet) -> None:
    entry = completion_entry(is_stream=False)
    record = await async_call(entry, 1, fleet.instances[1].own.address)
    assert record.is_complete


@on_fleet(FleetPlan(speeds=(1,)))
async def test_booking_resent_to_other_instance_is_replayed(
    fleet: Fleet,
) -> None:
    """Guards against a second booking when a caller loses its connection after
    the booking was made and sends it again to another instance. The caller
    must get the response of the first booking.
    """
    entry = booking_entry('huelgoat-1')
    original = await async_call(entry, 1, fleet.instances[0].own.address)
    repeated = await async_call(entry, 1, fleet.instances[1].own.address)
    assert original.is_complete
    assert repeated.is_complete
    assert fleet.booking_service.runs == {'huelgoat-1': 1}


@on_fleet(FleetPlan(speeds=(1,)))
async def test_concurrent_copies_of_booking_run_once(fleet: Fleet) -> None:
    """Guards against several bookings when a customer presses the button
    repeatedly and each copy reaches another instance while the first one is
    still running. One booking is made. Copies that arrive while it runs get
    the outcome `unknown` and are not reported as run.
    """
    entry = booking_entry('broceliande-1')
    async with TaskGroup() as calls:
        for instance in fleet.instances:
            await calls.spawn(async_call, entry, 1, instance.own.address)
    outcomes = sorted(record.outcome for record in calls.results)
    assert fleet.booking_service.runs == {'broceliande-1': 1}
    assert 'ran' in outcomes
    assert set(outcomes) <= {'ran', 'unknown'}


@on_fleet(FleetPlan(speeds=(1,)))
async def test_booking_succeeds_after_lost_claim_response(fleet: Fleet) -> None:
    """The platform stores the claim of a booking, but its response is lost. The
    instance must recognize the claim as its own, and the booking must run
    exactly once.
    """
    fleet.platform.switches = fleet.platform.switches._replace(lost_answers=1)
    entry = booking_entry('lost-1')
    record = await async_call(entry, 1, fleet.instances[0].own.address)
    assert record.is_complete
    assert fleet.booking_service.runs == {'lost-1': 1}
