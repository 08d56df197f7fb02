"""Engines that ask instances for rest when they reject a request."""

from time import monotonic
from typing import Any
from unittest.mock import patch

from curio import TaskGroup, sleep
from result import Ok

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.request.gateway_request import EngineStatement
from hornbeamdeck.wire import Grant
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    load_at,
    on_platform,
)
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


async def _async_ask_for_rest(
    fleet: PlatformFleet, engine: EngineStandin, gateway: int = 0
) -> None:
    """Let an engine reject the next request of a gateway."""
    engine.state({'retry-after': str(REST_S)})
    engine.faults = ['not_run']
    got = await fleet.async_call('/open/x', gateway)
    assert got.status == 200
    assert not engine.faults


@on_platform(count=2)
async def test_other_instances_may_send_to_an_engine_that_rests(
    fleet: PlatformFleet,
) -> None:
    """Guards against a rest that takes an engine from the whole fleet."""
    resting, other = fleet.booking_engines
    await _async_ask_for_rest(fleet, resting)
    assert len(other.executed) == 1
    await fleet.async_call('/open/x', 0)
    assert len(other.executed) == 2
    entry = other.entry('counter', state='draining')
    await fleet.store.async_put('servers', other.name, entry)
    await fleet.async_until(lambda: load_at(fleet.owner, other).is_leaving)
    assert (await fleet.async_call('/open/x', 1)).status == 200
    assert len(resting.executed) == 1
    refused = await fleet.async_call('/open/x', 0)
    assert refused.status == 503
    assert float(refused.headers['retry-after']) < 1


@on_platform(count=3)
async def test_a_new_owner_knows_which_engines_rest(
    fleet: PlatformFleet,
) -> None:
    """Guards against a rest that is lost with the owner that knew it."""
    resting = fleet.booking_engines[0]
    owner = fleet.owner
    others = [
        number
        for number, gateway in enumerate(fleet.gateways)
        if gateway is not owner
    ]
    await _async_ask_for_rest(fleet, resting, others[0])
    instance = fleet.gateways[others[0]].settings.instance_id
    await owner.async_kill()

    def _knows_rest(number: int) -> bool:
        gateway = fleet.gateways[number]
        condition = load_at(gateway, resting).condition
        is_resting = condition.open_ms((instance,)) > 0
        return gateway.components.is_owner and is_resting

    await fleet.async_until(lambda: any(map(_knows_rest, others)))
    before = len(resting.arrivals)
    for _ in range(4):
        await fleet.async_call('/open/x', others[0])
    assert len(resting.arrivals) == before


@on_platform()
async def test_an_engine_that_asks_for_rest_meanwhile_gets_no_request(
    fleet: PlatformFleet,
) -> None:
    """Guards against rests that are asked for while a connection is opened."""
    resting, other = fleet.booking_engines
    statements = fleet.gateways[0].components.grants.engine_statements
    async_open = ClientConnection.async_open
    delays_s = [0.3]

    async def _async_open_slowly(address: Address, **limits: Any) -> Any:
        opened = await async_open(address, **limits)
        if delays_s and address == resting.address:
            await sleep(delays_s.pop())
        return opened

    with patch.object(ClientConnection, 'async_open', _async_open_slowly):
        async with TaskGroup() as calls:
            await calls.spawn(fleet.async_call, '/seats/pay/x')
            await fleet.async_until(lambda: not delays_s)
            await statements.async_record(
                Grant('id-2', 'counter', resting.name, born_ms=1),
                EngineStatement(rest_ms=Ok(REST_S * 1000)),
            )
    assert [call.status for call in calls.results] == [200]
    assert not resting.arrivals
    assert len(other.executed) == 1


@on_platform()
async def test_an_engine_that_starts_again_needs_no_rest(
    fleet: PlatformFleet,
) -> None:
    """Guards against a rest that the last start of an engine has asked for."""
    resting, other = fleet.booking_engines
    await _async_ask_for_rest(fleet, resting)
    entry = other.entry('counter', state='draining')
    await fleet.store.async_put('servers', other.name, entry)
    entry = resting.entry('counter', born=2)
    await fleet.store.async_put('servers', resting.name, entry)
    gateway = fleet.gateways[0]
    await fleet.async_until(
        lambda: (
            load_at(gateway, other).is_leaving
            and load_at(gateway, resting).engine.born_ms == 2
        )
    )
    assert (await fleet.async_call('/open/x')).status == 200
    assert len(resting.executed) == 1


@on_platform(count=2)
async def test_callers_are_not_sent_to_an_instance_that_is_down(
    fleet: PlatformFleet,
) -> None:
    """Guards against callers that come back at once and are refused again."""
    dead = next(each for each in fleet.gateways if each is not fleet.owner)
    number = fleet.gateways.index(fleet.owner)
    await dead.async_kill()
    liveness = fleet.owner.components.heartbeats.liveness
    await fleet.async_until(lambda: len(liveness.serving_ids()) == 1)
    for engine in fleet.booking_engines:
        engine.state({'retry-after': str(REST_S)})
        engine.faults = ['not_run']
    refused = await fleet.async_call('/open/x', number)
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > REST_S / 2
