"""Streams whose instance has died before their engine was asked."""

from curio import sleep

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.stream_caller import StreamCaller


@on_platform(count=3)
async def test_an_owner_asks_where_the_instance_died_first(
    fleet: PlatformFleet,
) -> None:
    """Guards against refusing streams whose engine could still be asked."""
    for engine in fleet.model_engines:
        engine.events = 6
        engine.event_gap_s = 0.05
        engine.run_version('v1')
    owner, _, last = fleet.ranked_gateways()
    early = StreamCaller(fleet, 'early')
    await early.async_begin(owner)
    assert await early.async_read_all()
    for engine in fleet.model_engines:
        engine.report = 'hang'
    caller = StreamCaller(fleet, 'first')
    await caller.async_begin(last)
    await sleep(0.05)
    await fleet.gateways[last].async_kill()
    for engine in fleet.model_engines:
        engine.report = 'born'
    assert await caller.async_resume(owner) == 200
