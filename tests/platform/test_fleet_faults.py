"""Tests of responses to callers when instances are killed or shut down."""

from curio import TaskGroup, sleep, spawn

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform
from tests.platform.standins import document


def _owner(fleet: PlatformFleet) -> int:
    return next(
        number
        for number, gateway in enumerate(fleet.gateways)
        if gateway.components.is_owner
    )


def _spent(gateway: Gateway, team: str) -> int:
    """Return what instances have reported that a team has spent."""
    reports = gateway.components.heartbeats._dependencies.spending_reports
    return sum(reports.spent_by_age(team, now_ms()))


@on_platform(3)
async def test_next_owner_takes_over_when_owner_is_killed(
    fleet: PlatformFleet,
) -> None:
    """Guards against an outage when the owner is killed.

    The instance that grants all requests is killed. The next owner must grant
    the requests of the other instances, and none of them may run twice.
    """
    owner = _owner(fleet)
    await fleet.gateways[owner].async_kill()
    survivors = [number for number in range(3) if number != owner]
    for number in survivors:
        got = await fleet.async_call('/seats/pay/x', number)
        assert got.status == 200
    assert sum(len(engine.executed) for engine in fleet.booking_engines) == 2
    await fleet.async_until(
        lambda: all(
            len(
                fleet.gateways[
                    number
                ].components.heartbeats.liveness.serving_instances()
            )
            == 2
            for number in survivors
        ),
    )


@on_platform(2)
async def test_graceful_shutdown_completes_requests(
    fleet: PlatformFleet,
) -> None:
    """Guards against requests that a graceful shutdown interrupts.

    An instance is stopped during a stream. The stream must be completed, the
    instance must report that it is not ready, and callers must be directed to
    other instances.
    """
    for engine in fleet.model_engines:
        engine.event_gap_s = 0.3
    stream = await spawn(fleet.async_call('/note/x', 0, tokens=TOKEN_COUNTS))
    await fleet.async_until(lambda: fleet.gateways[0].in_flight == 1)
    stopping = await spawn(fleet.gateways[0].async_stop())
    await sleep(0.1)
    assert not fleet.gateways[0].is_ready
    new_request = await fleet.async_call(
        '/seats/x', 0, hornbeamdeck_request_id='new'
    )
    assert new_request.status == 200
    assert new_request.headers['connection'] == 'close'
    got = await stream.join()
    assert got.body.count(b'data: word') == 3
    assert await stopping.join() == 0
    usable = fleet.gateways[
        1
    ].components.heartbeats.liveness.serving_instances()
    assert [each.instance_id for each in usable] == ['front-1']
    assert 'front-0' not in fleet.store.stored_objects['instances']


@on_platform(3)
async def test_new_owner_keeps_spending_of_teams(
    fleet: PlatformFleet,
) -> None:
    """Guards against a reset of token limits when the owner changes.

    A team has spent its limit when the owner is killed. If its spending were
    lost, each new owner would let the team spend the whole limit again.
    """
    limited_team = {**document()['tenants'][0], 'rate_per_s': 100}
    await fleet.store.async_put(
        'config', 'main', document(tenants=[limited_team])
    )
    version = fleet.store.configuration_version
    await fleet.async_until(
        lambda: all(
            gateway.components.follower.configuration.version == version
            for gateway in fleet.gateways
        ),
    )
    owner = _owner(fleet)
    caller = (owner + 1) % 3
    large = '60000,9000'
    assert (
        await fleet.async_call('/note/x', caller, tokens=large)
    ).status == 200
    assert (
        await fleet.async_call('/note/x', caller, tokens=large)
    ).status == 429
    successors = [
        gateway for gateway in fleet.gateways if not gateway.components.is_owner
    ]
    await fleet.async_until(
        lambda: all(
            _spent(gateway, 'guides') >= 69_000 for gateway in successors
        ),
    )
    await fleet.gateways[owner].async_kill()
    got = await fleet.async_call('/note/x', caller, tokens=large)
    assert got.status == 429


@on_platform(count=4)
async def test_gateways_that_all_stop_have_one_owner(
    fleet: PlatformFleet,
) -> None:
    """Guards against limits that each stopping gateway grants in full."""
    for engine in fleet.booking_engines:
        engine.event_gap_s = 1.0
    async with TaskGroup() as group:
        for gateway in range(4):
            await group.spawn(fleet.async_call, '/seats/x', gateway)
        await sleep(0.2)
        for stopping in fleet.gateways:
            await group.spawn(stopping.async_stop)
        await sleep(0.5)
        owners = [each for each in fleet.gateways if each.components.is_owner]
        assert all(gateway.shutdown.is_requested for gateway in fleet.gateways)
        assert len(owners) == 1
    assert all(task.exception is None for task in group.tasks)
