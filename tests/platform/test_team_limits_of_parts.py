"""A team's limit while a fleet is partitioned and each part has an owner."""

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
WINDOW_S = BOUNDS['quota_window_s']
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + BOUNDS[
    'quota_slack'
]


class _Callers:
    """Callers of one team at all gateways."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self.is_calling = True
        self._count = 0

    async def async_run(self, gateway: int) -> None:
        """Call one gateway repeatedly."""
        while self.is_calling:
            self._count += 1
            request = make_request(
                '/note/x',
                tokens=TOKEN_COUNTS,
                hornbeamdeck_request_id=f'id-{self._count}',
            )
            await async_fetch_on_new_connection(
                self._fleet.address(gateway),
                request,
                timeout_ms=CLIENT_TIMEOUT_MS,
            )
            await sleep(CALL_GAP_S)


async def _async_start(fleet: PlatformFleet) -> None:
    """Let the fleet start with a team that has a limit."""
    fleet.settings_changes = {'bounds': {**BOUNDS, 'quota_overage': OVERAGE}}
    limited = {
        **document()['tenants'][0],
        'rate_per_s': RATE_PER_S,
        'burst': BURST,
    }
    await fleet.store.async_put('config', 'main', document(tenants=[limited]))
    await fleet.async_add_gateways(GATEWAYS)


def _owners(fleet: PlatformFleet) -> set[str]:
    return {
        gateway.components.membership.owner_of(FLEET_CELL)
        for gateway in fleet.gateways
    }


def _largest_window(fleet: PlatformFleet) -> int:
    """Return the most tokens that engines were sent within a window."""
    arrived_s = sorted(
        each for engine in fleet.model_engines for each in engine.arrivals_s
    )
    return TOKENS * max(
        sum(start <= each < start + WINDOW_S for each in arrived_s)
        for start in arrived_s
    )


async def _async_cut(fleet: PlatformFleet, cut: PeerPartition) -> None:
    """Cut the owner off with a few others, and wait for two owners."""
    cut.cut_off = set(fleet.ranked_gateways()[:SMALL_PART])
    await fleet.async_until(lambda: len(_owners(fleet)) == 2)


@on_platform(0)
async def test_parts_of_a_fleet_keep_a_limit_together(
    fleet: PlatformFleet,
) -> None:
    """Guards against owners that each let a team spend its whole limit."""
    await _async_start(fleet)
    callers = _Callers(fleet)
    with peer_partition(fleet) as cut:
        async with TaskGroup() as group:
            await _async_cut(fleet, cut)
            for gateway in range(GATEWAYS):
                await group.spawn(callers.async_run, gateway)
            await sleep(2.5)
            cut.cut_off = set()
            await fleet.async_until(lambda: len(_owners(fleet)) == 1)
            await sleep(0.5)
            await _async_cut(fleet, cut)
            await sleep(2.5)
            callers.is_calling = False
    assert _largest_window(fleet) <= ALLOWED
