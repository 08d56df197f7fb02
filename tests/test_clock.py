"""Tests of time limits in a process that is busy."""

import time
from collections.abc import Awaitable, Callable

import pytest
from curio import Event, Kernel, sleep, spawn
from curio.errors import TaskTimeout

from hornbeamdeck.clock import async_with_timeout

INNER_MS = 100
OUTER_MS = 120
LATE_MS = 3000
# While the process is busy, the inner limit passes, then the outer one.
BUSY_S = 0.09, 0.105, 0.13


async def _async_wait(event: Event, *limits_ms: int) -> str:
    """Wait for an event within limits, the innermost first, then go on.

    :returns: how many of the limits were found to have passed.
    """
    if not limits_ms:
        await event.wait()
        return 'none'
    *inner_ms, limit_ms = limits_ms

    async def _async_go_on() -> str:
        passed = await _async_wait(event, *inner_ms)
        await sleep(0.5)
        return passed

    work = _async_go_on() if inner_ms else _async_wait(event)
    try:
        return await async_with_timeout(limit_ms, work)
    except TaskTimeout:
        return f'{len(limits_ms)} of {limit_ms} ms'


def _in_busy_process(wait: Callable[[Event], Awaitable[str]]) -> str:
    """Return what a task finds that is ready when its limits pass."""
    started_s = time.monotonic()

    def _be_busy_until(moment_s: float) -> None:
        time.sleep(max(started_s + moment_s - time.monotonic(), 0))

    async def _async_run() -> str:
        event = Event()

        async def _async_be_busy() -> None:
            await event.wait()
            _be_busy_until(BUSY_S[2])

        await spawn(_async_be_busy, daemon=True)
        waiting = await spawn(wait, event)
        await sleep(0)
        _be_busy_until(BUSY_S[0])
        await event.set()
        _be_busy_until(BUSY_S[1])
        return str(await waiting.join())

    with Kernel() as kernel:
        return str(kernel.run(_async_run))


@pytest.mark.parametrize(
    ('limits_ms', 'found'),
    [
        ((INNER_MS, OUTER_MS), '2 of 120 ms'),
        ((INNER_MS, OUTER_MS, LATE_MS), '2 of 120 ms'),
        ((INNER_MS, LATE_MS, OUTER_MS), '3 of 120 ms'),
    ],
    ids=['outer', 'middle', 'outermost'],
)
def test_limit_that_passes_in_a_busy_process_is_found(
    limits_ms: tuple[int, ...], found: str
) -> None:
    """Guards against requests that end without a response in a stall."""
    assert _in_busy_process(lambda event: _async_wait(event, *limits_ms)) == (
        found
    )
