"""Owners of cells that die, freeze or are cut off while requests wait."""

from curio import TaskGroup, sleep

from hornbeamdeck.demo.caller import CallRecord, async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.process.instance import Instance
from tests.support import desk_entry, on_fleet

WAITING = 50
PLAN = FleetPlan(speeds=(1.0,), max_running=2, max_prompt_tokens=512)


def _others(fleet: Fleet, owner: Instance) -> list[Instance]:
    return [each for each in fleet.instances if each is not owner]


async def _async_ask_others(
    group: TaskGroup,
    others: list[Instance],
) -> None:
    entry = desk_entry(deadline_ms=30_000, output_tokens=4)
    for number in range(WAITING):
        address = others[number % len(others)].own.address
        await group.spawn(async_call, entry, number, address)


async def _async_until_waiting(others: list[Instance], count: int) -> None:
    while sum(each.parts.grants.waiting for each in others) < count:
        await sleep(0.005)


def _assert_each_answered_once(
    fleet: Fleet,
    records: list[CallRecord],
) -> None:
    assert len(records) == WAITING
    assert all(record.is_whole for record in records)
    runs = fleet.runs_by_request()
    assert set(runs.values()) == {1}
    assert {record.request_id for record in records} == set(runs)


@on_fleet(PLAN)
async def test_owner_dies_with_fifty_waiting(fleet: Fleet) -> None:
    """The instance that hands out the places of the only engine dies while
    fifty guides' requests wait at the other two. No guide notices more than a
    short pause: each gets its own answer, and the engine ran each once.
    """
    owner = fleet.owner_of('desk')
    others = _others(fleet, owner)
    async with TaskGroup() as group:
        await _async_ask_others(group, others)
        await _async_until_waiting(others, WAITING - PLAN.max_running - 4)
        await owner.async_kill()
    _assert_each_answered_once(fleet, list(group.results))


@on_fleet(PLAN)
async def test_owner_freezes_with_fifty_waiting(fleet: Fleet) -> None:
    """The owner accepts connections and never answers again, as a stopped
    process does. Without heartbeats the requests that wait for it would all
    be late; so another instance takes over after about a second.
    """
    owner = fleet.owner_of('desk')
    others = _others(fleet, owner)

    async def _async_silent(*_args: object, **_named: object) -> None:
        await sleep(60)

    async with TaskGroup() as group:
        await _async_ask_others(group, others)
        await _async_until_waiting(others, WAITING - PLAN.max_running - 4)
        owner.parts.scheduler.async_receive = _async_silent  # type: ignore[method-assign]
    _assert_each_answered_once(fleet, list(group.results))


@on_fleet(PLAN)
async def test_new_owner_counts_runs_of_the_old(fleet: Fleet) -> None:
    """The owner dies while answers are under way. Unless their ingress
    instances tell the next owner of them, it takes the engine for idle and
    sends it twice what it can hold, and every guide's answer slows down.
    """
    owner = fleet.owner_of('desk')
    others = _others(fleet, owner)
    entry = desk_entry(output_tokens=150)
    async with TaskGroup() as group:
        for number in range(PLAN.max_running):
            await group.spawn(async_call, entry, number, others[0].own.address)
        while sum(fleet.runs_by_request().values()) < PLAN.max_running:
            await sleep(0.005)
        await owner.async_kill()
        await sleep(0.2)
        name = others[0].parts.membership.owner_of('desk')
        heir = next(each for each in others if each.own.instance_id == name)
        load = heir.parts.scheduler.cells['desk'].loads['engine-0']
        assert len(load.runs) == PLAN.max_running
    assert all(record.is_whole for record in group.results)


@on_fleet(PLAN)
async def test_owner_that_lost_the_cell_forgets_its_runs(
    fleet: Fleet,
) -> None:
    """One instance takes the owner for dead for a moment, as after a short
    break in the network, and turns to the next. The first owner lives on; when
    the cell comes back to it, it must not take the engine for full of answers
    that ended long ago.
    """
    owner = fleet.owner_of('desk')
    ingress = _others(fleet, owner)[0]
    address = ingress.own.address
    async with TaskGroup() as group:
        for number in range(PLAN.max_running):
            entry = desk_entry(output_tokens=60)
            await group.spawn(async_call, entry, number, address)
        load = owner.parts.scheduler.cells['desk'].loads['engine-0']
        while len(load.runs) < PLAN.max_running:
            await sleep(0.005)
        ingress.parts.membership.suspect(owner.own.instance_id)
        await ingress.parts.grants.async_review()
    assert all(record.is_whole for record in group.results)
    for _ in range(200):
        if not load.runs:
            break
        await sleep(0.01)
    assert not load.runs


@on_fleet(PLAN)
async def test_planned_stop_of_owner_cuts_nothing(fleet: Fleet) -> None:
    """An operator replaces the instance that owns the cell, while callers wait
    at it and at the others. Nobody's answer is cut off or refused.
    """
    owner = fleet.owner_of('desk')
    async with TaskGroup() as group:
        await _async_ask_others(group, fleet.instances)
        await _async_until_waiting(fleet.instances, WAITING // 2)
        cut_off = await owner.async_stop()
    assert cut_off == 0
    _assert_each_answered_once(fleet, list(group.results))
