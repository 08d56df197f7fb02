"""Engines that start again at another version while their entry is stale."""

import pytest
from curio import sleep

from hornbeamdeck.clock import now_ms
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.partitions import Cut, partition
from tests.platform.standins import EngineStandin
from tests.platform.stream_caller import StreamCaller

STREAMS = 6
EVENTS = 6
# Longer than an entry lasts that its engine does not renew.
LISTED_S = 5.5
# The first list of a process is no evidence for so long.
FIRST_LIST_S = 2.2
# Longer than engines take to renew an entry; callers' keys are accepted still.
AWAY_S = 2.8
SILENT_REPORTS = ('nothing', 'hang', 'endless_bytes', 'endless_head')
WHOLE = list(range(1, EVENTS + 1))


def _prepare(fleet: PlatformFleet) -> tuple[EngineStandin, EngineStandin]:
    first, second = fleet.model_engines
    for engine in (first, second):
        engine.events = EVENTS
        engine.event_gap_s = 0.05
        engine.run_version('v1')
    return first, second


async def _async_restart(
    engine: EngineStandin, version: str, *, born: int = 2
) -> None:
    """Start an engine again under its id; its entry stays."""
    engine.run_version(version, born=born)
    await engine.async_close_connections()


def _lose_store(fleet: PlatformFleet) -> None:
    fleet.store.next_statuses = [503] * 100_000


async def _async_begin_at(
    fleet: PlatformFleet, engine: EngineStandin
) -> list[StreamCaller]:
    """Begin streams until one has begun at an engine.

    :returns: all callers, that one last.
    """
    callers: list[StreamCaller] = []
    executed = len(engine.executed)
    while len(engine.executed) == executed:
        assert len(callers) < STREAMS
        name = f'{engine.name}-{len(callers)}'
        callers.append(StreamCaller(fleet, name))
        await callers[-1].async_begin(0)
    return callers


async def _async_crash(engine: EngineStandin) -> None:
    await engine.async_stop()
    await engine.async_close_connections()


async def _async_check_broken(caller: StreamCaller) -> None:
    assert not await caller.async_read_all()
    assert len(caller.versions) == 1


@pytest.mark.parametrize('is_store_away', [True, False])
@pytest.mark.parametrize('is_crash', [True, False])
def test_a_stream_of_a_restarted_engine_is_not_joined(
    *, is_store_away: bool, is_crash: bool
) -> None:
    """Guards against the version of a stale entry, by which streams go on."""

    @on_platform(count=2)
    async def _async_play(fleet: PlatformFleet) -> None:
        restarted, _ = _prepare(fleet)
        if is_store_away:
            _lose_store(fleet)
        await _async_restart(restarted, 'v2')
        restarted.faults = [] if is_crash else ['cut'] * STREAMS
        callers = await _async_begin_at(fleet, restarted)
        if is_crash:
            await _async_crash(restarted)
        await _async_check_broken(callers[-1])

    _async_play()


