"""Memory of a gateway process whose engines send without end, many at once."""

from contextlib import AsyncExitStack, suppress

import pytest
from curio import TaskGroup, run, sleep, spawn
from result import Ok

from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from tests.platform.fleet import TOKEN_COUNTS, make_request
from tests.platform.gateway_process import (
    GatewayProcess,
    async_is_ready,
    started_process,
)
from tests.platform.standins import (
    REQUEST_ID_HEADER,
    SEAL_HEADER,
    EngineStandin,
    StoreStandin,
    document,
)

DESCRIPTORS = 1024
# As the settings of a deployment state it.
MEMORY_MB = 152
CALLS = 120
SLOTS = 60
CALL_MS = 20_000
SOUND_CALLS = 10
SOUND_GAP_S = 0.2
LARGE_CALLS = 40
# As many as an address for short calls serves at once.
FLOOD = 60
UNFINISHED_REQUEST = (
    b'POST /seats/pay/x HTTP/1.1\r\nhost: walks.example\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)
LARGE_BODY = bytes(range(251)) * 16_500


async def _async_make_store(
    engine_type: type[EngineStandin], fault: str
) -> StoreStandin:
    """Make a store that lists two engines with a fault, and a sound one."""
    store = StoreStandin()
    stored = document()
    for route in stored['routes']:
        route.update(target_latency_ms=5000, timeout_ms=CALL_MS, max_attempts=1)
        route['target_gap_ms'] = 5000
        if route['path_prefix'] == '/open/':
            route['service'] = 'sound'
    stored['services'][0]['engine']['slots'] = SLOTS
    stored['services'].append({'name': 'sound'})
    await store.async_put('config', 'main', stored)
    for service in ('desk', 'counter', 'sound'):
        for number in range(2):
            engine = engine_type(f'{service}-{number}')
            if service != 'sound':
                engine.faults = [fault] * CALLS * 2
            await engine.async_start()
            entry = engine.entry(service, slots=SLOTS)
            await store.async_put('servers', engine.name, entry)
    return store


async def _async_call(process: GatewayProcess, path: str, number: int) -> int:
    request = make_request(
        path,
        tokens=TOKEN_COUNTS if path == '/note/x' else '',
        hornbeamdeck_request_id=f'call-{path}-{number}',
        hornbeamdeck_deadline_ms=str(CALL_MS),
    )
    got = await async_fetch_on_new_connection(
        process.addresses.callers, request, timeout_ms=CALL_MS
    )
    return got.ok_value.status if isinstance(got, Ok) else 0


async def _async_call_sound(process: GatewayProcess) -> list[int]:
    statuses = []
    for number in range(SOUND_CALLS):
        await sleep(SOUND_GAP_S)
        statuses.append(await _async_call(process, '/open/x', number))
    return statuses


@pytest.mark.parametrize(
    ('path', 'fault'),
    [
        ('/seats/pay/x', 'endless_chunks'),
        ('/seats/pay/x', 'paced_chunks'),
        ('/seats/pay/x', 'stalled_body'),
        ('/seats/pay/x', 'endless_head'),
        ('/note/x', 'endless_chunks'),
        ('/note/x', 'stalled_event'),
        ('/note/x', 'endless_event'),
    ],
)
def test_many_endless_responses_stay_within_the_memory(
    path: str, fault: str
) -> None:
    """Guards against a process that engines fill until it is killed."""

    async def _async_scenario() -> None:
        store = await _async_make_store(EngineStandin, fault)
        async with started_process(
            store, DESCRIPTORS, memory_mb=MEMORY_MB
        ) as process:
            async with TaskGroup() as calls:
                for number in range(CALLS):
                    await calls.spawn(_async_call, process, path, number)
                sound = await spawn(_async_call_sound, process)
                statuses = await sound.join()
                peak_mb = process.peak_mb()
                await calls.cancel_remaining()
            assert peak_mb < MEMORY_MB
            assert statuses == [200] * SOUND_CALLS

    run(_async_scenario)


class _LargeEngine(EngineStandin):
    """An engine whose responses have nearly the largest size."""

    async def _async_run(
        self, request: HttpRequest, caller: ServerConnection, fault: str
    ) -> None:
        headers = {
            REQUEST_ID_HEADER: request.headers[REQUEST_ID_HEADER],
            SEAL_HEADER: 'seal',
        }
        await caller.async_respond(HttpResponse(200, headers, LARGE_BODY))


def test_many_large_responses_are_delivered_whole() -> None:
    """Guards against sound responses that are ended to make room."""

    async def _async_scenario() -> None:
        store = await _async_make_store(_LargeEngine, '')
        async with started_process(
            store, DESCRIPTORS, memory_mb=MEMORY_MB
        ) as process:
            async with TaskGroup() as calls:
                for number in range(LARGE_CALLS):
                    await calls.spawn(
                        _async_call, process, '/seats/pay/x', number
                    )
            assert calls.results == [200] * LARGE_CALLS
            assert process.peak_mb() < MEMORY_MB

    run(_async_scenario)


async def _async_send_body(address: Address, opened: AsyncExitStack) -> None:
    """Send a body without end, until the other side closes."""
    connected = await async_connect(address, timeout_ms=CALL_MS)
    sock = await opened.enter_async_context(connected.unwrap())
    with suppress(OSError):
        await sock.sendall(UNFINISHED_REQUEST)
        await sock.sendall(b'%x\r\n%b\r\n' % (len(LARGE_BODY), LARGE_BODY))


@pytest.mark.parametrize(
    'flooded', ['callers', 'ready', 'directory', 'metrics']
)
def test_many_unfinished_bodies_stay_within_the_memory(flooded: str) -> None:
    """Guards against callers that fill a process with bodies."""

    async def _async_scenario() -> None:
        store = await _async_make_store(EngineStandin, '')
        async with (
            started_process(store, DESCRIPTORS, memory_mb=MEMORY_MB) as process,
            AsyncExitStack() as opened,
        ):
            address = getattr(process.addresses, flooded)
            async with TaskGroup() as callers:
                for _ in range(FLOOD):
                    await callers.spawn(_async_send_body, address, opened)
            assert await async_is_ready(process.addresses)
            assert process.peak_mb() < MEMORY_MB

    run(_async_scenario)
