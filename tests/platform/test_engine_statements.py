"""What engines state of themselves, as operators see it."""

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.engines.unread_statements import MAX_HEADER_NAMES
from tests.platform.fleet import (
    METRICS_LISTENER,
    TOKEN_COUNTS,
    PlatformFleet,
    on_platform,
)
from tests.support import async_fetch


async def _async_samples(fleet: PlatformFleet, metric: str) -> dict[str, float]:
    """Read a metric of the first gateway, by the value of its only label."""
    address = fleet.gateways[0].listeners[METRICS_LISTENER].address
    request = HttpRequest('GET', '/metrics', '', {}, b'')
    page = (await async_fetch(address, request)).body.decode()
    return {
        line.split('"')[1]: float(line.rpartition(' ')[2])
        for line in page.splitlines()
        if line.startswith(f'{metric}{{')
    }


@on_platform()
async def test_statements_can_be_seen_in_the_metrics(
    fleet: PlatformFleet,
) -> None:
    """Guards against statements that look like any other cause."""
    engine = fleet.model_engines[0]
    engine.state({'server-leaving': '1', 'retry-after': '2.5'})
    engine.faults = ['not_run']
    await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    leaving = await _async_samples(fleet, 'hornbeamdeck_engine_leaving')
    assert leaving == {engine.name: 1}
    rests = await _async_samples(fleet, 'hornbeamdeck_engine_rest_seconds')
    assert rests.keys() == {engine.name}
    assert 0 < rests[engine.name] <= 2.5


@on_platform()
async def test_headers_that_no_code_reads_are_counted(
    fleet: PlatformFleet,
) -> None:
    """Guards against a new statement that nobody notices for months."""
    metric = 'hornbeamdeck_unread_response_headers_total'
    engines = fleet.booking_engines
    await fleet.async_call('/seats/x')
    assert not await _async_samples(fleet, metric)
    for engine in engines:
        engine.state({'server-news': '1'})
    await fleet.async_call('/seats/x')
    assert await _async_samples(fleet, metric) == {'server-news': 1}
    for engine in engines:
        names = range(2 * MAX_HEADER_NAMES)
        engine.state({f'server-news-{number}': '1' for number in names})
    await fleet.async_call('/seats/x')
    counts = await _async_samples(fleet, metric)
    assert len(counts) == MAX_HEADER_NAMES + 1
    assert counts['other'] == 2 * MAX_HEADER_NAMES + 1 - MAX_HEADER_NAMES
