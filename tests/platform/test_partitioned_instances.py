"""Instances that reach callers, the store and each other, but no engine."""

from functools import partial

import pytest
from curio import TaskGroup, sleep
from result import Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import (
    ClientConnection,
    async_fetch_on_new_connection,
)
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.engines.engine_dialer import EngineDialer
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
BURST = 6
ROUNDS = 4
CONNECT_S = 0.02
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


def _let_all_seem_partitioned(
    fleet: PlatformFleet, ended: list[EngineStandin]
) -> None:
    """Let each gateway fail to connect to ended engines, as callers may."""
    for gateway in fleet.gateways:
        for engine in ended:
            gateway.dialer.record(engine.name, is_reached=False)
        assert gateway.dialer.reach.is_partitioned(now_ms())


_async_connect = EngineDialer.async_connect


async def _async_connect_late(
    dialer: EngineDialer, engine: str, address: str, *, is_repeatable: bool
) -> Result[ClientConnection, ConnectFailed]:
    await sleep(CONNECT_S)
    return await _async_connect(
        dialer, engine, address, is_repeatable=is_repeatable
    )


@pytest.mark.parametrize('path', PATHS)
def test_two_ended_engines_fail_nothing_if_all_seem_partitioned(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against instances that wait for each other to reach engines."""
    monkeypatch.setattr(EngineDialer, 'async_connect', _async_connect_late)

    @on_platform(3)
    async def _async_scenario(fleet: PlatformFleet) -> None:
        engines = [EngineStandin(f'desk-{number}') for number in range(3, 9)]
        await fleet.async_replace_model_engines(engines)
        running = [*engines[2:], *fleet.booking_engines]
        for engine in running:
            engine.event_gap_s = 0.05
        for ended in engines[:2]:
            await ended.async_stop()
            await ended.async_close_connections()
            await fleet.store.async_remove('servers', ended.name)
        await fleet.async_until(
            lambda: (
                not any(
                    ended.name in gateway.components.cells.cells['desk'].loads
                    for ended in engines[:2]
                    for gateway in fleet.gateways
                )
            )
        )
        tokens = TOKEN_COUNTS if path in {'/guide/x', '/note/x'} else ''
        statuses = []
        for start in range(0, ROUNDS * BURST, BURST):
            _let_all_seem_partitioned(fleet, engines[:2])
            async with TaskGroup() as callers:
                for number in range(start, start + BURST):
                    await callers.spawn(
                        partial(
                            fleet.async_call,
                            path,
                            number % 3,
                            tokens=tokens,
                            hornbeamdeck_request_id=f'r{number}',
                        )
                    )
            statuses += [each.status for each in callers.results]
        assert statuses == [200] * ROUNDS * BURST
        assert not any(engine.cancelled_runs for engine in running)

    _async_scenario()
