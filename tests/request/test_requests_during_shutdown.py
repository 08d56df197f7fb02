"""Requests on open connections of an instance that is about to stop."""

from hornbeamdeck.clock import now_ms
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.process.instance import Instance
from tests.support import booking_entry, on_fleet

LEFT_MS = 1500


def _stop_soon(instance: Instance) -> None:
    """Let an instance be late in its shutdown."""
    now = now_ms()
    instance.shutdown.request(
        now - 20_000, grace_ms=20_000 + LEFT_MS, ends_ms=now + LEFT_MS
    )


@on_fleet(FleetPlan(instances=1))
async def test_bookings_that_a_shutdown_would_cut_off_are_refused(
    fleet: Fleet,
) -> None:
    """Guards against a booking that runs while its connection is closed."""
    _stop_soon(fleet.instances[0])
    address = fleet.instances[0].own.address
    refused = await async_call(booking_entry('a'), 1, address)
    assert refused.status == 503
    assert refused.outcome == 'not_run'
    assert not fleet.booking_service.runs


@on_fleet(FleetPlan(instances=1))
async def test_bookings_that_end_before_the_shutdown_are_answered(
    fleet: Fleet,
) -> None:
    """Guards against refusing what there is time for."""
    _stop_soon(fleet.instances[0])
    entry = booking_entry('a', deadline_ms=1000)
    answered = await async_call(entry, 1, fleet.instances[0].own.address)
    assert answered.is_complete
