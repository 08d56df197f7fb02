"""Callers that use one request id for many requests, or a very long one."""

from curio import TaskGroup

from hornbeamdeck.connection.http import HttpResponse
from tests.platform.fleet import PlatformFleet, on_platform

CALLS = 30
SLOW_S = 0.3
ID = 'used-often'


async def _async_call(fleet: PlatformFleet) -> HttpResponse:
    return await fleet.async_call('/seats/x', hornbeamdeck_request_id=ID)


@on_platform()
async def test_requests_with_one_id_do_not_overrun_engines(
    fleet: PlatformFleet,
) -> None:
    """Guards against requests that share the grant of another one."""
    for engine in fleet.booking_engines:
        engine.event_gap_s = SLOW_S
    async with TaskGroup() as calls:
        for _ in range(CALLS):
            await calls.spawn(_async_call, fleet)
    answered = [each for each in calls.results if each.status == 200]
    refused = [each for each in calls.results if each.status == 503]
    assert len(answered) == 1
    assert len(refused) == CALLS - 1
    assert all(float(each.headers['retry-after']) > 0 for each in refused)
    assert sum(len(each.executed) for each in fleet.booking_engines) == 1
    assert (await _async_call(fleet)).status == 200
