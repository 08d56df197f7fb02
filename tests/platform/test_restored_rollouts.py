"""Roll-outs in a store that comes back from an older copy."""

from curio import sleep

from tests.platform.standins import StoreCopy
from tests.platform.test_rollouts import RolloutFleet, on_rollout

# Within this time after an order was written again, its status is there.
STATUS_S = 2.0
LOST_WRITES = 40


async def _async_copy(fleet: RolloutFleet) -> StoreCopy:
    """Copy the store, and raise its revision beyond that of the copy."""
    copied = fleet.store.copy()
    for number in range(LOST_WRITES):
        await fleet.store.async_put('others', f'lost-{number}', {})
    return copied


async def _async_restore(fleet: RolloutFleet, copied: StoreCopy) -> None:
    """Lose the order and all that was written since, and order it again."""
    held = fleet.store.copy().stored_objects
    await fleet.store.async_restore(copied)
    await sleep(0.5)
    for engine, stored in held['servers'].items():
        await fleet.store.async_put('servers', engine, stored['spec'])
    order = held['rollouts']['desk']['spec']
    await fleet.store.async_put('rollouts', 'desk', order)


@on_rollout(3)
async def test_lost_order_goes_on_when_it_is_written_again(
    fleet: RolloutFleet,
) -> None:
    """Guards against a roll-out whose status the store never gets again."""
    copied = await _async_copy(fleet)
    await fleet.async_order(duration_s=8)
    await fleet.async_until(lambda: fleet.state == 'running')
    await _async_restore(fleet, copied)
    await sleep(STATUS_S)
    assert fleet.state == 'running'
    await fleet.async_until(lambda: fleet.state == 'completed')
    assert set(fleet.statuses) == {200}


@on_rollout(3)
async def test_lost_roll_back_is_not_tried_again(fleet: RolloutFleet) -> None:
    """Guards against a bad version that gets requests for a second time."""
    copied = await _async_copy(fleet)
    for engine in fleet.new_engines:
        engine.faults = ['', 'error'] * 1000
    await fleet.async_order()
    await fleet.async_until(lambda: fleet.state == 'rolled_back')
    await sleep(0.5)
    before = fleet.executed(fleet.new_engines)
    await _async_restore(fleet, copied)
    await sleep(STATUS_S)
    assert fleet.state == 'rolled_back'
    assert fleet.executed(fleet.new_engines) == before


@on_rollout(3)
async def test_order_that_the_copy_lacks_is_not_withdrawn(
    fleet: RolloutFleet,
) -> None:
    """Guards against a good version given up since its order is missing."""
    copied = await _async_copy(fleet)
    await fleet.async_order(duration_s=20)
    await fleet.async_until(lambda: fleet.state == 'running')
    copied.stored_objects['servers'] = fleet.store.copy().stored_objects[
        'servers'
    ]
    await fleet.store.async_restore(copied)
    await sleep(1)
    before = fleet.executed(fleet.new_engines)
    await sleep(2)
    assert fleet.executed(fleet.new_engines) > before