@on_platform(count=2)
async def test_an_incarnation_is_not_known_by_its_version(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that is back at the version that is listed."""
    restarted, _ = _prepare(fleet)
    await _async_restart(restarted, 'v2', born=2)
    await _async_restart(restarted, 'v1', born=3)
    restarted.faults = ['cut'] * STREAMS
    callers = await _async_begin_at(fleet, restarted)
    await _async_check_broken(callers[-1])


@on_platform(count=2)
async def test_a_stream_does_not_go_on_at_a_restarted_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against the version of a stale entry where a stream goes on."""
    engine, restarted = _prepare(fleet)
    engine.faults = ['cut'] * STREAMS
    await _async_restart(restarted, 'v2')
    callers = await _async_begin_at(fleet, engine)
    await _async_check_broken(callers[-1])
    returned = sum(
        gateway.components.metrics.returned_grants['uncertain']
        for gateway in fleet.gateways
    )
    assert returned


@on_platform(count=2)
async def test_a_caller_is_not_joined_to_a_restarted_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against the same where the caller takes its stream up."""
    engine, restarted = _prepare(fleet)
    callers = await _async_begin_at(fleet, engine)
    caller = callers[-1]
    await caller.async_leave()
    await _async_restart(restarted, 'v2')
    await _async_crash(engine)
    assert await caller.async_resume(1) == 503
    assert caller.versions == {'v1'}


@on_platform(count=2)
async def test_a_stream_goes_on_where_its_engine_was_certain(
    fleet: PlatformFleet,
) -> None:
    """Guards against breaking streams of engines that have just crashed."""
    engine, _ = _prepare(fleet)
    callers = await _async_begin_at(fleet, engine)
    # Time for the engine's statement.
    await sleep(0.1)
    await _async_crash(engine)
    assert await callers[-1].async_read_all()
    assert callers[-1].words == WHOLE


@pytest.mark.parametrize('report', SILENT_REPORTS)
def test_new_streams_wait_for_no_statement(report: str) -> None:
    """Guards against engines that hold up requests by stating nothing."""

    @on_platform(count=1)
    async def _async_play(fleet: PlatformFleet) -> None:
        for engine in _prepare(fleet):
            engine.report = report
            engine.event_gap_s = 0.01
        began_ms = now_ms()
        for number in range(STREAMS):
            caller = StreamCaller(fleet, f'new-{number}')
            await caller.async_begin(0)
            assert await caller.async_read_all()
        assert now_ms() - began_ms < 250 * STREAMS
        await sleep(0.5)
        # Not asked again after it has stated nothing.
        assert all(engine.reports <= 1 for engine in fleet.model_engines)

    _async_play()


async def _async_open_connections(fleet: PlatformFleet) -> None:
    """Read streams at once, after which connections to engines are idle."""
    callers = [StreamCaller(fleet, f'early-{each}') for each in range(STREAMS)]
    for caller in callers:
        await caller.async_begin(0)
    for caller in callers:
        assert await caller.async_read_all()


@on_platform(count=1)
async def test_a_stream_that_is_certain_by_the_list_goes_on(
    fleet: PlatformFleet,
) -> None:
    """Guards against breaking all streams of engines that state nothing."""
    engine, _ = _prepare(fleet)
    for each in fleet.model_engines:
        each.report = 'nothing'
        each.keep_alive_s = 60
    await sleep(FIRST_LIST_S)
    await _async_open_connections(fleet)
    await sleep(LISTED_S)
    callers = await _async_begin_at(fleet, engine)
    await _async_crash(engine)
    assert await callers[-1].async_read_all()
    assert callers[-1].words == WHOLE


@on_platform(count=1)
async def test_a_stream_that_began_a_moment_ago_is_not_certain_by_the_list(
    fleet: PlatformFleet,
) -> None:
    """Guards against an entry that outlasts the engine that wrote it."""
    engine, _ = _prepare(fleet)
    engine.report = 'nothing'
    callers = await _async_begin_at(fleet, engine)
    await _async_crash(engine)
    await _async_check_broken(callers[-1])


@on_platform(count=1)
async def test_a_list_that_is_not_confirmed_is_no_evidence(
    fleet: PlatformFleet,
) -> None:
    """Guards against taking entries for alive while the store is away."""
    engine, _ = _prepare(fleet)
    for each in fleet.model_engines:
        each.report = 'nothing'
        each.keep_alive_s = 60
    _lose_store(fleet)
    await _async_open_connections(fleet)
    await sleep(AWAY_S)
    callers = await _async_begin_at(fleet, engine)
    await _async_crash(engine)
    await _async_check_broken(callers[-1])


@pytest.mark.parametrize('cut', [Cut.RESET, Cut.SILENT])
def test_a_stream_goes_on_through_a_tunnel(cut: Cut) -> None:
    """Guards against refusing streams at an instance that reaches no engine."""

    @on_platform(count=2)
    async def _async_play(fleet: PlatformFleet) -> None:
        _prepare(fleet)
        caller = StreamCaller(fleet, 'first')
        await caller.async_begin(1)
        await sleep(0.1)
        with partition(fleet, {0}, cut):
            for _ in range(2):
                await fleet.async_call('/seats/x', 0)
            assert await caller.async_resume(0) == 200
        assert caller.words == WHOLE

    _async_play()
