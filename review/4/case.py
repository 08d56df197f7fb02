"""Grants of callers that leave while the store is away are never given back.

Exit status: 1: the rule was broken; 0: it held; 2: the case could not run.
"""

import asyncio
import os
import pathlib
import sys
import time
from typing import Final, NamedTuple

from second.clients import Clients, Sent, Wish
from second.engines import Engine, EngineTerms
from second.fleet import Fleet
from second.operator import configuration, route, tenant
from second.record import Record
from second.store import Store

BROKEN: Final = 1
HELD: Final = 0
COULD_NOT_RUN: Final = 2
HAS_TROUBLE: Final = os.environ.get('TROUBLE') != '0'

GATEWAYS: Final = 3
STREAM_MS: Final = 12000
STREAM_OBJECTIVE_MS: Final = 500
STREAMS_PER_S: Final = 6
CALL_MS: Final = 1500
CALL_OBJECTIVE_MS: Final = 125
# As in the sheet of the course counter.
BOOKINGS_PER_S: Final = 15.8
LOOKUPS_PER_S: Final = 6.3
CALL_WORK_S: Final = 0.0225
EVENT_GAP_S: Final = 0.02
EVENTS: Final = 8
QUOTA: Final = 159315
FIELD: Final = Wish(
    'POST',
    'field',
    STREAMS_PER_S,
    STREAM_MS,
    leave_ms=STREAM_OBJECTIVE_MS / 2,
    counts='628,49',
)
BOOKING: Final = Wish(
    'POST', 'booking', BOOKINGS_PER_S, CALL_MS, leave_ms=CALL_OBJECTIVE_MS / 2
)
SEATS: Final = Wish(
    'GET', 'seats', LOOKUPS_PER_S, CALL_MS, leave_ms=CALL_OBJECTIVE_MS / 2
)
ADDED_LATER: Final = frozenset((BOOKING.route, SEATS.route))
# `platform_down`: 4.5 s, `give_up`: a share of 0.3 within half the objective.
OUTAGES: Final = 11
OUTAGE_S: Final = 4.5
GAP_S: Final = 2.0
LEAVING_SHARE: Final = 0.3
# After the last outage: stability_ms, and the time that is judged.
STABILITY_S: Final = 3.0
JUDGED_S: Final = 15.0
SETTLE_S: Final = 3.0
IDLE_S: Final = 4.5
# The rule: 20 or more requests, less than a quarter as often.
MIN_REQUESTS: Final = 20
LEAST_SHARE: Final = 0.25
FIRST_VERSION: Final = 3
SECOND_VERSION: Final = 8
MODEL: Final = (('slots', 9), ('kv_tokens', 639999), ('stride', 6))


class Parts(NamedTuple):
    """All that a run consists of."""

    store: Store
    fleet: Fleet
    clients: Clients
    record: Record


def _write_configuration(store: Store, version: int) -> None:
    times = {'timeout_ms': CALL_MS, 'target_latency_ms': CALL_OBJECTIVE_MS}
    routes = [
        route(
            FIELD.route,
            'streaming',
            'desk',
            timeout_ms=STREAM_MS,
            target_latency_ms=STREAM_OBJECTIVE_MS,
        )
    ]
    if version > FIRST_VERSION:
        routes += [
            route(BOOKING.route, 'non_idempotent', 'counter', **times),
            route(SEATS.route, 'idempotent', 'counter', **times),
        ]
    services = [
        {'name': 'desk', 'engine': dict(MODEL)},
        {'name': 'counter'},
    ]
    tenants = [tenant(QUOTA, QUOTA)]
    document = configuration(version, routes, services, tenants)
    store.put('config', 'main', document)


async def _async_start_engines(store: Store) -> list[Engine]:
    desk = EngineTerms('desk', slots=9, work_s=EVENT_GAP_S, events=EVENTS)
    counter = EngineTerms('counter', slots=6, work_s=CALL_WORK_S)
    engines = [Engine(f'i-desk-{each}', desk, store) for each in range(3)]
    engines.append(Engine('i-counter', counter, store))
    for engine in engines:
        await engine.async_start()
    return engines


