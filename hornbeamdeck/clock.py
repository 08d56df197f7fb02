"""Milliseconds since the machine started, and time limits for coroutines."""

import time
from collections.abc import Coroutine
from typing import Any, Final, TypeVar, cast

from curio import timeout_after
from curio.errors import (
    TaskTimeout,
    TimeoutCancellationError,
    UncaughtTimeoutError,
)

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('async_with_timeout', 'now_ms', 'wall_ms')

_NANOS_PER_MILLI: Final = 1_000_000

_Returned = TypeVar('_Returned')


def now_ms() -> float:
    """Return a monotonic time in milliseconds, from an arbitrary start.

    The clock continues while the machine is suspended. With a clock that
    stops, a process that resumes would treat leases and freshness
    confirmations that expired meanwhile as valid.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOS_PER_MILLI


def wall_ms() -> int:
    """Return the time of day in Unix milliseconds; it may jump."""
    return time.time_ns() // _NANOS_PER_MILLI


async def async_with_timeout(
    limit_ms: float,
    work: Coroutine[Any, Any, _Returned],
) -> _Returned:
    """Run a coroutine with a time limit and return its result.

    :param limit_ms: milliseconds.
    :raises curio.errors.TaskTimeout: if the limit passed; the coroutine is
        cancelled.
    """
    until_ms = now_ms() + limit_ms
    try:
        return cast(
            _Returned,
            await timeout_after(limit_ms / MILLIS_PER_SECOND, work),
        )
    except UncaughtTimeoutError as error:
        # An inner limit passed while the task was ready to run, and this one,
        # or one around it, before it ran: the process was busy. curio finds no
        # limit that had passed by then, and the task would end without a trace
        # for whoever waits for its response.
        passed_s = time.monotonic()
        if now_ms() < until_ms:
            raise TimeoutCancellationError(passed_s) from error
        raise TaskTimeout(passed_s) from error
