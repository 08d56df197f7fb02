"""Requests that wait at an instance while it is asked to stop."""

from collections import Counter
from typing import NamedTuple

from curio import TaskGroup, sleep, spawn

from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpResponse
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)

SLOTS = 4
# More than the two engines have slots.
CALLERS = 12
CLIENT_TIMEOUT_MS = 8000


class _Stopped(NamedTuple):
    """What the callers of an instance that stopped have got."""

    answered: list[HttpResponse]
    refused: list[HttpResponse]
    closed: int
    waiting: int
    most_running: int


async def _async_call(
    fleet: PlatformFleet, gateway: int, number: int
) -> HttpResponse | None:
    """Return a response; `None` if the connection has been closed."""
    request = make_request(
        '/note/x',
        tokens=TOKEN_COUNTS,
        hornbeamdeck_request_id=f'id-{number}',
        hornbeamdeck_deadline_ms='9000',
    )
    got = await async_fetch_on_new_connection(
        fleet.address(gateway), request, timeout_ms=CLIENT_TIMEOUT_MS
    )
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
