"""An owner that stood still vouches for what it has missed.

Exit status: 1: the rule was broken; 0: it held; 2: the case could not run.
"""

import asyncio
import os
import pathlib
import signal
import sys
from typing import Final, NamedTuple

from second.engines import Engine, EngineTerms
from second.fleet import Fleet, Gateway, kill_at_once
from second.operator import configuration, route, tenant
from second.record import Record
from second.store import Copy, Store
from second.streams import StreamClient

BROKEN: Final = 1
HELD: Final = 0
COULD_NOT_RUN: Final = 2
HAS_TROUBLE: Final = os.environ.get('TROUBLE') != '0'

GATEWAYS: Final = 3
OLD_ENGINES: Final = 2
STREAMS: Final = 15
BETWEEN_S: Final = 0.1
EVENTS: Final = 60
EVENT_GAP_S: Final = 0.1
DEADLINE_MS: Final = 12000
OBJECTIVE_MS: Final = 500
QUOTA: Final = 159315
VERSION: Final = 3
MODEL: Final = (('slots', 9), ('kv_tokens', 639999), ('stride', 6))
SETTLE_S: Final = 4.0
# `node_freeze`: one machine, 5 s at most; another one is owner after a second.
JOINS_S: Final = 1.5
BEGIN_S: Final = 0.7
LEAVES_S: Final = 0.2
KILL_S: Final = 0.5
# `herd_kill`: the others at once, for 1 s.
DOWN_S: Final = 1.0
# The rule: more than two streams.
MOST_STREAMS: Final = 2


class Parts(NamedTuple):
    """All that a run consists of."""

    store: Store
    fleet: Fleet
    record: Record
    clients: list[StreamClient]
    stopped: list[Gateway]


def _write_configuration(store: Store) -> None:
    document = configuration(
        VERSION,
        [
            route(
                'field',
                'streaming',
                'desk',
                timeout_ms=DEADLINE_MS,
                target_latency_ms=OBJECTIVE_MS,
                stream_resume=True,
            )
        ],
        [{'name': 'desk', 'engine': dict(MODEL)}],
        [tenant(QUOTA, QUOTA)],
    )
    store.put('config', 'main', document)


async def _async_start_engine(name: str, version: str, store: Store) -> Engine:
    terms = EngineTerms(
        'desk', slots=9, work_s=EVENT_GAP_S, events=EVENTS, version=version
    )
    engine = Engine(name, terms, store)
    await engine.async_start()
    return engine


async def _async_begin_streams(parts: Parts) -> list['asyncio.Task[None]']:
    tasks = []

    def _gateways() -> list[Gateway]:
        return [
            each for each in parts.fleet.gateways if each not in parts.stopped
        ]

    for _ in range(STREAMS):
        client = StreamClient(_gateways)
        parts.clients.append(client)
        tasks.append(asyncio.create_task(client.async_run()))
        await asyncio.sleep(BETWEEN_S)
    return tasks


async def _async_drill(parts: Parts, frozen: Gateway, copied: Copy) -> None:
    others = [each for each in parts.fleet.gateways if each != frozen]
    kill_at_once(others)
    parts.record.note('the others are killed; a drill of the store begins')
    await parts.store.async_restore(copied)
    frozen.process.send_signal(signal.SIGCONT)
    parts.record.note('the store is back from its copy; the owner goes on')
    await asyncio.sleep(DOWN_S)
    for gateway in others:
        parts.fleet.restart(gateway)
    parts.record.note('the others are started again')


async def _async_join(parts: Parts) -> Engine:
    await asyncio.sleep(JOINS_S)
    parts.record.note('an engine of v2 joins those of v1')
    return await _async_start_engine('i-newer', 'v2', parts.store)


async def _async_play(parts: Parts) -> None:
    owner = parts.fleet.owner() or parts.fleet.gateways[0]
    copied = parts.store.copy()
    parts.record.note('the store is copied')
    if HAS_TROUBLE:
        parts.record.note(f'{owner.name}, the owner, stands still')
        parts.stopped.append(owner)
        owner.process.send_signal(signal.SIGSTOP)
    newer = await _async_join(parts)
    await asyncio.sleep(BEGIN_S)
    tasks = await _async_begin_streams(parts)
    await asyncio.sleep(LEAVES_S)
    newer.leave()
    parts.record.note('its entry is removed; it serves on for a while')
    await asyncio.sleep(KILL_S)
    if HAS_TROUBLE:
        parts.stopped.clear()
        await _async_drill(parts, owner, copied)
    await asyncio.wait(tasks)


def _judge(parts: Parts) -> int:
    for number, client in enumerate(parts.clients, 1):
        parts.record.note(
            f'stream {number}: {len(client.events)} events of '
            f'{client.versions}, complete: {client.is_complete}; '
            f'tries: {client.tries}'
        )
    newer = [each for each in parts.clients if 'v2' in each.versions]
    joined = [each for each in newer if 'v1' in each.versions]
    parts.record.note(
        f'{len(newer)} streams have events of v2, {len(joined)} of these '
        f'hold events of v1, too; {MOST_STREAMS} may'
    )
    if len(newer) <= MOST_STREAMS:
        return COULD_NOT_RUN
    return BROKEN if len(joined) > MOST_STREAMS else HELD


async def _async_run(parts: Parts) -> int:
    if not await parts.fleet.async_start(GATEWAYS):
        parts.record.note('the gateways are not ready')
        return COULD_NOT_RUN
    parts.record.note(f'{GATEWAYS} gateways ready; trouble: {HAS_TROUBLE}')
    await asyncio.sleep(SETTLE_S)
    await _async_play(parts)
    return _judge(parts)


async def _async_main() -> int:
    record = Record(pathlib.Path(__file__).parent)
    store = Store()
    await store.async_start()
    _write_configuration(store)
    for number in range(OLD_ENGINES):
        await _async_start_engine(f'i-older-{number}', 'v1', store)
    fleet = Fleet(store.port)
    try:
        status = await _async_run(Parts(store, fleet, record, [], []))
    finally:
        fleet.stop()
    record.note(f'exit status {status}')
    return status


if __name__ == '__main__':
    sys.exit(asyncio.run(_async_main()))
