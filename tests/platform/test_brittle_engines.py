"""Engines that fall over when they reject too many requests in a second."""

from time import monotonic

from curio import TaskGroup, sleep

from hornbeamdeck.process.gateway import Gateway
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    load_at,
    on_platform,
)
from tests.platform.standins import EngineStandin

MOST_REJECTIONS = 5
# An engine may let fewer requests wait than its entry has slots.
ROOM = 1
DURATION_S = 4.0
CALLERS = 12
CALL_INTERVAL_S = 0.02
# Shorter than a caller of the tests waits for its response.
DEADLINE_MS = 1500
OWNER_CHANGE_INTERVAL_S = 0.8


async def _async_call_repeatedly(
    fleet: PlatformFleet, path: str, caller: int, gateway: int
) -> None:
    """Send requests one after another for a time."""
    end_s = monotonic() + DURATION_S
    number = 0
    while monotonic() < end_s:
        number += 1
        await fleet.async_call(
            path,
            gateway,
            tokens=TOKEN_COUNTS if path == '/guide/x' else '',
            hornbeamdeck_request_id=f'{caller}-{number}',
            hornbeamdeck_deadline_ms=str(DEADLINE_MS),
        )
        await sleep(CALL_INTERVAL_S)


async def _async_call_at_once(fleet: PlatformFleet, path: str) -> None:
    async with TaskGroup() as callers:
        for caller in range(CALLERS):
            gateway = caller % len(fleet.gateways)
            await callers.spawn(
                _async_call_repeatedly, fleet, path, caller, gateway
            )


@on_platform(count=2)
async def test_brittle_model_engines_do_not_fall_over(
    fleet: PlatformFleet,
) -> None:
    """Guards against offers that an engine rejects until it falls over."""
    for engine in fleet.model_engines:
        engine.event_gap_s = 0.05
        engine.limit_room(ROOM)
        engine.state_brittle(MOST_REJECTIONS)
    await _async_call_at_once(fleet, '/guide/x')
    assert [engine.falls for engine in fleet.model_engines] == [0, 0]


@on_platform(count=2)
async def test_brittle_engines_of_calls_do_not_fall_over(
    fleet: PlatformFleet,
) -> None:
    """Guards against calls beyond an engine's slots that it has no room for."""
    for engine in fleet.booking_engines:
        engine.event_gap_s = 0.03
        engine.limit_room(ROOM)
        engine.state_brittle(MOST_REJECTIONS)
    await _async_call_at_once(fleet, '/seats/x')
    assert [engine.falls for engine in fleet.booking_engines] == [0, 0]


@on_platform(count=3)
async def test_a_new_owner_knows_which_engines_are_brittle(
    fleet: PlatformFleet,
) -> None:
    """Guards against a limit that is lost with the owner that knew it."""
    brittle = fleet.booking_engines[0]
    brittle.state_brittle(MOST_REJECTIONS)
    fleet.booking_engines[1].faults = ['not_run'] * 100
    owner = fleet.owner
    others = [
        number
        for number, gateway in enumerate(fleet.gateways)
        if gateway is not owner
    ]
    assert (await fleet.async_call('/open/x', others[0])).status == 200
    await fleet.async_until(lambda: _knows_limit(owner, brittle))
    await owner.async_kill()
    await fleet.async_until(
        lambda: any(
            fleet.gateways[number].components.is_owner
            and _knows_limit(fleet.gateways[number], brittle)
            for number in others
        )
    )


def _knows_limit(gateway: Gateway, engine: EngineStandin) -> bool:
    per_s = load_at(gateway, engine).condition.rejections.per_s
    return per_s == MOST_REJECTIONS


@on_platform()
async def test_unreadable_limit_of_rejections_changes_nothing(
    fleet: PlatformFleet,
) -> None:
    """Guards against a limit that ends since a text is not a number."""
    engine = fleet.booking_engines[0]
    fleet.booking_engines[1].faults = ['not_run'] * 100
    engine.state_brittle(MOST_REJECTIONS)
    await fleet.async_call('/open/x')
    await fleet.async_until(lambda: _knows_limit(fleet.owner, engine))
    engine.state({'server-brittle': 'very'})
    await fleet.async_call('/open/x')
    assert _knows_limit(fleet.owner, engine)
    engine.state({})
    await fleet.async_call('/open/x')
    await fleet.async_until(lambda: not _knows_limit(fleet.owner, engine))


@on_platform(count=8)
async def test_brittle_engines_do_not_fall_over_with_their_owner(
    fleet: PlatformFleet,
) -> None:
    """Guards against a new owner that does not know of the last rejections."""
    engines = [EngineStandin(f'desk-{number}') for number in range(3, 7)]
    await fleet.async_replace_model_engines(engines)
    for engine in engines:
        engine.event_gap_s = 0.05
        engine.limit_room(2)
        engine.state_brittle(MOST_REJECTIONS - 1)
    ranked = fleet.ranked_gateways()
    async with TaskGroup() as callers:
        for caller in range(2 * CALLERS):
            await callers.spawn(
                _async_call_repeatedly,
                fleet,
                '/guide/x',
                caller,
                ranked[4 + caller % 4],
            )
        for owner in ranked[:4]:
            await sleep(OWNER_CHANGE_INTERVAL_S)
            await fleet.gateways[owner].async_kill()
    assert [engine.falls for engine in engines] == [0, 0, 0, 0]
    assert all(task.exception is None for task in callers.tasks)


@on_platform(count=3)
async def test_next_owners_know_limits_before_they_own(
    fleet: PlatformFleet,
) -> None:
    """Guards against grants before the first instance reports a limit."""
    brittle = fleet.booking_engines[0]
    brittle.state_brittle(MOST_REJECTIONS)
    fleet.booking_engines[1].faults = ['not_run'] * 100
    assert (await fleet.async_call('/open/x')).status == 200
    await fleet.async_until(
        lambda: all(_knows_limit(each, brittle) for each in fleet.gateways)
    )
