"""Measures what engines that send without end cost calls and memory.

`python -m bench.endless_responses` makes ten calls at once to a fleet in this
process, of which one engine in two misbehaves, for each fault and route. It
prints the statuses, the time of the last one and the growth of the process.
"""

import argparse
import pathlib
import time
from collections import Counter
from typing import Final, NamedTuple

from curio import Kernel

from tests.platform.endless import ENDLESS
from tests.platform.endless_calls import CALLS, async_call_at_once
from tests.platform.fleet import PlatformFleet

ROUTES: Final = ('/seats/x', '/seats/pay/x', '/guide/x', '/note/x')
KIB_PER_MIB: Final = 1024
# Makes the kernel record the largest memory of this process from now on.
RESET_PEAK: Final = '5'


class _Measured(NamedTuple):
    statuses: dict[int, int]
    last_s: float
    grown_mb: float


def _memory_mb(field: str) -> float:
    status = pathlib.Path('/proc/self/status').read_text()
    line = next(each for each in status.splitlines() if each.startswith(field))
    return int(line.split()[1]) / KIB_PER_MIB


async def _async_measure(fault: str, route: str) -> _Measured:
    fleet = PlatformFleet()
    await fleet.async_start(1)
    try:
        return await _async_measure_fleet(fleet, fault, route)
    finally:
        await fleet.async_stop()


async def _async_measure_fleet(
    fleet: PlatformFleet, fault: str, route: str
) -> _Measured:
    # The first calls take memory that the process keeps.
    await async_call_at_once(fleet, route)
    for engine in (fleet.model_engines[0], fleet.booking_engines[0]):
        engine.faults.extend(fault for _ in range(4 * CALLS))
    pathlib.Path('/proc/self/clear_refs').write_text(RESET_PEAK)
    before_mb = _memory_mb('VmRSS')
    started_s = time.monotonic()
    ends = await async_call_at_once(fleet, route)
    last_s = time.monotonic() - started_s
    grown_mb = _memory_mb('VmHWM') - before_mb
    return _Measured(Counter(ends.statuses), last_s, grown_mb)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--fault', choices=ENDLESS, action='append')
    parser.add_argument('--route', choices=ROUTES, action='append')
    arguments = parser.parse_args()
    for fault in arguments.fault or ENDLESS:
        for route in arguments.route or ROUTES:
            with Kernel() as kernel:
                measured = kernel.run(_async_measure, fault, route)
            print(
                f'{fault:18} {route:13} {measured.last_s:6.2f} s '
                f'{measured.grown_mb:6.1f} MB  {dict(measured.statuses)}',
                flush=True,
            )


if __name__ == '__main__':
    _main()
