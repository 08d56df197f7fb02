"""A part of prompts that crashes engines, in requests that differ otherwise.

Sound requests share the caller and the other parts of their prompts.
"""

from curio import TaskGroup, sleep

from hornbeamdeck.connection.http import HttpRequest
from tests.platform.crashing_engines import (
    DOWN_S,
    CrashingFleet,
    async_restart_all,
)
from tests.platform.fleet import PlatformFleet, on_platform

ENGINES = 8
# After this many engines have ended under one part, as many more requests with
# it as `MAX_LATER` may reach engines.
MAX_CRASHES = 5
MAX_LATER = 3
SHARED_PART = 'a1'
MARKED_PART = 'bad'
MARKED_REQUESTS = 20
MARKED_INTERVAL_S = DOWN_S / 5
SOUND_INTERVAL_S = DOWN_S / 20
# Of the sound requests, at the end of a run.
MIN_SERVED_SHARE = 0.9


def _has_marked_part(request: HttpRequest) -> bool:
    return f'{MARKED_PART}:' in request.headers['hornbeamdeck-prompt-prefix']


class _Callers:
    """Callers that send requests with and without the marked part."""

    def __init__(self, crashing: CrashingFleet) -> None:
        # Of the sound requests, in order.
        self.statuses: list[int] = []
        self._crashing = crashing
        self._has_ended = False

    async def async_run(self, marked: int = MARKED_REQUESTS) -> None:
        """Send marked requests one after another, and sound ones beside."""
        self._has_ended = False
        async with TaskGroup() as callers:
            await callers.spawn(self._async_send_sound)
            for number in range(marked):
                await callers.spawn(self.async_call, MARKED_PART, number)
                await sleep(MARKED_INTERVAL_S)
            self._has_ended = True

    def served_share_at_end(self) -> float:
        """Return the share of the last half of sound requests."""
        last_half = self.statuses[len(self.statuses) // 2 :]
        return last_half.count(200) / len(last_half)

    async def async_call(self, part: str, number: int) -> int:
        """Send a request with a part; return the status of its response."""
        own_part = f'{part}own{len(self.statuses)}x{number}'
        shared = (
            f'{SHARED_PART}:60,{part}:40,' if part else f'{SHARED_PART}:60,'
        )
        return await self._crashing.async_call(
            own_part.encode(),
            hornbeamdeck_prompt_prefix=f'{shared}{own_part}:10',
        )

    async def _async_send_sound(self) -> None:
        number = 0
        async with TaskGroup() as calls:
            while not self._has_ended:
                number += 1
                await calls.spawn(self._async_call_sound, number)
                await sleep(SOUND_INTERVAL_S)

    async def _async_call_sound(self, number: int) -> None:
        status = await self.async_call('', number)
        self.statuses.append(status)


@on_platform(count=3)
async def test_a_crashing_part_is_stopped_and_what_it_shares_is_served(
    fleet: PlatformFleet,
) -> None:
    """Guards against crashes that are counted for each request on its own."""
    crashing = CrashingFleet(fleet, _has_marked_part)
    await crashing.async_start(ENGINES)
    callers = _Callers(crashing)
    await callers.async_run()
    assert len(crashing.hits) <= MAX_CRASHES + MAX_LATER
    assert callers.served_share_at_end() >= MIN_SERVED_SHARE


@on_platform(count=3)
async def test_a_burst_of_a_crashing_part_is_stopped_and_others_are_served(
    fleet: PlatformFleet,
) -> None:
    """Guards against engines that end again after a burst has ended many."""
    crashing = CrashingFleet(fleet, _has_marked_part)
    await crashing.async_start(ENGINES)
    callers = _Callers(crashing)
    async with TaskGroup() as burst:
        for number in range(ENGINES):
            await burst.spawn(callers.async_call, MARKED_PART, 100 + number)
    in_burst = len(crashing.hits)
    assert in_burst > MAX_CRASHES
    await sleep(DOWN_S)
    await callers.async_run()
    assert len(crashing.hits) <= in_burst + MAX_LATER
    assert callers.served_share_at_end() >= MIN_SERVED_SHARE


@on_platform(count=3)
async def test_a_crashing_part_is_known_after_the_loss_of_all_instances(
    fleet: PlatformFleet,
) -> None:
    """Guards against engines that end again since all processes were lost."""
    crashing = CrashingFleet(fleet, _has_marked_part)
    await crashing.async_start(ENGINES)
    callers = _Callers(crashing)
    await callers.async_run()
    await async_restart_all(fleet)
    await callers.async_run()
    assert len(crashing.hits) <= MAX_CRASHES + MAX_LATER
    assert callers.served_share_at_end() >= MIN_SERVED_SHARE
