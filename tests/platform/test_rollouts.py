"""Roll-outs of a service's engines, ordered in the users' store."""

from collections.abc import Awaitable, Callable
from typing import Any

from curio import TaskGroup, run, sleep

from hornbeamdeck.scheduling.rollout import RolloutPhase
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet
from tests.platform.standins import EngineStandin

DURATION_S = 4
ENGINES = 8
CALLERS = 6

BOUNDS = {'expose_share': 0.3, 'expose_slack': 50, 'rollback_ms': 1000}
Scenario = Callable[['RolloutFleet'], Awaitable[None]]


class RolloutFleet(PlatformFleet):
    """A fleet with enough engines to tell versions apart."""

    def __init__(self) -> None:
        super().__init__()
        self.model_engines = [
            EngineStandin(f'desk-{number}') for number in range(ENGINES)
        ]
        self.new_engines = [
            EngineStandin(f'desk-new-{number}') for number in range(ENGINES)
        ]
        self.settings_changes = {'rollouts': BOUNDS}
        self.statuses: list[int] = []
        self.is_calling = True

    @property
    def status(self) -> Any:
        """The status that the fleet has given the order."""
        return self.store.stored_objects['rollouts']['desk']['status']

    @property
    def state(self) -> str:
        """The state in that status; empty if there is none."""
        return self.status['state'] if self.status else ''

    async def async_order(self, *, duration_s: float = DURATION_S) -> None:
        """Order the new version and start its engines."""
        order = {
            'service': 'desk',
            'target': 'v2',
            'duration_s': duration_s,
        }
        await self.store.async_put('rollouts', 'desk', order)
        for engine in self.new_engines:
            await engine.async_start()
            entry = engine.entry('desk', version='v2', slots=4)
            await self.store.async_put('servers', engine.name, entry)

    async def async_call_repeatedly(self, number: int) -> None:
        """Send one request after the other until `is_calling` is unset."""
        count = 0
        while self.is_calling:
            count += 1
            response = await self.async_call(
                '/note/x',
                -1,
                tokens=TOKEN_COUNTS,
                hornbeamdeck_request_id=f'{number}-{count}',
            )
            self.statuses.append(response.status)

    def executed(self, engines: list[EngineStandin]) -> int:
        """Count the requests that engines have run."""
        return sum(len(engine.executed) for engine in engines)


async def _async_play(scenario: Scenario, count: int) -> None:
    fleet = RolloutFleet()
    await fleet.async_start(count)
    if fleet.owner is fleet.gateways[-1]:
        # The callers use an instance that lives until the end of the test.
        fleet.gateways.insert(0, fleet.gateways.pop())
    try:
        async with TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(fleet.async_call_repeatedly, number)
            await scenario(fleet)
            fleet.is_calling = False
    finally:
        await fleet.async_stop()


def on_rollout(
    count: int = 1,
) -> Callable[[Scenario], Callable[[], None]]:
    """Run a scenario with a new fleet and callers."""

    def _decorate(scenario: Scenario) -> Callable[[], None]:
        def _run() -> None:
            run(_async_play, scenario, count)

        _run.__doc__ = scenario.__doc__
        return _run

    return _decorate


@on_rollout()
async def test_good_version_is_completed_in_time(fleet: RolloutFleet) -> None:
    await fleet.async_order()
    await fleet.async_until(lambda: fleet.state == 'running')
    assert fleet.status['target'] == 'v2'
    await fleet.async_until(lambda: fleet.state == 'completed')
    assert fleet.executed(fleet.new_engines)
    before = fleet.executed(fleet.model_engines)
    await sleep(0.3)
    assert fleet.executed(fleet.model_engines) == before
    assert set(fleet.statuses) == {200}


@on_rollout()
async def test_bad_version_is_rolled_back(fleet: RolloutFleet) -> None:
    """Guards against a version that fails requests and is used all the same.

    Callers may see its failures only until they tell that it is bad.
    """
    for engine in fleet.new_engines:
        engine.faults = ['', 'error'] * 1000
    await fleet.async_order()
    await fleet.async_until(lambda: fleet.state == 'rolled_back')
    before = fleet.executed(fleet.new_engines)
    await sleep(0.5)
    assert fleet.executed(fleet.new_engines) == before
    assert set(fleet.statuses) == {200, 500}
    executed = before + fleet.executed(fleet.model_engines)
    allowed = BOUNDS['expose_share'] * executed + BOUNDS['expose_slack']
    assert before <= allowed


@on_rollout()
async def test_bad_version_gets_no_requests_while_the_store_is_away(
    fleet: RolloutFleet,
) -> None:
    """Guards against waiting for the store before a bad version is stopped."""
    for engine in fleet.new_engines:
        engine.faults = ['', 'error'] * 1000
    await fleet.async_order()
    await fleet.async_until(lambda: fleet.state == 'running')
    fleet.store.is_silent = True
    entries = fleet.gateways[0].components.rollouts
    assert entries is not None
    await fleet.async_until(
        lambda: entries.phase_of('desk') == RolloutPhase.ROLLED_BACK
    )
    # Grants that were on their way may still be used.
    await sleep(BOUNDS['rollback_ms'] / 1000)
    before = fleet.executed(fleet.new_engines)
    await sleep(0.2)
    assert fleet.executed(fleet.new_engines) == before
    assert fleet.state == 'running'
    fleet.store.is_silent = False
    await fleet.async_until(lambda: fleet.state == 'rolled_back')


@on_rollout(3)
async def test_owner_that_takes_over_goes_on(fleet: RolloutFleet) -> None:
    """Guards against a roll-out that ends with the owner that began it."""
    await fleet.async_order()
    await fleet.async_until(lambda: fleet.state == 'running')
    owner = fleet.owner
    assert owner is not fleet.gateways[-1]
    await owner.async_kill()
    await fleet.async_until(lambda: fleet.state == 'completed')


@on_rollout()
async def test_unreadable_order_keeps_the_old_version(
    fleet: RolloutFleet,
) -> None:
    """Guards against a new version that is used without a limit."""
    await fleet.store.async_put('rollouts', 'desk', {'service': 'desk'})
    for engine in fleet.new_engines:
        await engine.async_start()
        entry = engine.entry('desk', version='v2')
        await fleet.store.async_put('servers', engine.name, entry)
    await sleep(1)
    assert not fleet.executed(fleet.new_engines)
    assert fleet.status is None


@on_rollout()
async def test_version_without_an_order_is_used(fleet: RolloutFleet) -> None:
    """Guards against a release whose engines never get requests."""
    old_engines = tuple(fleet.model_engines)
    for engine in fleet.new_engines:
        await engine.async_start()
        entry = engine.entry('desk', version='v2')
        await fleet.store.async_put('servers', engine.name, entry)
    for engine in old_engines:
        entry = engine.entry('desk', state='draining')
        await fleet.store.async_put('servers', engine.name, entry)
    await fleet.async_until(lambda: fleet.executed(fleet.new_engines) > 0)


@on_rollout()
async def test_withdrawn_order_leaves_the_old_version(
    fleet: RolloutFleet,
) -> None:
    await fleet.async_order(duration_s=60)
    await fleet.async_until(lambda: fleet.executed(fleet.new_engines) > 0)
    await fleet.store.async_remove('rollouts', 'desk')
    await sleep(0.5)
    before = fleet.executed(fleet.new_engines)
    await sleep(0.3)
    assert fleet.executed(fleet.new_engines) == before
