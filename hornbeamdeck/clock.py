"""Milliseconds since the machine started, and limits on how long work takes."""

import time
from collections.abc import Coroutine
from typing import Any, Final, TypeVar, cast

from curio import timeout_after

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('async_within', 'now_ms')

_NANOS_PER_MILLI: Final = 1_000_000

_Outcome = TypeVar('_Outcome')


def now_ms() -> float:
    """Tell the time since an arbitrary start, never set back.

    It runs on while the machine is suspended. On a clock that stands still
    meanwhile, a process that wakes would hold leases and proofs that ran out
    during its sleep for fresh.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NANOS_PER_MILLI


async def async_within(
    limit_ms: float,
    work: Coroutine[Any, Any, _Outcome],
) -> _Outcome:
    """Wait for work, at most so long.

    :param limit_ms: milliseconds.
    :raises curio.errors.TaskTimeout: where it was not done; it is cancelled.
    """
    return cast(
        _Outcome,
        await timeout_after(limit_ms / MILLIS_PER_SECOND, work),
    )
