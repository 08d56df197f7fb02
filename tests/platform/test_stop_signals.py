"""A gateway process that is asked to stop more than once."""

import os
import signal

from curio import TaskGroup, run, sleep
from result import Ok

from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from tests.platform.fleet import make_request
from tests.platform.gateway_process import started_process
from tests.platform.standins import EngineStandin, StoreStandin, document

DESCRIPTORS = 400
CALLS = 8
CALL_S = 0.8
SIGNALS = 4
SIGNAL_GAP_S = 0.1
TIMEOUT_MS = 3000
UNFINISHED_REQUEST = (
    b'POST /seats/pay/x HTTP/1.1\r\nhost: walks.example\r\n'
    b'authorization: Bearer key-of-guides\r\n'
    b'hornbeamdeck-request-id: unfinished\r\n'
    b'hornbeamdeck-deadline-ms: 2000\r\ncontent-length: 4\r\n\r\nab'
)


async def _async_call(address: Address, number: int) -> int:
    request = make_request(
        '/seats/pay/x', hornbeamdeck_request_id=f'call-{number}'
    )
    got = await async_fetch_on_new_connection(
        address, request, timeout_ms=TIMEOUT_MS
    )
    return got.ok_value.status if isinstance(got, Ok) else 0


async def _async_send_slowly(address: Address) -> bytes:
    """Send the end of a body after the stop requests; return the response."""
    connected = await async_connect(address, timeout_ms=TIMEOUT_MS)
    async with connected.unwrap() as sock:
        await sock.sendall(UNFINISHED_REQUEST)
        await sleep(SIGNALS * SIGNAL_GAP_S + 0.2)
        await sock.sendall(b'cd')
        return bytes(await sock.recv(65_536))


def test_repeated_stop_signals_cut_off_no_call() -> None:
    """Guards against a second signal that ends the process at once."""

    async def _async_scenario() -> None:
        store = StoreStandin()
        await store.async_put('config', 'main', document())
        engines = [EngineStandin(f'counter-{number}') for number in range(2)]
        for engine in engines:
            engine.event_gap_s = CALL_S
            await engine.async_start()
            entry = engine.entry('counter', slots=CALLS)
            await store.async_put('servers', engine.name, entry)
        async with (
            started_process(store, DESCRIPTORS) as process,
            TaskGroup() as calls,
        ):
            address = process.addresses.callers
            tasks = [
                await calls.spawn(_async_call, address, number)
                for number in range(CALLS)
            ]
            unfinished = await calls.spawn(_async_send_slowly, address)
            await sleep(SIGNAL_GAP_S)
            for _ in range(SIGNALS):
                os.kill(process.pid, signal.SIGTERM)
                await sleep(SIGNAL_GAP_S)
        assert unfinished.result.startswith(b'HTTP/1.1 200')
        assert [task.result for task in tasks] == [200] * CALLS

    run(_async_scenario)
