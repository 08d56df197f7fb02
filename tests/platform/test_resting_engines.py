"""Engines that ask instances for rest when they reject a request."""

from time import monotonic

from curio import TaskGroup, sleep

from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform
from tests.platform.standins import EngineStandin

REST_S = 3.0
# Requests may reach the engine for this time after it has asked for rest, and
# this many until the rest has ended.
TRANSIT_S = 0.5
MAX_IN_REST = 2
CALL_INTERVAL_S = 0.05
# More than the other engine has slots.
CALLERS = 8


async def _async_call_repeatedly(
    fleet: PlatformFleet, caller: int, gateway: int
) -> None:
    """Send requests one after another until the rest has ended."""
    end_s = monotonic() + REST_S
    number = 0
    while monotonic() < end_s:
        number += 1
        got = await fleet.async_call(
            '/guide/x',
            gateway,
            tokens=TOKEN_COUNTS,
            hornbeamdeck_request_id=f'{gateway}-{caller}-{number}',
        )
        assert got.status in {200, 503}
        await sleep(CALL_INTERVAL_S)


def _most_in_rest(engine: EngineStandin) -> int:
    """Return how many requests of one gateway reached a resting engine."""
    arrivals_s: dict[str, list[float]] = {}
    for request_id, arrived_s in engine.arrivals:
        gateway = request_id.partition('-')[0]
        arrivals_s.setdefault(gateway, []).append(arrived_s)
    assert arrivals_s
    return max(
        sum(
            first_s + TRANSIT_S < each < first_s + REST_S for each in of_gateway
        )
        for of_gateway in arrivals_s.values()
        for first_s in of_gateway
    )


@on_platform(count=2)
async def test_an_engine_that_asks_for_rest_gets_it(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that looks idle since it rejects all it gets."""
    resting, busy = fleet.model_engines
    busy.event_gap_s = 0.1
    resting.state({'retry-after': str(REST_S)})
    resting.faults = ['not_run'] * 1000
    async with TaskGroup() as callers:
        for number in range(CALLERS):
            gateway = number % len(fleet.gateways)
            await callers.spawn(_async_call_repeatedly, fleet, number, gateway)
    assert _most_in_rest(resting) <= MAX_IN_REST
