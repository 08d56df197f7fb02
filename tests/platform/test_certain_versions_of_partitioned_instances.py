"""Streams at an instance that reaches engines through another one only."""

from curio import sleep

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.partitions import Cut, partition
from tests.platform.stream_caller import StreamCaller

STREAMS = 4
EVENTS = 6


def _prepare(fleet: PlatformFleet) -> None:
    for engine in fleet.model_engines:
        engine.events = EVENTS
        engine.event_gap_s = 0.05
        engine.run_version('v1')


async def _async_begin(
    fleet: PlatformFleet, gateway: int
) -> list[StreamCaller]:
    callers = [StreamCaller(fleet, f'first-{each}') for each in range(STREAMS)]
    for caller in callers:
        await caller.async_begin(gateway)
    await sleep(0.1)
    return callers


@on_platform(count=3)
async def test_a_caller_goes_on_at_a_partitioned_instance(
    fleet: PlatformFleet,
) -> None:
    """Guards against refusing all streams that are taken up behind tunnels."""
    _prepare(fleet)
    callers = await _async_begin(fleet, 1)
    with partition(fleet, {0}, Cut.RESET):
        new = StreamCaller(fleet, 'new')
        assert await new.async_request(0) == 200
        statuses = [await caller.async_resume(0) for caller in callers]
    assert statuses == [200] * STREAMS


@on_platform(count=3)
async def test_a_caller_goes_on_with_a_stream_of_a_partitioned_instance(
    fleet: PlatformFleet,
) -> None:
    """Guards against refusing all streams that have begun behind tunnels."""
    _prepare(fleet)
    for gateway in (0, 1, 2):
        earlier = StreamCaller(fleet, f'earlier-{gateway}')
        await earlier.async_begin(gateway)
        assert await earlier.async_read_all()
    with partition(fleet, {0}, Cut.RESET):
        callers = await _async_begin(fleet, 0)
        statuses = [await caller.async_resume(1) for caller in callers]
    assert statuses == [200] * STREAMS


@on_platform(count=3)
async def test_a_stream_behind_a_tunnel_goes_on_at_another_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against breaking off all streams of a partitioned instance."""
    _prepare(fleet)
    with partition(fleet, {0}, Cut.RESET):
        caller = StreamCaller(fleet, 'first')
        await caller.async_begin(0)
        # Time for the engine's statement.
        await sleep(0.1)
        first = next(each for each in fleet.model_engines if each.executed)
        await first.async_stop()
        await first.async_close_connections()
        assert await caller.async_read_all()
    assert caller.words == list(range(1, EVENTS + 1))
