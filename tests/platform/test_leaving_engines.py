"""Engines that state in their responses that they leave."""

from curio import sleep

from tests.platform.fleet import PlatformFleet, on_platform

# Requests sent later than this after such a response must not reach the engine.
DRAIN_S = 2.0
CALLS = 12


async def _async_call(fleet: PlatformFleet, number: int) -> None:
    got = await fleet.async_call(
        '/open/x', hornbeamdeck_request_id=f'open-{number}'
    )
    assert got.status == 200


@on_platform()
async def test_no_request_is_sent_to_an_engine_that_says_it_leaves(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine known as ready while only its responses tell."""
    leaving = fleet.booking_engines[0]
    leaving.state({'server-leaving': '1'})
    fleet.store.is_silent = True
    for number in range(CALLS):
        await _async_call(fleet, number)
    assert leaving.executed
    await sleep(DRAIN_S)
    before = len(leaving.arrivals_s)
    for number in range(CALLS):
        await _async_call(fleet, number)
    assert len(leaving.arrivals_s) == before