async def _async_trouble(parts: Parts) -> None:
    for number in range(OUTAGES):
        parts.record.note(f'outage {number + 1} of the store begins')
        parts.store.is_silent = HAS_TROUBLE
        parts.clients.leaving_share = LEAVING_SHARE if HAS_TROUBLE else 0.0
        await asyncio.sleep(OUTAGE_S)
        parts.store.is_silent = False
        parts.clients.leaving_share = 0.0
        parts.record.note('the store is back, clients leave no more')
        await asyncio.sleep(GAP_S)


async def _async_begin(parts: Parts) -> None:
    """Start all traffic, and add the routes of the counter on the way."""
    parts.clients.start(FIELD)
    await asyncio.sleep(1)
    _write_configuration(parts.store, SECOND_VERSION)
    parts.record.note('the operator adds the routes of the counter')
    await asyncio.sleep(SETTLE_S)
    parts.clients.start(BOOKING)
    parts.clients.start(SEATS)
    await asyncio.sleep(SETTLE_S)


async def _async_play(parts: Parts) -> list[Sent]:
    """Play the case; return the requests that are judged."""
    await _async_begin(parts)
    await _async_trouble(parts)
    await asyncio.sleep(max(STABILITY_S - GAP_S, 0))
    judged_s = time.monotonic()
    parts.record.note('steady state; what is sent from here on is judged')
    await asyncio.sleep(JUDGED_S)
    until_s = time.monotonic()
    await parts.clients.async_end()
    return [
        each for each in parts.clients.sent if judged_s <= each.at_s <= until_s
    ]


def _share_served(sent: list[Sent]) -> float:
    return sum(each.is_served for each in sent) / max(len(sent), 1)


def _note_all(parts: Parts, engines: list[Engine]) -> None:
    ran = {run.request_id for engine in engines for run in engine.runs}
    for each in parts.clients.sent:
        parts.record.note(
            f'{each.request_id} /{each.route}/ to {each.gateway}: '
            f'{"left" if each.has_left else each.status}'
            f'{", run" if each.request_id in ran else ""}',
            each.at_s,
        )
    owner = parts.fleet.owner()
    loads = owner.log_entries('scheduler: load') if owner else []
    for load in loads[-2:]:
        parts.record.note(
            f'log of the owner, no request for {IDLE_S} s: {load["cell"]}, '
            f'[runs, slots, slowness] by engine: {load["engines"]}'
        )


def _judge(judged: list[Sent], record: Record) -> int:
    later = [each for each in judged if each.route in ADDED_LATER]
    first = [each for each in judged if each.route not in ADDED_LATER]
    later_share = _share_served(later)
    first_share = _share_served(first)
    record.note(
        f'judged: routes added later: {len(later)} requests, '
        f'{later_share:.3f} served; first routes: {len(first)} requests, '
        f'{first_share:.3f} served'
    )
    if len(later) < MIN_REQUESTS or not first_share:
        return COULD_NOT_RUN
    return BROKEN if later_share < LEAST_SHARE * first_share else HELD


async def _async_run(parts: Parts, engines: list[Engine]) -> int:
    if not await parts.fleet.async_start(GATEWAYS):
        parts.record.note('the gateways are not ready')
        return COULD_NOT_RUN
    parts.record.note(f'{GATEWAYS} gateways ready; trouble: {HAS_TROUBLE}')
    status = _judge(await _async_play(parts), parts.record)
    await asyncio.sleep(IDLE_S)
    _note_all(parts, engines)
    return status


async def _async_main() -> int:
    record = Record(pathlib.Path(__file__).parent)
    store = Store()
    await store.async_start()
    _write_configuration(store, FIRST_VERSION)
    engines = await _async_start_engines(store)
    fleet = Fleet(store.port)
    clients = Clients(lambda: fleet.gateways)
    try:
        status = await _async_run(Parts(store, fleet, clients, record), engines)
    finally:
        fleet.stop()
    record.note(f'exit status {status}')
    return status


if __name__ == '__main__':
    sys.exit(asyncio.run(_async_main()))
