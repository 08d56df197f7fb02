"""Streams that are taken up at instances that are out of step."""

from collections.abc import Iterator
from contextlib import contextmanager

from hornbeamdeck.membership.liveness import FLEET_CELL
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.lost_fleets import async_list_version, recorded_versions
from tests.platform.partitions import Cut, partition, peer_partition
from tests.platform.standins import EngineStandin
from tests.platform.stream_caller import StreamCaller

STREAMS = 8
EVENTS = 12


@contextmanager
def _out_of_step(fleet: PlatformFleet, apart: set[int]) -> Iterator[None]:
    """Cut gateways off from the store and from all other gateways."""
    ports = {fleet.store_address.port}
    with (
        partition(fleet, apart, Cut.SILENT, ports),
        peer_partition(fleet) as peers,
    ):
        peers.cut_off = apart
        yield


def _has_owner_among(fleet: PlatformFleet, gateways: set[int]) -> bool:
    """Return whether some gateways all see one of them as the owner."""
    ids = {fleet.gateways[each].settings.instance_id for each in gateways}
    owners = {
        fleet.gateways[each].components.membership.owner_of(FLEET_CELL)
        for each in gateways
    }
    return len(owners) == 1 and owners <= ids


async def _async_begin_at_new_version(
    fleet: PlatformFleet, gateways: set[int]
) -> list[StreamCaller]:
    """Add an engine of a new version; return callers of its streams.

    :param gateways: which the streams begin at.
    """
    later = EngineStandin('desk-3')
    await later.async_start()
    for engine in (later, *fleet.model_engines):
        engine.run_version('v1')
        engine.events = EVENTS
        engine.event_gap_s = 0.05
    await async_list_version(fleet, later, 'v2')
    await fleet.async_until(lambda: 'v2' in recorded_versions(fleet))
    callers = [StreamCaller(fleet, f'first-{each}') for each in range(STREAMS)]
    for number, caller in enumerate(callers):
        await caller.async_begin(sorted(gateways)[number % len(gateways)])
    begun = [caller for caller in callers if caller.versions == {'v2'}]
    assert begun
    return begun


async def _async_check_not_joined(
    fleet: PlatformFleet, apart: set[int]
) -> None:
    others = set(range(len(fleet.gateways))) - apart
    with _out_of_step(fleet, apart):
        await fleet.async_until(lambda: _has_owner_among(fleet, others))
        await fleet.async_until(lambda: _has_owner_among(fleet, apart))
        callers = await _async_begin_at_new_version(fleet, others)
        for caller in callers:
            for gateway in apart:
                await caller.async_resume(gateway)
                assert caller.versions == {'v2'}, caller.request_id


@on_platform(5)
async def test_majority_out_of_step_joins_no_stream_of_a_missed_version(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams of v2 that go on at v1, the only one it knows."""
    await _async_check_not_joined(fleet, set(fleet.ranked_gateways()[:3]))


@on_platform(4)
async def test_half_out_of_step_joins_no_stream_of_a_missed_version(
    fleet: PlatformFleet,
) -> None:
    """Guards against the same where each half hears of half of the fleet."""
    await _async_check_not_joined(fleet, set(fleet.ranked_gateways()[2:]))


@on_platform(2)
async def test_one_of_two_out_of_step_joins_no_stream_of_a_missed_version(
    fleet: PlatformFleet,
) -> None:
    """Guards against the same where an instance is half of the fleet."""
    await _async_check_not_joined(fleet, set(fleet.ranked_gateways()[:1]))
