"""Engines that state how many requests per second they accept."""

from functools import partial
from time import monotonic

from curio import TaskGroup, sleep, spawn
from result import Err, Ok

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.membership.liveness import FLEET_CELL
from hornbeamdeck.platform.dialect import DIALECT
from hornbeamdeck.request.gateway_request import ResponseVerdict
from hornbeamdeck.scheduling.request_rate import EngineRate
from tests.platform.fleet import (
    METRICS_LISTENER,
    TOKEN_COUNTS,
    PlatformFleet,
    on_platform,
)
from tests.platform.standins import EngineStandin
from tests.support import async_fetch

LIMIT_PER_S = 1
# An engine that has stated its limit for this time gets, in any window, at most
# 1.5 times what the limit allows and five requests more.
SETTLE_S = 0.5
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# An engine is to get at least half of what it accepts while requests wait.
MIN_IN_WINDOW = 0.5 * LIMIT_PER_S * WINDOW_S
CALL_INTERVAL_S = 0.02
MAX_CALLS = 300
CALLERS = 4
# More than an engine without a limit has slots for, so that requests wait.
BUSY_CALLERS = 2 * CALLERS
EVENT_GAP_S = 0.03


async def _async_call_repeatedly(
    fleet: PlatformFleet, caller: int, gateway: int
) -> None:
    """Send requests one after another until a window has passed."""
    end_s = monotonic() + SETTLE_S + WINDOW_S
    number = 0
    while monotonic() < end_s:
        number += 1
        got = await fleet.async_call(
            '/guide/x',
            gateway,
            tokens=TOKEN_COUNTS,
            hornbeamdeck_request_id=f'{caller}-{number}',
        )
        assert got.status == 200
        await sleep(CALL_INTERVAL_S)


async def _async_call_at_once(fleet: PlatformFleet, name: str) -> None:
    """Send more requests at once than one engine has slots."""
    async with TaskGroup() as callers:
        for number in range(CALLERS + 1):
            call = partial(
                fleet.async_call,
                '/guide/x',
                tokens=TOKEN_COUNTS,
                hornbeamdeck_request_id=f'{name}-{number}',
            )
            await callers.spawn(call)
    assert {response.status for response in callers.results} == {200}


def _count_in_window(engine: EngineStandin) -> int:
    """Count the requests that arrived once the limit was known."""
    since_s = engine.arrivals_s[0] + SETTLE_S
    return sum(each > since_s for each in engine.arrivals_s)


async def _async_leave_one_engine(fleet: PlatformFleet) -> EngineStandin:
    """Drain one of the two model engines and return the other."""
    left, drained = fleet.model_engines
    entry = drained.entry('desk', state='draining')
    await fleet.store.async_put('servers', drained.name, entry)
    directory = fleet.gateways[0].components.directory
    await fleet.async_until(lambda: directory.engines[drained.name].is_draining)
    return left


def _rate_at(fleet: PlatformFleet, gateway: int, engine: str) -> EngineRate:
    """Return the rate of a model engine that a gateway grants."""
    cells = fleet.gateways[gateway].components.cells.cells
    return cells['desk'].loads[engine].rate


async def _async_limits(fleet: PlatformFleet) -> set[float]:
    """Read the stated limits from a gateway's metrics."""
    address = fleet.gateways[0].listeners[METRICS_LISTENER].address
    request = HttpRequest('GET', '/metrics', '', {}, b'')
    page = (await async_fetch(address, request)).body.decode()
    return {
        float(line.rpartition(' ')[2])
        for line in page.splitlines()
        if line.startswith('hornbeamdeck_engine_request_limit{')
    }


def _stated(**headers: str) -> object:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    response = HttpResponse(200, named, b'')
    return DIALECT.read_statement(response, ResponseVerdict.RAN).request_limit


def test_a_stated_limit_is_a_decimal_number() -> None:
    """Guards against a limit that a process takes for another number."""
    assert _stated() == Ok(None)
    assert _stated(server_limit='2.7') == Ok(2.7)
    assert _stated(server_limit=' 0 ') == Ok(0)
    for text in ('', 'nan', 'inf', '-1', '1e3', '2,7', '1, 2', '٣', '9' * 99):
        assert _stated(server_limit=text) == Err(text)


@on_platform()
async def test_a_stated_limit_can_be_seen_in_the_metrics(
    fleet: PlatformFleet,
) -> None:
    """Guards against limits that an operator can't tell from other causes."""
    engine = await _async_leave_one_engine(fleet)
    for stated, seen in (('2.7', {2.7}), ('odd', {2.7}), ('', set())):
        engine.state_request_limit(stated)
        await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
        assert await _async_limits(fleet) == seen


