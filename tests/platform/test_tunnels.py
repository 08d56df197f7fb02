"""Requests of a partitioned instance that go through another one."""

from curio import TaskGroup, sleep, spawn
from result import Ok

from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    load_at,
    make_request,
    on_platform,
)
from tests.platform.partitions import Cut, partition
from tests.platform.standins import EngineStandin

REST_S = 3.0


def _used_tunnels(gateway: Gateway) -> int:
    return gateway.dialer.tunnels_opened


def _index_of_owner(fleet: PlatformFleet) -> int:
    return fleet.gateways.index(fleet.owner)


async def _async_open(fleet: PlatformFleet, path: str) -> ClientConnection:
    """Send a request to gateway 0 and leave its response unread."""
    connection = await fleet.async_open(0)
    tokens = TOKEN_COUNTS if path == '/note/x' else ''
    await connection.async_send(make_request(path, tokens=tokens))
    return connection


def _running(engines: list[EngineStandin]) -> int:
    return sum(len(engine.executed) for engine in engines)


@on_platform(count=2)
async def test_partitioned_owner_grants_and_serves(
    fleet: PlatformFleet,
) -> None:
    """Guards against a fleet that depends on its owner's path to engines."""
    owner = _index_of_owner(fleet)
    with partition(fleet, {owner}, Cut.RESET):
        for gateway in (owner, 1 - owner):
            got = await fleet.async_call('/seats/pay/x', gateway)
            assert got.status == 200
    assert _used_tunnels(fleet.gateways[owner]) == 1
    assert not _used_tunnels(fleet.gateways[1 - owner])


@on_platform(count=4)
async def test_one_instance_that_reaches_engines_serves_for_all(
    fleet: PlatformFleet,
) -> None:
    """Guards against a zone whose instances ask each other in vain."""
    with partition(fleet, {0, 1, 2}, Cut.RESET):
        for _ in range(3):
            for gateway in range(3):
                got = await fleet.async_call('/seats/pay/x', gateway)
        assert got.status == 200
    assert not _used_tunnels(fleet.gateways[3])


@on_platform(count=3)
async def test_instance_without_any_way_sends_its_callers_back(
    fleet: PlatformFleet,
) -> None:
    """Guards against requests that are held although no engine is in reach."""
    with partition(fleet, {0, 1, 2}, Cut.RESET):
        for gateway in (0, 1, 2, 0):
            got = await fleet.async_call('/seats/pay/x', gateway)
            await sleep(0.4)
    assert got.status == 503
    assert b'engines_unreachable' in got.body
    assert float(got.headers['retry-after']) < 1


@on_platform(count=2)
async def test_direct_path_is_used_again_after_a_partition(
    fleet: PlatformFleet,
) -> None:
    """Guards against tunnels that are used long after a partition."""
    with partition(fleet, {0}, Cut.RESET):
        for _ in range(3):
            await fleet.async_call('/seats/x', 0)
    dialer = fleet.gateways[0].dialer
    for _ in range(2):
        await sleep(0.6)
        await fleet.async_call('/seats/x', 0)
    await fleet.async_until(lambda: not dialer.count_unreached())
    used = dialer.tunnels_opened
    assert (await fleet.async_call('/seats/x', 0)).status == 200
    assert dialer.tunnels_opened == used


