"""One request that crashes each engine which runs it, and is sent again."""

from curio import sleep

from tests.platform.crashing_engines import (
    DOWN_S,
    MARKED_BODY,
    CrashingFleet,
    async_restart_all,
    has_marked_body,
)
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, on_platform
from tests.platform.partitions import Cut, partition

ENGINES = 8
# A request that has crashed this many engines may reach as many more.
MAX_CRASHES = 3
MAX_REPEATS = 3
# So slow that hardly any other request meets a dead engine.
SLOW_INTERVAL_S = DOWN_S / 2
REPEATS = 12
# Longer than an instance looks whether an engine has ended.
CHECK_S = 0.3


async def _async_call_slowly(crashing: CrashingFleet, repeats: int) -> int:
    """Send the marked request and another one in turn.

    :returns: how many of the others were served.
    """
    served = 0
    for _ in range(repeats):
        await crashing.async_call(MARKED_BODY)
        served += await crashing.async_call() == 200
        await sleep(SLOW_INTERVAL_S)
    return served


@on_platform(count=3)
async def test_a_crashing_request_is_stopped_under_little_load(
    fleet: PlatformFleet,
) -> None:
    """Guards against crashes that count only if other requests notice them."""
    crashing = CrashingFleet(fleet, has_marked_body)
    await crashing.async_start(ENGINES)
    served = await _async_call_slowly(crashing, REPEATS)
    assert len(crashing.hits) <= MAX_CRASHES + MAX_REPEATS
    assert served == REPEATS


@on_platform(count=3)
async def test_a_crashing_request_is_known_after_the_loss_of_all_instances(
    fleet: PlatformFleet,
) -> None:
    """Guards against a verdict that lies only with processes that may die."""
    crashing = CrashingFleet(fleet, has_marked_body)
    await crashing.async_start(ENGINES)
    await _async_call_slowly(crashing, MAX_CRASHES)
    await async_restart_all(fleet)
    served = await _async_call_slowly(crashing, MAX_CRASHES)
    assert len(crashing.hits) <= MAX_CRASHES + MAX_REPEATS
    assert served == MAX_CRASHES


@on_platform()
async def test_broken_responses_of_engines_that_run_on_convict_nobody(
    fleet: PlatformFleet,
) -> None:
    """Guards against a request that is refused since its responses broke."""
    for engine in fleet.model_engines:
        engine.faults = ['reset'] * MAX_CRASHES
    for _ in range(MAX_CRASHES):
        got = await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
        assert got.status == 502
        await sleep(CHECK_S)
    got = await fleet.async_call('/guide/x', tokens=TOKEN_COUNTS)
    assert got.status == 200


@on_platform(count=3)
async def test_a_crashing_request_is_known_after_the_loss_of_its_owner(
    fleet: PlatformFleet,
) -> None:
    """Guards against a verdict that ends with the process that made it."""
    crashing = CrashingFleet(fleet, has_marked_body)
    await crashing.async_start(ENGINES)
    await _async_call_slowly(crashing, MAX_CRASHES)
    owner = fleet.owner
    fleet.store.is_silent = True
    await owner.async_kill()
    fleet.gateways.remove(owner)
    hits = len(crashing.hits)
    served = await _async_call_slowly(crashing, MAX_CRASHES)
    assert len(crashing.hits) == hits
    assert served == MAX_CRASHES


@on_platform(count=3)
async def test_a_crashing_request_is_stopped_behind_a_tunnel(
    fleet: PlatformFleet,
) -> None:
    """Guards against crashes that an instance without a path can't see."""
    crashing = CrashingFleet(fleet, has_marked_body)
    await crashing.async_start(ENGINES)
    with partition(fleet, {0, 1}, Cut.RESET):
        await _async_call_slowly(crashing, REPEATS)
    assert len(crashing.hits) <= MAX_CRASHES + MAX_REPEATS
