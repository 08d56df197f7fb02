"""Engines that state how many requests per second they accept."""

from time import monotonic

from curio import TaskGroup, sleep
from result import Err, Ok

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.platform.dialect import DIALECT
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform

LIMIT_PER_S = 1
# An engine that has stated its limit for this time gets, in any window, at most
# 1.5 times what the limit allows and five requests more.
SETTLE_S = 0.5
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALL_INTERVAL_S = 0.02


async def _async_call_repeatedly(fleet: PlatformFleet, caller: int) -> None:
    """Send requests one after another until a window has passed."""
    end_s = monotonic() + SETTLE_S + WINDOW_S
    number = 0
    while monotonic() < end_s:
        number += 1
        got = await fleet.async_call(
            '/guide/x',
            caller % len(fleet.gateways),
            tokens=TOKEN_COUNTS,
            hornbeamdeck_request_id=f'{caller}-{number}',
        )
        assert got.status == 200
        await sleep(CALL_INTERVAL_S)


def _stated(text: str) -> object:
    return DIALECT.stated_request_limit(
        HttpResponse(200, {'server-limit': text}, b'')
    )


def test_a_stated_limit_is_a_decimal_number() -> None:
    """Guards against a limit that a process takes for another number."""
    assert DIALECT.stated_request_limit(HttpResponse(200, {}, b'')) == Ok(None)
    assert _stated('2.7') == Ok(2.7)
    assert _stated(' 0 ') == Ok(0)
    for text in ('', 'nan', 'inf', '-1', '1e3', '2,7', '1, 2', '٣', '9' * 99):
        assert _stated(text) == Err(text)


@on_platform()
async def test_a_stated_limit_can_be_seen_in_the_metrics(
    fleet: PlatformFleet,
) -> None:
    """Guards against limits that an operator can't tell from other causes."""
    metrics = fleet.gateways[0].components.metrics
    for engine in fleet.model_engines:
        engine.state_request_limit('2.7')
    await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert set(metrics.observed_limits.values()) == {2.7}
    for engine in fleet.model_engines:
        engine.state_request_limit('not a number')
    for _ in range(4):
        await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert set(metrics.observed_limits.values()) == {2.7}
    for engine in fleet.model_engines:
        engine.state_request_limit('')
    for _ in range(4):
        await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert not metrics.observed_limits


@on_platform(count=2)
async def test_an_engine_gets_no_more_requests_than_it_accepts(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine in trouble that gets as many as it has slots."""
    limited = fleet.model_engines[0]
    limited.state_request_limit(str(LIMIT_PER_S))
    async with TaskGroup() as callers:
        for number in range(4):
            await callers.spawn(_async_call_repeatedly, fleet, number)
    counted_from_s = limited.arrivals_s[0] + SETTLE_S
    counted = [each for each in limited.arrivals_s if each > counted_from_s]
    assert 1 <= len(counted) <= MAX_IN_WINDOW
