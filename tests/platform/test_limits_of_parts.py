"""Limits that count for a whole fleet, while each part of it has an owner."""

from curio import TaskGroup, sleep

from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.membership.liveness import FLEET_CELL
from tests.platform.fleet import (
    BOUNDS,
    PlatformFleet,
    make_request,
    on_platform,
)
from tests.platform.partitions import PeerPartition, peer_partition
from tests.platform.standins import document

GATEWAYS = 8
SMALL_PART = 3
RATE_PER_S = 6000
BURST = 12_000
OVERAGE = 0.1
TOKENS = 1200
TOKEN_COUNTS = '1000,200'
# One request each 30 ms at every gateway: many times the limit.
CALL_GAP_S = 0.03
CLIENT_TIMEOUT_MS = 3000
# How long the fleet is cut, each time.
PART_S = 2.5
LIMIT_PER_S = 3
LIMIT_WINDOW_S = 4.0
RETRY_SLACK = 30
WINDOW_S = BOUNDS['quota_window_s']
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + BOUNDS[
    'quota_slack'
]


class _Callers:
    """Callers of one team at all gateways."""

    def __init__(self, fleet: PlatformFleet, path: str, tokens: str) -> None:
        self.is_calling = True
        self.count = 0
        self._fleet = fleet
        self._path = path
        self._tokens = tokens

    async def async_run(self, gateway: int) -> None:
        """Call one gateway repeatedly."""
        while self.is_calling:
            self.count += 1
            request = make_request(
                self._path,
                tokens=self._tokens,
                hornbeamdeck_request_id=f'id-{self.count}',
            )
            await async_fetch_on_new_connection(
                self._fleet.address(gateway),
                request,
                timeout_ms=CLIENT_TIMEOUT_MS,
            )
            await sleep(CALL_GAP_S)


async def _async_start(
    fleet: PlatformFleet, *, rate_per_s: float = 0, **bounds: float
) -> None:
    """Start the gateways.

    :param rate_per_s: the team's limit; 0: none.
    """
    fleet.settings_changes = {'bounds': {**BOUNDS, **bounds}}
    limited = {
        **document()['tenants'][0],
        'rate_per_s': rate_per_s,
        'burst': BURST,
    }
    await fleet.store.async_put('config', 'main', document(tenants=[limited]))
    await fleet.async_add_gateways(GATEWAYS)


def _owners(fleet: PlatformFleet) -> set[str]:
    return {
        gateway.components.membership.owner_of(FLEET_CELL)
        for gateway in fleet.gateways
    }


async def _async_cut(fleet: PlatformFleet, cut: PeerPartition) -> None:
    """Cut the owner off with a few others, and wait for two owners."""
    cut.cut_off = set(fleet.ranked_gateways()[:SMALL_PART])
    await fleet.async_until(lambda: len(_owners(fleet)) == 2)


async def _async_call_parts(fleet: PlatformFleet, callers: _Callers) -> None:
    """Call all gateways while the fleet is cut, heals and is cut again."""
    with peer_partition(fleet) as cut:
        async with TaskGroup() as group:
            await _async_cut(fleet, cut)
            for gateway in range(GATEWAYS):
                await group.spawn(callers.async_run, gateway)
            await sleep(PART_S)
            cut.cut_off = set()
            await fleet.async_until(lambda: len(_owners(fleet)) == 1)
            await sleep(0.5)
            await _async_cut(fleet, cut)
            await sleep(PART_S)
            callers.is_calling = False


def _largest_count(
    arrived_s: list[float], window_s: float, since_s: float = 0
) -> int:
    """Return the most arrivals within a window that begins after a time."""
    return max(
        sum(start <= each < start + window_s for each in arrived_s)
        for start in arrived_s
        if start >= since_s
    )


@on_platform(0)
async def test_parts_of_a_fleet_keep_a_team_limit_together(
    fleet: PlatformFleet,
) -> None:
    """Guards against owners that each let a team spend its whole limit."""
    await _async_start(fleet, rate_per_s=RATE_PER_S, quota_overage=OVERAGE)
    await _async_call_parts(fleet, _Callers(fleet, '/note/x', TOKEN_COUNTS))
    arrived_s = sorted(
        each for engine in fleet.model_engines for each in engine.arrivals_s
    )
    assert TOKENS * _largest_count(arrived_s, WINDOW_S) <= ALLOWED


@on_platform(0)
async def test_parts_of_a_fleet_keep_a_request_limit_together(
    fleet: PlatformFleet,
) -> None:
    """Guards against owners that each fill the limit of an engine."""
    for engine in fleet.model_engines:
        engine.state_request_limit(str(LIMIT_PER_S))
    await _async_start(fleet)
    await _async_call_parts(fleet, _Callers(fleet, '/note/x', '100,20'))
    allowed = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
    for limited in fleet.model_engines:
        arrived_s = sorted(limited.arrivals_s)
        since_s = arrived_s[0] + BOUNDS['stability_ms'] / 1000
        assert _largest_count(arrived_s, LIMIT_WINDOW_S, since_s) <= allowed


@on_platform(0)
async def test_parts_of_a_fleet_keep_the_retry_budget_together(
    fleet: PlatformFleet,
) -> None:
    """Guards against owners that each allow the whole slack."""
    await _async_start(fleet, retry_slack=RETRY_SLACK)
    for engine in fleet.booking_engines:
        engine.faults = ['error'] * 5000
    callers = _Callers(fleet, '/seats/x', '')
    await _async_call_parts(fleet, callers)
    arrived = [
        request_id
        for engine in fleet.booking_engines
        for request_id, _ in engine.arrivals
    ]
    retries = len(arrived) - len(set(arrived))
    assert retries <= BOUNDS['retry_ratio'] * callers.count + RETRY_SLACK
