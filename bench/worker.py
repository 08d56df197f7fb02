"""Calls an address continuously and counts the complete responses.

python -m bench.worker 127.0.0.1:8080 --seconds 5 --callers 8
"""

import json
from typing import Final

import curio
import fire

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.trace import TraceEntry

SHORT_CALL: Final = TraceEntry(
    at_ms=0,
    team='guides',
    tier='urgent',
    service='desk',
    deadline_ms=10_000,
    prompt_chars=120,
    output_tokens=1,
    is_stream=False,
)


async def _async_call_repeatedly(address: Address, until_ms: float) -> int:
    calls = 0
    while now_ms() < until_ms:
        record = await async_call(SHORT_CALL, calls, address)
        calls += record.is_complete
    return calls


async def _async_run_callers(
    address: Address, seconds: float, callers: int
) -> int:
    until_ms = now_ms() + seconds * 1000
    group = curio.TaskGroup()
    for _ in range(callers):
        await group.spawn(_async_call_repeatedly, address, until_ms)
    await group.join()
    return sum(group.results)


def run(address: str, seconds: float = 5, callers: int = 8) -> None:
    """Call the address and print the number of complete responses."""
    target = Address.from_text(address)
    calls = curio.run(_async_run_callers, target, seconds, callers)
    print(json.dumps({'calls': calls}))


if __name__ == '__main__':
    fire.Fire(run)