@on_platform()
async def test_a_limit_ends_with_the_responses_that_state_it(
    fleet: PlatformFleet,
) -> None:
    """Guards against holding back an engine that has recovered."""
    engine = await _async_leave_one_engine(fleet)
    rate = _rate_at(fleet, 0, engine.name)
    engine.state_request_limit('0')
    await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    engine.state_request_limit('')
    assert rate.limit_per_s == 0
    for _ in range(MAX_CALLS):
        await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
        if rate.limit_per_s is None:
            return
        await sleep(CALL_INTERVAL_S)
    raise AssertionError('the limit has not ended')


@on_platform(count=2)
async def test_an_engine_gets_no_more_requests_than_it_accepts(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine in trouble that gets as many as it has slots."""
    limited = fleet.model_engines[0]
    limited.state_request_limit(str(LIMIT_PER_S))
    for engine in fleet.model_engines:
        engine.event_gap_s = EVENT_GAP_S
    async with TaskGroup() as callers:
        for number in range(BUSY_CALLERS):
            gateway = number % len(fleet.gateways)
            await callers.spawn(_async_call_repeatedly, fleet, number, gateway)
    # Raises the error of a caller that has failed.
    assert len(callers.results) == BUSY_CALLERS
    assert MIN_IN_WINDOW <= _count_in_window(limited) <= MAX_IN_WINDOW


@on_platform(count=3)
async def test_a_limit_outlives_the_owner_that_knows_it(
    fleet: PlatformFleet,
) -> None:
    """Guards against a new owner that grants as if there were no limit."""
    limited = fleet.model_engines[0]
    limited.state_request_limit(str(LIMIT_PER_S))
    membership = fleet.gateways[0].components.membership
    owner_id = membership.owner_of(FLEET_CELL)
    owner = next(
        gateway
        for gateway in fleet.gateways
        if gateway.settings.instance_id == owner_id
    )
    others = [each for each in range(3) if fleet.gateways[each] is not owner]

    def _knows_limit(gateway: int) -> bool:
        rate = _rate_at(fleet, gateway, limited.name)
        is_owner = fleet.gateways[gateway].components.is_owner
        return is_owner and rate.limit_per_s == LIMIT_PER_S

    async with TaskGroup() as callers:
        for number in range(CALLERS):
            gateway = others[number % len(others)]
            await callers.spawn(_async_call_repeatedly, fleet, number, gateway)
        await sleep(SETTLE_S + WINDOW_S / 2)
        await owner.async_kill()
        await fleet.async_until(lambda: any(map(_knows_limit, others)))
    assert len(callers.results) == CALLERS
    assert _count_in_window(limited) <= MAX_IN_WINDOW


@on_platform()
async def test_a_limit_is_learned_before_the_response_ends(
    fleet: PlatformFleet,
) -> None:
    """Guards against a limit that is known only once a long stream ends."""
    engine = await _async_leave_one_engine(fleet)
    engine.state_request_limit(str(LIMIT_PER_S))
    engine.event_gap_s = 0.4
    call = await spawn(
        partial(fleet.async_call, '/guide/x', tokens=TOKEN_COUNTS)
    )
    rate = _rate_at(fleet, 0, engine.name)
    await fleet.async_until(lambda: rate.limit_per_s == LIMIT_PER_S)
    assert not call.terminated
    await call.join()


@on_platform()
async def test_rejections_state_limits_but_end_none(
    fleet: PlatformFleet,
) -> None:
    """Guards against rejections that hide a limit or seem to end it."""
    limited = fleet.model_engines[0]
    rate = _rate_at(fleet, 0, limited.name)
    limited.state_request_limit(str(LIMIT_PER_S))
    limited.faults = ['not_run']
    await _async_call_at_once(fleet, 'rejected')
    assert not limited.faults
    assert rate.limit_per_s == LIMIT_PER_S
    await sleep(WINDOW_S)
    limited.state_request_limit('')
    limited.faults = ['not_run']
    await _async_call_at_once(fleet, 'rejected-again')
    assert not limited.faults
    assert rate.limit_per_s == LIMIT_PER_S
    await sleep(WINDOW_S)
    limited.name = 'somebody-else'
    await _async_call_at_once(fleet, 'misdirected')
    assert rate.limit_per_s == LIMIT_PER_S
