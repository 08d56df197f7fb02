"""Instances that reach callers, the store and each other, but no engine."""

from functools import partial

from curio import TaskGroup, sleep

from hornbeamdeck.connection.client import async_fetch_on_new_connection
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)
from tests.platform.partitions import Cut, partition
from tests.platform.standins import EngineStandin

# Requests to each gateway while the partition lasts.
REQUESTS = 40
CLIENT_TIMEOUT_MS = 3500
AT_ONCE = 4
PATHS = ('/seats/x', '/seats/pay/x', '/guide/x', '/note/x')
# First attempts served at a partitioned instance for each that is served at
# another one.
MIN_RATIO = 0.95


async def _async_call_in_turn(
    fleet: PlatformFleet, gateway: int, start: int
) -> int:
    """Send every fourth request; return how many were answered."""
    answered = 0
    for number in range(start, REQUESTS, AT_ONCE):
        path = PATHS[number // AT_ONCE % len(PATHS)]
        is_stream = path in {'/guide/x', '/note/x'}
        request = make_request(
            path,
            tokens=TOKEN_COUNTS if is_stream else '',
            hornbeamdeck_request_id=f'{gateway}-{number}',
        )
        got = await async_fetch_on_new_connection(
            fleet.address(gateway), request, timeout_ms=CLIENT_TIMEOUT_MS
        )
        answered += got.map_or(False, lambda response: response.status == 200)
    return answered


async def _async_count_answered(fleet: PlatformFleet) -> list[int]:
    """Return how many requests each gateway has answered."""
    async with TaskGroup() as callers:
        for gateway, _ in enumerate(fleet.gateways):
            for start in range(AT_ONCE):
                await callers.spawn(_async_call_in_turn, fleet, gateway, start)
    return [
        sum(callers.results[first : first + AT_ONCE])
        for first in range(0, len(callers.results), AT_ONCE)
    ]


async def _async_check_served(
    fleet: PlatformFleet, cut: Cut, partitioned: set[int]
) -> None:
    """Check that partitioned gateways serve, and that the others go on."""
    with partition(fleet, partitioned, cut):
        await _async_count_answered(fleet)
        answered = await _async_count_answered(fleet)
    for gateway, count in enumerate(answered):
        least = MIN_RATIO * REQUESTS if gateway in partitioned else REQUESTS
        assert count >= least, answered


@on_platform(count=3)
async def test_partitioned_instances_serve_if_engines_do_not_respond(
    fleet: PlatformFleet,
) -> None:
    """Guards against callers whose instance has lost its path to engines."""
    await _async_check_served(fleet, Cut.SILENT, {0, 1})


@on_platform(count=3)
async def test_partitioned_instances_serve_if_connections_are_reset(
    fleet: PlatformFleet,
) -> None:
    """Guards against attempts that are used up by refused connections."""
    await _async_check_served(fleet, Cut.RESET, {0, 1})


@on_platform(count=3)
async def test_partitioned_instances_serve_if_old_connections_live_on(
    fleet: PlatformFleet,
) -> None:
    """Guards against pooled connections that hide a partition."""
    for engine in fleet.model_engines + fleet.booking_engines:
        engine.keep_alive_s = 10
    await _async_count_answered(fleet)
    await _async_check_served(fleet, Cut.NEW_REFUSED, {0, 1})


@on_platform(3)
async def test_engines_that_end_at_once_fail_no_request_of_others(
    fleet: PlatformFleet,
) -> None:
    """Guards against an instance that believes itself partitioned by that."""
    engines = [EngineStandin(f'desk-{number}') for number in range(3, 11)]
    await fleet.async_replace_model_engines(engines)
    for engine in engines:
        engine.event_gap_s = 0.05
    async with TaskGroup() as callers:
        for number in range(REQUESTS):
            await callers.spawn(
                partial(
                    fleet.async_call,
                    '/guide/x',
                    number % 3,
                    tokens=TOKEN_COUNTS,
                    hornbeamdeck_request_id=f'r{number}',
                )
            )
            if number == REQUESTS // 2:
                for ended in engines[:2]:
                    await ended.async_stop()
                for ended in engines[:2]:
                    await ended.async_close_connections()
            await sleep(0.02)
    assert [each.status for each in callers.results] == [200] * REQUESTS