@on_platform(count=2)
async def test_engine_that_is_down_is_no_partition(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that is granted although nobody reaches it."""
    down, other = fleet.booking_engines
    await down.async_stop()
    for _ in range(4):
        assert (await fleet.async_call('/seats/pay/x', 0)).status == 200
    assert len(other.executed) == 4
    assert load_at(fleet.owner, down).health.is_in_backoff('z1', 0)
    assert not fleet.gateways[0].dialer.tunnels_opened


@on_platform(count=2)
async def test_partition_does_not_keep_its_zone_from_engines(
    fleet: PlatformFleet,
) -> None:
    """Guards against sound instances that lose engines with others."""
    with partition(fleet, {0}, Cut.RESET):
        for _ in range(6):
            await fleet.async_call('/seats/pay/x', 0)
    for engine in fleet.booking_engines:
        health = load_at(fleet.owner, engine).health
        assert not health.zones_in_backoff(0)
        assert not health.failure_rate('z1', 0)


@on_platform(count=2)
async def test_caller_that_leaves_ends_the_run_behind_a_tunnel(
    fleet: PlatformFleet,
) -> None:
    """Guards against engines that work for callers that have left."""
    for engine in fleet.model_engines:
        engine.event_gap_s = 0.2
        engine.events = 100
    with partition(fleet, {0}, Cut.RESET):
        connection = await _async_open(fleet, '/note/x')
        await fleet.async_until(lambda: _running(fleet.model_engines) == 1)
        await connection.async_close()
        await fleet.async_until(
            lambda: (
                sum(each.cancelled_runs for each in fleet.model_engines) == 1
            )
        )
    relay = fleet.gateways[1]
    await fleet.async_until(lambda: not relay.tunnels.open_tunnels)


async def _async_call_and_lose_relay(
    fleet: PlatformFleet, path: str
) -> HttpResponse:
    """Kill the relay of a call while silent engines run it."""
    for engine in fleet.booking_engines:
        engine.faults = ['silent']
    with partition(fleet, {0}, Cut.RESET):
        async with TaskGroup() as calls:
            call = await calls.spawn(fleet.async_call, path, 0)
            await fleet.async_until(
                lambda: _running(fleet.booking_engines) == 1
            )
            for engine in fleet.booking_engines:
                engine.faults = []
            await _find_relay(fleet).async_kill()
    response: HttpResponse = call.result
    return response


def _find_relay(fleet: PlatformFleet) -> Gateway:
    return next(each for each in fleet.gateways if each.tunnels.open_tunnels)


@on_platform(count=3)
async def test_lost_relay_repeats_no_call_that_may_run_once(
    fleet: PlatformFleet,
) -> None:
    """Guards against bookings that are made twice or called not run."""
    got = await _async_call_and_lose_relay(fleet, '/seats/pay/x')
    assert got.status in {502, 504}
    assert _running(fleet.booking_engines) == 1


@on_platform(count=3)
async def test_lost_relay_repeats_what_may_run_twice(
    fleet: PlatformFleet,
) -> None:
    """Guards against look-ups that fail with the relay of an instance."""
    got = await _async_call_and_lose_relay(fleet, '/seats/x')
    assert got.status == 200


@on_platform(count=3)
async def test_stopping_instance_finishes_its_tunnels_and_opens_none(
    fleet: PlatformFleet,
) -> None:
    """Guards against responses that a planned stop of a relay cuts."""
    for engine in fleet.model_engines:
        engine.event_gap_s = 0.2
        engine.events = 5
    with partition(fleet, {0}, Cut.RESET):
        async with TaskGroup() as calls:
            call = await calls.spawn(_async_call_stream, fleet)
            await fleet.async_until(
                lambda: any(
                    each.tunnels.open_tunnels for each in fleet.gateways
                )
            )
            relay = _find_relay(fleet)
            stop = await spawn(relay.async_stop)
            await sleep(0.05)
            for number in range(3):
                got = await fleet.async_call(
                    '/seats/pay/x', 0, hornbeamdeck_request_id=f'new-{number}'
                )
                assert got.status == 200
            assert relay.tunnels.open_tunnels == 1
        assert call.result.body.count(b'id: ') == 5
        assert await stop.join() == 0


async def _async_call_stream(fleet: PlatformFleet) -> object:
    return await fleet.async_call('/note/x', 0, tokens=TOKEN_COUNTS)


@on_platform(count=2)
async def test_rest_binds_the_instance_that_the_engine_knows(
    fleet: PlatformFleet,
) -> None:
    """Guards against a relay that sends to an engine that asked it for rest."""
    resting, other = fleet.booking_engines
    with partition(fleet, {0}, Cut.RESET):
        resting.state({'retry-after': str(REST_S)})
        resting.faults = ['not_run']
        other.faults = ['not_run']
        await fleet.async_call('/open/x', 0)
    relay = fleet.gateways[1].components.grants.engine_statements
    await fleet.async_until(lambda: resting.name in relay.rests_ms())


@on_platform(count=2)
async def test_long_request_and_response_pass_a_tunnel(
    fleet: PlatformFleet,
) -> None:
    """Guards against bodies that a tunnel cuts or changes."""
    body = b'x' * 90_000
    with partition(fleet, {0}, Cut.RESET):
        connection = await fleet.async_open(0)
        request = make_request('/seats/pay/x')._replace(body=body)
        got = await connection.async_fetch(request)
    assert isinstance(got, Ok)
    assert got.ok_value.status == 200
    executed = [
        each for engine in fleet.booking_engines for each in engine.executed
    ]
    assert [each.body for each in executed] == [body]
    assert executed[0].headers['hornbeamdeck-request-id'] == 'id-1'
