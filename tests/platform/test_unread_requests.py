"""Engines that read requests slowly or not at all."""

from tests.platform.endless_calls import (
    CALLS,
    async_call_at_once,
    most_runs,
)
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.partitions import Cut, partition
from tests.platform.standins import document

# More than the buffers of a connection and a tunnel hold that is not read.
BODY = b'x' * 800_000
SENDING = {('failed', 'limit exceeded: sending')}


async def _async_allow_large_bodies(fleet: PlatformFleet) -> None:
    """Allow them, with an objective that sound engines meet on busy machines.

    A quarter of it is the limit for sending a request that may be repeated.
    """
    allowed = document()
    allowed['limits']['max_body_bytes'] = 2 * len(BODY)
    for route in allowed['routes']:
        route['target_latency_ms'] = 2000
    await fleet.store.async_put('config', 'main', allowed)
    await fleet.async_until(
        lambda: all(
            gateway.components.follower.configuration.limits.max_body_bytes
            > len(BODY)
            for gateway in fleet.gateways
        )
    )


@on_platform()
async def test_unread_requests_go_to_another_engine(
    fleet: PlatformFleet,
) -> None:
    """Guards against calls that wait for an engine that reads nothing."""
    await _async_allow_large_bodies(fleet)
    fleet.booking_engines[0].reading.is_on = False
    ends = await async_call_at_once(fleet, '/seats/x', BODY)
    assert ends.statuses == [200] * CALLS
    assert ends.causes == SENDING


@on_platform()
async def test_unread_request_is_not_sent_twice(fleet: PlatformFleet) -> None:
    """Guards against a partly sent request that is called not run."""
    await _async_allow_large_bodies(fleet)
    fleet.booking_engines[0].reading.is_on = False
    ends = await async_call_at_once(fleet, '/seats/pay/x', BODY)
    assert set(ends.statuses) == {200, 502}
    assert ends.causes == SENDING
    assert most_runs(fleet) == 1


@on_platform(count=2)
async def test_unread_request_ends_behind_a_tunnel(
    fleet: PlatformFleet,
) -> None:
    """Guards against tunnels that a request occupies which is not read."""
    await _async_allow_large_bodies(fleet)
    for engine in fleet.booking_engines:
        engine.reading.is_on = False
    with partition(fleet, {0}, Cut.RESET):
        ends = await async_call_at_once(fleet, '/seats/pay/x', BODY)
        relay = fleet.gateways[1].tunnels
        await fleet.async_until(lambda: not relay.open_tunnels)
    # Callers that wait behind the others are refused.
    assert 502 in ends.statuses
    assert set(ends.statuses) <= {502, 503}
    assert 'failed' in {end for end, _ in ends.causes}


@on_platform()
async def test_request_that_is_read_slowly_is_sent_whole(
    fleet: PlatformFleet,
) -> None:
    """Guards against a limit that ends requests which make progress."""
    for engine in fleet.booking_engines:
        engine.reading.gap_s = 0.01
        engine.reading.most_bytes = 10_000
    body = b'x' * 90_000
    ends = await async_call_at_once(fleet, '/seats/pay/x', body)
    assert ends.statuses == [200] * CALLS
    for engine in fleet.booking_engines:
        assert all(request.body == body for request in engine.executed)
