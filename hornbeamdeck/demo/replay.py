"""Replays a trace against a list of addresses."""

from collections.abc import Callable, Sequence
from typing import TypeAlias

from curio import TaskGroup, sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.demo.client import CallResult, async_call
from hornbeamdeck.demo.trace import TraceEntry

__all__ = ('async_replay_trace',)

OnResult: TypeAlias = Callable[[CallResult], None]


async def async_replay_trace(
    trace: Sequence[TraceEntry],
    addresses: Sequence[Address],
    on_result: OnResult,
) -> None:
    """Send each call at its time in the trace, round robin over addresses.

    :param on_result: called with the result of each call.
    """
    start_ms = now_ms()

    async def _async_send_entry(number: int, entry: TraceEntry) -> None:
        address = addresses[number % len(addresses)]
        on_result(await async_call(entry, number, address))

    async with TaskGroup() as calls:
        for number, entry in enumerate(trace):
            wait_ms = start_ms + entry.at_ms - now_ms()
            await sleep(max(wait_ms, 0) / MILLIS_PER_SECOND)
            await calls.spawn(_async_send_entry, number, entry)
