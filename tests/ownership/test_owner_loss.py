"""Owners that stop, freeze or lose their cell while requests wait."""

from curio import TaskGroup, sleep

from hornbeamdeck.demo.client import CallResult, async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.process.instance import Instance
from tests.support import completion_entry, on_fleet

WAITING = 50
PLAN = FleetPlan(speeds=(1.0,), max_running=2, max_prompt_tokens=512)


def _others(fleet: Fleet, owner: Instance) -> list[Instance]:
    return [each for each in fleet.instances if each is not owner]


async def _async_send_requests(
    group: TaskGroup,
    instances: list[Instance],
) -> None:
    entry = completion_entry(deadline_ms=30_000, output_tokens=4)
    for number in range(WAITING):
        address = instances[number % len(instances)].own.address
        await group.spawn(async_call, entry, number, address)


async def _async_until_waiting(instances: list[Instance], count: int) -> None:
    while (
        sum(each.components.grants.waiting_count for each in instances) < count
    ):
        await sleep(0.005)


def _assert_each_ran_once(
    fleet: Fleet,
    records: list[CallResult],
) -> None:
    assert len(records) == WAITING
    assert all(record.is_complete for record in records)
    runs = fleet.runs_by_request()
    assert set(runs.values()) == {1}
    assert {record.request_id for record in records} == set(runs)


@on_fleet(PLAN)
async def test_owner_is_killed_with_fifty_waiting(fleet: Fleet) -> None:
    """The owner, which grants the slots of the only engine, is killed while
    fifty requests wait at the other two instances. Each request must get its
    own response after a short delay, and the engine must run each once.
    """
    owner = fleet.owner_of('desk')
    others = _others(fleet, owner)
    async with TaskGroup() as group:
        await _async_send_requests(group, others)
        await _async_until_waiting(others, WAITING - PLAN.max_running - 4)
        await owner.async_kill()
    _assert_each_ran_once(fleet, list(group.results))


@on_fleet(PLAN)
async def test_owner_freezes_with_fifty_waiting(fleet: Fleet) -> None:
    """The owner accepts connections but no longer responds, like a suspended
    process. Without liveness probes, all requests that wait for it would miss
    their deadlines. Another instance must become owner after about a second.
    """
    owner = fleet.owner_of('desk')
    others = _others(fleet, owner)

    async def _async_silent(*_args: object, **_named: object) -> None:
        await sleep(60)

    async with TaskGroup() as group:
        await _async_send_requests(group, others)
        await _async_until_waiting(others, WAITING - PLAN.max_running - 4)
        owner.components.scheduler.async_receive = _async_silent  # type: ignore[method-assign]
    _assert_each_ran_once(fleet, list(group.results))


@on_fleet(PLAN)
async def test_new_owner_counts_runs_of_the_old(fleet: Fleet) -> None:
    """The owner is killed while responses are being generated. If the ingress
    instances did not register these runs with the next owner, it would consider
    the engine idle and send it twice what it can hold, which slows down every
    response.
    """
    owner = fleet.owner_of('desk')
    others = _others(fleet, owner)
    entry = completion_entry(output_tokens=150)
    async with TaskGroup() as group:
        for number in range(PLAN.max_running):
            await group.spawn(async_call, entry, number, others[0].own.address)
        while sum(fleet.runs_by_request().values()) < PLAN.max_running:
            await sleep(0.005)
        await owner.async_kill()
        await sleep(0.2)
        name = others[0].components.membership.owner_of('desk')
        successor = next(
            each for each in others if each.own.instance_id == name
        )
        load = successor.components.scheduler.cells['desk'].loads['engine-0']
        assert len(load.runs) == PLAN.max_running
    assert all(record.is_complete for record in group.results)


@on_fleet(PLAN)
async def test_owner_that_lost_the_cell_forgets_its_runs(
    fleet: Fleet,
) -> None:
    """One instance suspects the owner for a moment, as after a short network
    failure, and uses the next owner. The first owner is still live. When it
    owns the cell again, it must not count runs that have ended and consider
    the engine full.
    """
    owner = fleet.owner_of('desk')
    ingress = _others(fleet, owner)[0]
    address = ingress.own.address
    async with TaskGroup() as group:
        for number in range(PLAN.max_running):
            entry = completion_entry(output_tokens=60)
            await group.spawn(async_call, entry, number, address)
        load = owner.components.scheduler.cells['desk'].loads['engine-0']
        while len(load.runs) < PLAN.max_running:
            await sleep(0.005)
        ingress.components.membership.suspect(owner.own.instance_id)
        await ingress.components.grants.async_move_to_current_owners()
    assert all(record.is_complete for record in group.results)
    for _ in range(200):
        if not load.runs:
            break
        await sleep(0.01)
    assert not load.runs


@on_fleet(PLAN)
async def test_graceful_shutdown_of_owner_breaks_no_request(
    fleet: Fleet,
) -> None:
    """An operator replaces the instance that owns the cell while callers wait
    at it and at the others. No response may be cut off or refused.
    """
    owner = fleet.owner_of('desk')
    async with TaskGroup() as group:
        await _async_send_requests(group, fleet.instances)
        await _async_until_waiting(fleet.instances, WAITING // 2)
        cut_off = await owner.async_stop()
    assert cut_off == 0
    _assert_each_ran_once(fleet, list(group.results))
