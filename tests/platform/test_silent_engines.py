"""Engines that are silent for a time and go on."""

from unittest.mock import patch

from structlog.testing import capture_logs

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import document, route
from tests.platform.stream_caller import StreamCaller


@on_platform()
async def test_silence_of_an_engine_is_told_from_a_broken_connection(
    fleet: PlatformFleet,
) -> None:
    """Guards against sound requests that are held to crash engines."""
    for fault, end in (('silent', 'silent'), ('reset', 'failed')):
        for engine in fleet.booking_engines:
            engine.faults = [fault]
        with capture_logs() as lines:
            got = await fleet.async_call('/open/x')
        assert got.status == 502
        ends = [line['end'] for line in lines if line['event'] == 'try ended']
        assert ends == [end]


async def _async_set_attempts(fleet: PlatformFleet, attempts: int) -> None:
    """Let streams go to so many engines, which may be silent for 0.3 s."""
    changed = route(
        '/guide/',
        kind='streaming',
        service='desk',
        stream_resume=True,
        max_attempts=attempts,
        target_latency_ms=100,
        target_gap_ms=100,
    )
    version = fleet.gateways[0].components.follower.configuration.version
    await fleet.store.async_put('config', 'main', document(routes=[changed]))
    await fleet.async_until(
        lambda: (
            fleet.gateways[0].components.follower.configuration.version
            > version
        )
    )


@on_platform()
async def test_stream_is_not_broken_for_silence_where_it_can_not_go_on(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams that end without an end of their engine."""
    for attempts in (1, 2):
        await _async_set_attempts(fleet, attempts)
        for engine in fleet.model_engines:
            engine.run_version('v1')
            engine.event_gap_s = 0.4
        caller = StreamCaller(fleet, f'of-{attempts}')
        await caller.async_begin(0)
        assert await caller.async_read_all()
        assert caller.words == [1, 2, 3]


@on_platform()
async def test_stream_is_not_broken_for_silence_where_its_retry_is_refused(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams that end since no retry is left for them."""
    await _async_set_attempts(fleet, 2)
    for engine in fleet.model_engines:
        engine.run_version('v1')
        engine.event_gap_s = 0.4
    cell = fleet.owner.components.cells.cells['desk']
    with patch.object(cell.retry_budget, 'try_reserve', return_value=False):
        caller = StreamCaller(fleet, 'first')
        await caller.async_begin(0)
        assert await caller.async_read_all()
    assert caller.words == [1, 2, 3]
    await fleet.async_until(
        lambda: not any(load.runs for load in cell.loads.values())
    )


@on_platform()
async def test_caller_that_leaves_a_silent_engine_frees_both_slots(
    fleet: PlatformFleet,
) -> None:
    """Guards against a slot that stays granted for an engine not used yet."""
    await _async_set_attempts(fleet, 2)
    silent, other = fleet.model_engines
    for engine in fleet.model_engines:
        engine.run_version('v1')
        engine.event_gap_s = 3
    cell = fleet.owner.components.cells.cells['desk']
    caller = StreamCaller(fleet, 'first')
    await caller.async_begin(0)
    await fleet.async_until(lambda: bool(silent.executed and other.executed))
    await caller.async_leave()
    await fleet.async_until(
        lambda: not any(load.runs for load in cell.loads.values())
    )
