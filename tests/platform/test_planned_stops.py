"""Requests that wait at an instance while it is asked to stop."""

from collections import Counter
from typing import NamedTuple
from unittest.mock import patch

from curio import TaskGroup, sleep, spawn

from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)
from tests.platform.standins import document, route

SLOTS = 4
# More than the two engines have slots.
CALLERS = 12
CLIENT_TIMEOUT_MS = 8000
# How long callers keep an address; longer than the stop.
ADDRESS_TTL_MS = 2000
# When a late call is sent after the stop request. Its engine would answer
# after the process has ended, but before the time limit of the route.
LATE_S = 1.2
SLOW_ENGINE_S = 1.4


class _Stopped(NamedTuple):
    """What the callers of an instance that stopped have got."""

    answered: list[HttpResponse]
    refused: list[HttpResponse]
    closed: int
    waiting: int
    most_running: int


async def _async_call(
    fleet: PlatformFleet, gateway: int, number: int, path: str = '/note/x'
) -> HttpResponse | None:
    """Return a response; `None` if the connection has been closed."""
    request = make_request(
        path,
        tokens=TOKEN_COUNTS if path == '/note/x' else '',
        hornbeamdeck_request_id=f'id-{number}',
        hornbeamdeck_deadline_ms='9000',
    )
    got = await async_fetch_on_new_connection(
        fleet.address(gateway), request, timeout_ms=CLIENT_TIMEOUT_MS
    )
    return got.ok()


async def _async_wait_during_stop(
    fleet: PlatformFleet,
) -> tuple[HttpResponse, ...]:
    """Stop a gateway while calls that must not run twice wait there.

    :returns: the responses to those whose connections were not closed.
    """
    gateway = fleet.gateways[0]
    pay = route('/seats/pay/', kind='non_idempotent', target_latency_ms=3000)
    await fleet.store.async_put('config', 'main', document(routes=[pay]))
    follower = gateway.components.follower
    version = fleet.store.configuration_version
    await fleet.async_until(lambda: follower.configuration.version == version)
    for engine in fleet.booking_engines:
        engine.event_gap_s = SLOW_ENGINE_S
    async with TaskGroup() as callers:
        for number in range(CALLERS):
            await callers.spawn(_async_call, fleet, 0, number, '/seats/pay/x')
        await fleet.async_until(lambda: gateway.in_flight == CALLERS)
        stop = await spawn(gateway.async_stop)
    await stop.join()
    return tuple(each for each in callers.results if each is not None)


async def _async_call_late(
    fleet: PlatformFleet, gateway: Gateway, deadline_ms: int
) -> HttpResponse | None:
    """Send a call that must not run twice, late in a stop.

    :returns: `None`: the connection has been closed.
    """
    bounds = gateway.settings.bounds._replace(entries_ttl_ms=ADDRESS_TTL_MS)
    gateway.reload(gateway.settings._replace(bounds=bounds))
    stop = await spawn(gateway.async_stop)
    await sleep(LATE_S)
    got = await async_fetch_on_new_connection(
        fleet.address(0),
        make_request('/seats/pay/x', hornbeamdeck_deadline_ms=str(deadline_ms)),
        timeout_ms=CLIENT_TIMEOUT_MS,
    )
    await stop.join()
    return got.ok()


async def _async_stop_owner(
    fleet: PlatformFleet, event_gap_s: float
) -> _Stopped:
    """Stop the owner while callers wait there."""
    for engine in fleet.model_engines:
        engine.event_gap_s = event_gap_s
    owner = fleet.owner
    grants = owner.components.grants
    most_running = 0
    async with TaskGroup() as callers:
        for number in range(CALLERS):
            gateway = fleet.gateways.index(owner)
            await callers.spawn(_async_call, fleet, gateway, number)
        await fleet.async_until(lambda: owner.in_flight == CALLERS)
        await sleep(0.1)
        waiting = grants.waiting_count
        stop = await spawn(owner.async_stop)
        while not stop.terminated:
            running = max(
                engine._room.running for engine in fleet.model_engines
            )
            most_running = max(most_running, running)
            await sleep(0.02)
    await stop.join()
    responses = [each for each in callers.results if each is not None]
    return _Stopped(
        [each for each in responses if each.status == 200],
        [each for each in responses if each.status != 200],
        len(callers.results) - len(responses),
        waiting,
        most_running,
    )


@on_platform(3)
async def test_waiting_callers_of_a_stopping_owner_are_answered(
    fleet: PlatformFleet,
) -> None:
    """Guards against grants that nobody gives while the owner changes."""
    stopped = await _async_stop_owner(fleet, 0.1)
    assert stopped.waiting
    assert len(stopped.answered) == CALLERS
    assert stopped.most_running <= SLOTS


@on_platform(3)
async def test_waiting_callers_are_refused_when_the_stop_ends(
    fleet: PlatformFleet,
) -> None:
    """Guards against connections that close on requests that never ran."""
    stopped = await _async_stop_owner(fleet, 3)
    assert stopped.waiting
    assert len(stopped.refused) >= stopped.waiting
    assert stopped.most_running <= SLOTS
    assert {each.status for each in stopped.refused} == {503}
    assert all('retry-after' in each.headers for each in stopped.refused)


@on_platform(3)
async def test_requests_that_a_stop_cuts_off_are_told_from_left_callers(
    fleet: PlatformFleet,
) -> None:
    """Guards against a log that blames callers for what a stop cuts off."""
    owner = fleet.owner
    stopped = await _async_stop_owner(fleet, 3)
    codes = Counter(code for _, _, code in owner.components.metrics.requests)
    assert stopped.closed
    assert codes['cut_off']
    assert not codes['caller_left']


@on_platform()
async def test_calls_that_a_stop_would_cut_off_are_refused(
    fleet: PlatformFleet,
) -> None:
    """Guards against a call that runs while its connection is closed."""
    for engine in fleet.booking_engines:
        engine.event_gap_s = SLOW_ENGINE_S
    response = await _async_call_late(fleet, fleet.gateways[0], 3000)
    assert response is not None
    assert response.status == 503
    assert 'retry-after' in response.headers
    assert not any(engine.executed for engine in fleet.booking_engines)


@on_platform()
async def test_calls_that_end_before_the_stop_does_are_answered(
    fleet: PlatformFleet,
) -> None:
    """Guards against refusing what there is time for."""
    response = await _async_call_late(fleet, fleet.gateways[0], 800)
    assert response is not None
    assert response.status == 200


@on_platform()
async def test_calls_that_waited_too_long_in_a_stop_are_refused(
    fleet: PlatformFleet,
) -> None:
    """Guards against a call that is sent as its instance is about to end."""
    responses = await _async_wait_during_stop(fleet)
    statuses = Counter(each.status for each in responses)
    assert statuses == {200: 2 * SLOTS, 503: CALLERS - 2 * SLOTS}


@on_platform()
async def test_no_call_begins_while_a_stop_closes_its_connections(
    fleet: PlatformFleet,
) -> None:
    """Guards against a call that is sent between the last check and the end."""
    gateway = fleet.gateways[0]
    grants = gateway.components.grants
    refuse_waiting = grants.async_refuse_waiting
    responses: list[HttpResponse] = []

    async def _async_call_then_refuse() -> int:
        responses.append(await fleet.async_call('/seats/pay/x'))
        return await refuse_waiting()

    with patch.object(grants, 'async_refuse_waiting', _async_call_then_refuse):
        await gateway.async_stop()
    assert [each.status for each in responses] == [503]
