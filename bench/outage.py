"""Bookings answered while the platform is down, by kind of key.

python -m bench.outage --json
"""

import json
from typing import Any, Final

import curio
import fire

from bench.processes import Plan, ProcessFleet, async_put, process_fleet
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_once
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.demo.caller import async_call
from hornbeamdeck.demo.document import team_key
from hornbeamdeck.demo.trace import TraceEntry

OUTAGE_S: Final = 30.0
CALLS_PER_S: Final = 10
SWITCHES: Final = '/standin/switches'
TEAM: Final = 'families'


async def _async_issue(address: Address) -> str:
    headers = {'authorization': f'Bearer {team_key(TEAM)}'}
    got = await async_fetch_once(
        address,
        HttpRequest('POST', '/v1/idempotency-keys', '', headers, b''),
        timeout_ms=2000,
    )
    return str(json.loads(got.unwrap().body)['idempotency_key'])


async def _async_book(
    fleet: ProcessFleet,
    number: int,
    is_issued: bool,
    answered: dict[str, int],
) -> None:
    instances = fleet.instances
    kind = 'system_issued' if is_issued else 'callers_own'
    key = f'own-{number}'
    if is_issued:
        key = await _async_issue(instances[number % len(instances)].address)
    entry = TraceEntry(
        at_ms=0,
        team=TEAM,
        tier='urgent',
        service='counter',
        deadline_ms=3000,
        path='/bookings',
        idempotency_key=key,
    )
    # Sent to another instance than the issuer, as a caller's resend would be.
    address = instances[(number + 1) % len(instances)].address
    record = await async_call(entry, number, address)
    answered[f'{kind}_asked'] = answered.get(f'{kind}_asked', 0) + 1
    answered[kind] = answered.get(kind, 0) + record.is_whole


async def _async_outage(fleet: ProcessFleet, seconds: float) -> dict[str, int]:
    platform = fleet.platform.address
    await async_put(platform, SWITCHES, {'is_down': True})
    answered: dict[str, int] = {}
    group = curio.TaskGroup()
    for number in range(int(seconds * CALLS_PER_S)):
        is_issued = bool(number % 2)
        await group.spawn(_async_book, fleet, number, is_issued, answered)
        await curio.sleep(1 / CALLS_PER_S)
    await group.join()
    await async_put(platform, SWITCHES, {'is_down': False})
    return answered


def run(seconds: float = OUTAGE_S, json: bool = False) -> None:
    """Book by turns with both kinds of key during an outage."""
    with process_fleet(Plan(speeds=(1.0,))) as fleet:
        figures: dict[str, Any] = curio.run(_async_outage, fleet, seconds)
    for kind in ('callers_own', 'system_issued'):
        share = figures.get(kind, 0) / figures[f'{kind}_asked']
        figures[f'{kind}_share'] = round(share, 4)
    print(_to_json(figures) if json else figures)


def _to_json(figures: dict[str, Any]) -> str:
    return json.dumps(figures)


if __name__ == '__main__':
    fire.Fire(run)
