"""Callers that use one request id for many requests, or a very long one."""

from curio import TaskGroup
from structlog.testing import capture_logs

from hornbeamdeck.connection.http import HttpResponse
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform
from tests.platform.standins import REQUEST_ID_HEADER

CALLS = 30
SLOW_S = 0.3
ID = 'used-often'
# As long as a head of the test's configuration allows.
LONG_ID = 'x' * 15_000
MAX_KEPT_CHARS = 256


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


@on_platform()
async def test_long_ids_are_not_kept(fleet: PlatformFleet) -> None:
    """Guards against tables and log lines that grow with a caller's ids."""
    with capture_logs() as lines:
        served = await fleet.async_call(
            '/seats/x', hornbeamdeck_request_id=LONG_ID
        )
        refused = await fleet.async_call(
            '/none/x', hornbeamdeck_request_id=LONG_ID
        )
    assert (served.status, refused.status) == (200, 404)
    assert served.headers[REQUEST_ID_HEADER] == LONG_ID
    assert REQUEST_ID_HEADER not in refused.headers
    ids = [each['request_id'] for each in lines if 'request_id' in each]
    assert ids
    assert max(map(len, ids)) <= MAX_KEPT_CHARS


@on_platform()
async def test_stream_of_a_long_id_goes_on(fleet: PlatformFleet) -> None:
    """Guards against a stream that is lost since its id is long."""
    began = await fleet.async_call(
        '/guide/x', tokens=TOKEN_COUNTS, hornbeamdeck_request_id=LONG_ID
    )
    resumed = await fleet.async_call(
        '/guide/x',
        tokens=TOKEN_COUNTS,
        hornbeamdeck_request_id='next',
        last_event_id='1',
        resumes=LONG_ID,
    )
    assert (began.status, resumed.status) == (200, 200)
