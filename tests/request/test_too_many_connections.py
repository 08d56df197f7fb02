"""Callers of an instance whose connections have reached the limit."""

from contextlib import AsyncExitStack

from curio import TaskGroup, sleep

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.scheduling.socket_limits import SocketLimits
from tests.platform.fleet import PlatformFleet, make_request, on_platform
from tests.support import booking_entry, on_fleet

# So few that some callers may connect, and no more.
TIGHT = SocketLimits(1)
TIMEOUT_MS = 1000
IDLE = 7
LOOKUP = (
    b'GET /open/x HTTP/1.1\r\nhost: walks.example\r\n'
    b'hornbeamdeck-request-id: lookup\r\n\r\n'
)
MOST_CALLERS = 8
SLOW_S = 0.5
POLL_S = 0.02


async def _async_connect(
    address: Address, opened: AsyncExitStack, count: int, sent: bytes
) -> None:
    """Open connections.

    :param sent: sent on each of them; a complete request is answered.
    """
    for _ in range(count):
        connected = await async_connect(address, timeout_ms=TIMEOUT_MS)
        sock = await opened.enter_async_context(connected.unwrap())
        await sock.sendall(sent)
        if sent.endswith(b'\r\n\r\n'):
            assert await async_with_timeout(TIMEOUT_MS, sock.recv(1))


async def _async_look_up(fleet: PlatformFleet, request_id: str) -> int:
    response = await fleet.async_call(
        '/open/x', hornbeamdeck_request_id=request_id
    )
    return response.status


@on_platform()
async def test_gateway_ends_connections_near_the_limit(
    fleet: PlatformFleet,
) -> None:
    """Guards against callers that lose a connection they rely on."""
    fleet.gateways[0]._connections.limits = TIGHT
    async with AsyncExitStack() as opened:
        first = await fleet.async_call('/seats/x')
        await _async_connect(fleet.address(0), opened, IDLE, LOOKUP)
        last = await fleet.async_call('/seats/x')
    assert first.status == last.status == 200
    assert 'connection' not in first.headers
    assert last.headers['connection'] == 'close'


@on_platform()
async def test_gateway_refuses_requests_beyond_the_limit(
    fleet: PlatformFleet,
) -> None:
    """Guards against callers that get no answer while all others are busy."""
    gateway = fleet.gateways[0]
    gateway._connections.limits = TIGHT
    for engine in fleet.booking_engines:
        engine.event_gap_s = SLOW_S
    async with TaskGroup() as calls:
        for number in range(MOST_CALLERS):
            await calls.spawn(_async_look_up, fleet, f'busy-{number}')
        await fleet.async_until(lambda: gateway.in_flight == MOST_CALLERS)
        refused = await fleet.async_call('/seats/pay/x')
    assert refused.status == 503
    assert b'too_many_connections' in refused.body
    assert float(refused.headers['retry-after']) > 0
    assert calls.results == [200] * MOST_CALLERS
    executed = [
        each.path
        for engine in fleet.booking_engines
        for each in engine.executed
    ]
    assert '/seats/pay/x' not in executed


@on_platform()
async def test_kept_connection_says_that_it_ends(fleet: PlatformFleet) -> None:
    """Guards against a limit that callers find out from a reset."""
    fleet.gateways[0]._connections.limits = TIGHT
    caller = await fleet.async_open()
    async with AsyncExitStack() as opened:
        await _async_connect(fleet.address(0), opened, IDLE, LOOKUP)
        request = make_request('/seats/pay/x')
        answered = (await caller.async_fetch(request)).unwrap()
    assert answered.status == 200
    assert answered.headers['connection'] == 'close'
    await caller.async_close()


@on_fleet(FleetPlan(instances=1))
async def test_plain_instance_refuses_requests_beyond_the_limit(
    fleet: Fleet,
) -> None:
    """Guards against callers that take every descriptor of an instance."""
    instance = fleet.instances[0]
    instance.connections.limits = TIGHT
    address = instance.own.address
    fleet.booking_service._service_ms = SLOW_S * MILLIS_PER_SECOND
    async with TaskGroup() as calls:
        for number in range(MOST_CALLERS):
            busy = booking_entry(f'busy-{number}')
            await calls.spawn(async_call, busy, number + 3, address)
        while instance.in_flight < MOST_CALLERS:
            await sleep(POLL_S)
        refused = await async_call(booking_entry('a'), 1, address)
    assert refused.status == 503
    assert refused.outcome == 'not_run'
    assert all(each.is_complete for each in calls.results)
    assert 'a' not in fleet.booking_service.runs
    answered = await async_call(booking_entry('b'), 2, address)
    assert answered.is_complete
