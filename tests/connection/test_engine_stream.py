"""Engine streams whose connection breaks before the end."""

from curio import TaskGroup, sleep, spawn

from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from tests.support import completion_entry, on_fleet

PLAN = FleetPlan(instances=2, speeds=(1.0,))
CALLS = 6


async def _async_until_running(fleet: Fleet, count: int) -> None:
    while fleet.engines[0].batch.running_requests < count:
        await sleep(0.005)


@on_fleet(PLAN)
async def test_broken_stream_is_resumed_without_a_second_run(
    fleet: Fleet,
) -> None:
    """Guards against lost or repeated output and a second run when a network
    switch between instances and engines restarts during six responses. The
    engine continues its runs, and each caller receives the complete response.
    """
    engine = fleet.engines[0]
    async with TaskGroup() as calls:
        for number in range(CALLS):
            address = fleet.instances[number % 2].own.address
            entry = completion_entry(output_tokens=60)
            await calls.spawn(async_call, entry, number, address)
        await _async_until_running(fleet, CALLS)
        for _ in range(2):
            await sleep(0.15)
            assert engine.on_cut is not None
            await engine.on_cut()
    assert [each.is_complete for each in calls.results] == [True] * CALLS
    assert set(engine.batch.counters.runs.values()) == {1}


@on_fleet(PLAN)
async def test_engine_crash_breaks_the_stream(fleet: Fleet) -> None:
    """Guards against a cut response that looks complete. The engine crashes
    during a response and restarts without it; the caller must see an error.
    """
    address = fleet.instances[0].own.address
    call = await spawn(
        async_call, completion_entry(output_tokens=200), 1, address
    )
    await _async_until_running(fleet, 1)
    await sleep(0.1)
    outage = fleet.engines[0].on_outage
    assert outage is not None
    await outage(50)
    record = await call.join()
    assert record.outcome == 'unknown'
    assert not record.is_complete


@on_fleet(PLAN)
async def test_run_is_cancelled_when_its_caller_disconnects(
    fleet: Fleet,
) -> None:
    """Guards against an engine that continues a long response after its
    caller has disconnected.
    """
    # Without a cancel request the engine waits a minute for a resume.
    fleet.engines[0].streams.resume_grace_s = 60
    address = fleet.instances[0].own.address
    entry = completion_entry(output_tokens=5000)
    call = await spawn(async_call, entry, 1, address)
    await _async_until_running(fleet, 1)
    await sleep(0.1)
    await call.cancel()
    for _ in range(500):
        if not fleet.engines[0].batch.running_requests:
            break
        await sleep(0.01)
    assert not fleet.engines[0].batch.running_requests
    load = fleet.owner_of('desk').components.scheduler.cells['desk'].loads
    assert not load['engine-0'].runs
