"""Measures the bookings that are answered during a platform outage.

Half of them have an idempotency key that the caller chose, the others one that
an instance issued.

python -m bench.outage --json
"""

import json
from typing import Any, Final

import curio
import fire

from bench.processes import (
    ProcessFleet,
    ProcessFleetPlan,
    async_put_json,
    process_fleet,
)
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.configuration import team_key
from hornbeamdeck.demo.trace import TraceEntry

OUTAGE_S: Final = 30.0
CALLS_PER_S: Final = 10
SWITCHES: Final = '/standin/switches'
TEAM: Final = 'families'


async def _async_issue_key(address: Address) -> str:
    headers = {'authorization': f'Bearer {team_key(TEAM)}'}
    response = await async_fetch_on_new_connection(
        address,
        HttpRequest('POST', '/v1/idempotency-keys', '', headers, b''),
        timeout_ms=2000,
    )
    return str(json.loads(response.unwrap().body)['idempotency_key'])


async def _async_book(
    fleet: ProcessFleet,
    number: int,
    is_issued: bool,
    counts: dict[str, int],
) -> None:
    instances = fleet.instances
    kind = 'system_issued' if is_issued else 'callers_own'
    key = f'own-{number}'
    if is_issued:
        key = await _async_issue_key(instances[number % len(instances)].address)
    entry = TraceEntry(
        at_ms=0,
        team=TEAM,
        tier='urgent',
        service='counter',
        deadline_ms=3000,
        path='/bookings',
        idempotency_key=key,
    )
    # The booking goes to another instance than the one that issued its key, as
    # a caller's repeated request would.
    address = instances[(number + 1) % len(instances)].address
    record = await async_call(entry, number, address)
    counts[f'{kind}_asked'] = counts.get(f'{kind}_asked', 0) + 1
    counts[kind] = counts.get(kind, 0) + record.is_complete


async def _async_book_in_outage(
    fleet: ProcessFleet, seconds: float
) -> dict[str, int]:
    platform = fleet.platform.address
    await async_put_json(platform, SWITCHES, {'is_down': True})
    counts: dict[str, int] = {}
    group = curio.TaskGroup()
    for number in range(int(seconds * CALLS_PER_S)):
        is_issued = bool(number % 2)
        await group.spawn(_async_book, fleet, number, is_issued, counts)
        await curio.sleep(1 / CALLS_PER_S)
    await group.join()
    await async_put_json(platform, SWITCHES, {'is_down': False})
    return counts


def run(seconds: float = OUTAGE_S, json: bool = False) -> None:
    """Make bookings with alternating kinds of key during an outage."""
    with process_fleet(ProcessFleetPlan(speeds=(1.0,))) as fleet:
        figures: dict[str, Any] = curio.run(
            _async_book_in_outage, fleet, seconds
        )
    for kind in ('callers_own', 'system_issued'):
        share = figures.get(kind, 0) / figures[f'{kind}_asked']
        figures[f'{kind}_share'] = round(share, 4)
    print(_to_json(figures) if json else figures)


def _to_json(figures: dict[str, Any]) -> str:
    return json.dumps(figures)


if __name__ == '__main__':
    fire.Fire(run)
