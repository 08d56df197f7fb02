"""Streams that are taken up at instances that are out of step."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

from hornbeamdeck.membership.liveness import FLEET_CELL
from tests.platform.fleet import PlatformFleet, Scenario, on_platform
from tests.platform.lost_fleets import (
    async_list_version,
    async_run_versions,
    recorded_versions,
)
from tests.platform.partitions import (
    Cut,
    PeerPartition,
    partition,
    peer_partition,
)
from tests.platform.standins import EngineStandin
from tests.platform.stream_caller import StreamCaller

STREAMS = 8
EVENTS = 12


class _Cut(NamedTuple):
    """A cut between gateways, and from the store.

    :param peers: the cut between gateways.
    :param apart: the gateways that are cut off from the store.
    """

    peers: PeerPartition
    apart: set[int]

    async def async_begin(self, fleet: PlatformFleet, count: int) -> set[int]:
        """Cut the last ranked gateways off, and wait until each side knows.

        :returns: the gateways of the other side.
        """
        ranked = fleet.ranked_gateways()
        self.apart.update(ranked[-count:])
        self.peers.cut_off = set(self.apart)
        others = set(ranked[:-count])
        for side in (others, self.apart):
            await fleet.async_until(partial(_has_owner_among, fleet, side))
        return others

    def end_cut_from_store(self) -> None:
        self.apart.clear()


_CutScenario = Callable[[PlatformFleet, _Cut], Awaitable[None]]


def _with_cut(count: int) -> Callable[[_CutScenario], Scenario]:
    """Run a scenario with a fleet whose gateways can be cut off.

    They start under the partition, which has to see how they connect.
    """

    def _decorate(scenario: _CutScenario) -> Scenario:
        async def _async_run(fleet: PlatformFleet) -> None:
            ports = {fleet.store_address.port}
            apart: set[int] = set()
            with (
                partition(fleet, apart, Cut.SILENT, ports),
                peer_partition(fleet) as peers,
            ):
                await fleet.async_add_gateways(count)
                await scenario(fleet, _Cut(peers, apart))

        _async_run.__doc__ = scenario.__doc__
        return _async_run

    return _decorate


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
    return await _async_begin_at(fleet, gateways)


async def _async_begin_at(
    fleet: PlatformFleet, gateways: set[int]
) -> list[StreamCaller]:
    """Begin streams; return the callers of those at v2."""
    callers = [StreamCaller(fleet, f'first-{each}') for each in range(STREAMS)]
    for number, caller in enumerate(callers):
        await caller.async_begin(sorted(gateways)[number % len(gateways)])
    begun = [caller for caller in callers if caller.versions == {'v2'}]
    assert begun
    return begun


async def _async_check_each(
    callers: list[StreamCaller], gateways: set[int]
) -> None:
    """Take streams up at each gateway: refused, or whole at their version."""
    for caller in callers:
        for gateway in gateways:
            status = await caller.async_resume(gateway)
            assert caller.versions == {'v2'}, caller.request_id
            if status == 200:
                # It has read the origin that the others have stored.
                assert caller.words == list(range(1, EVENTS + 1))
                break
            assert status == 503
            assert caller.retry_after_s > 0


async def _async_check_not_joined(
    fleet: PlatformFleet, cut: _Cut, count: int
) -> None:
    others = await cut.async_begin(fleet, count)
    callers = await _async_begin_at_new_version(fleet, others)
    await _async_check_each(callers, cut.apart)


@on_platform(0)
@_with_cut(5)
async def test_majority_out_of_step_joins_no_stream_of_a_missed_version(
    fleet: PlatformFleet, cut: _Cut
) -> None:
    """Guards against streams of v2 that go on at v1, the only one it knows."""
    await _async_check_not_joined(fleet, cut, 3)


@on_platform(0)
@_with_cut(4)
async def test_half_out_of_step_joins_no_stream_of_a_missed_version(
    fleet: PlatformFleet, cut: _Cut
) -> None:
    """Guards against the same where each half hears of half of the fleet."""
    await _async_check_not_joined(fleet, cut, 2)


@on_platform(0)
@_with_cut(2)
async def test_one_of_two_out_of_step_joins_no_stream_of_a_missed_version(
    fleet: PlatformFleet, cut: _Cut
) -> None:
    """Guards against the same where an instance is half of the fleet."""
    await _async_check_not_joined(fleet, cut, 1)


@on_platform(0)
@_with_cut(5)
async def test_stream_is_not_joined_right_after_the_store_is_back(
    fleet: PlatformFleet, cut: _Cut
) -> None:
    """Guards against a decision by the list of before the cut."""
    others = await cut.async_begin(fleet, 3)
    apart = set(cut.apart)
    callers = await _async_begin_at_new_version(fleet, others)
    cut.end_cut_from_store()
    await _async_check_each(callers, apart)


@on_platform(0)
@_with_cut(5)
async def test_version_that_has_come_and_gone_is_not_missed(
    fleet: PlatformFleet, cut: _Cut
) -> None:
    """Guards against streams of a version that left before the cut ended."""
    others = await cut.async_begin(fleet, 3)
    apart = set(cut.apart)
    callers = await _async_begin_at_new_version(fleet, others)
    await fleet.store.async_remove('servers', 'desk-3')
    cut.end_cut_from_store()
    await _async_check_each(callers, apart)


@on_platform(0)
@_with_cut(5)
async def test_unknown_stream_goes_on_where_the_store_shows_one_version(
    fleet: PlatformFleet, cut: _Cut
) -> None:
    """Guards against refusing streams at instances that reach the store."""
    await cut.async_begin(fleet, 3)
    apart = set(cut.apart)
    cut.end_cut_from_store()
    for gateway in apart:
        caller = StreamCaller(fleet, f'unknown-{gateway}')
        assert await caller.async_request(gateway, last_event_id='2') == 200


@on_platform(0)
@_with_cut(5)
async def test_version_behind_a_stale_entry_is_not_missed(
    fleet: PlatformFleet, cut: _Cut
) -> None:
    """Guards against streams of an engine whose entry is that of before."""
    await async_run_versions(fleet, 'v1', 'v1')
    others = await cut.async_begin(fleet, 3)
    apart = set(cut.apart)
    cut.end_cut_from_store()
    restarted = fleet.model_engines[0]
    restarted.run_version('v2', born=3)
    await restarted.async_close_connections()
    callers = await _async_begin_at(fleet, others)
    await _async_check_each(callers, apart)
