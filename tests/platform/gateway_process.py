"""A gateway in a process of its own, with limits of the operating system."""

import json
import os
import random
import resource
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import IO, NamedTuple

from curio import sleep
from result import Ok

from hornbeamdeck.connection.address import Address, listen
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.platform.__main__ import SETTINGS_VARIABLE
from tests.platform.fleet import BOUNDS
from tests.platform.standins import EngineStandin, StoreStandin, document

READY_POLL_S = 0.05
READY_POLLS = 200
CALL_TIMEOUT_MS = 1000
KIB_PER_MIB = 1024
# Below the ports that operating systems choose for connections.
PROCESS_PORTS = range(20_000, 32_000)
READY = HttpRequest('GET', '/v1/ready', '', {'host': 'walks.example'}, b'')


class GatewayAddresses(NamedTuple):
    """Where a gateway process listens."""

    callers: Address
    ready: Address
    directory: Address
    peers: Address
    metrics: Address


async def async_is_ready(addresses: GatewayAddresses) -> bool:
    """Ask on a new connection, as the platform does."""
    got = await async_fetch_on_new_connection(
        addresses.ready, READY, timeout_ms=CALL_TIMEOUT_MS
    )
    return isinstance(got, Ok) and got.ok_value.status == 200


class GatewayProcess(NamedTuple):
    """A gateway process, and what it uses."""

    addresses: GatewayAddresses
    pid: int
    store: StoreStandin

    def peak_mb(self) -> float:
        """Return the most memory that the process has had resident."""
        status = Path(f'/proc/{self.pid}/status').read_text()
        fields = dict(line.split(':', 1) for line in status.splitlines())
        return int(fields['VmHWM'].removesuffix('kB')) / KIB_PER_MIB

    def count_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))


@asynccontextmanager
async def gateway_process(
    descriptors: int,
) -> AsyncIterator[GatewayAddresses]:
    """Run a store, engines and one gateway process until it is not needed.

    :param descriptors: how many the operating system lets the process open.
    """
    store = StoreStandin()
    await store.async_put('config', 'main', document())
    for name in ('counter-1', 'counter-2'):
        engine = EngineStandin(name)
        await engine.async_start()
        await store.async_put('servers', name, engine.entry('counter'))
    async with started_process(store, descriptors) as process:
        yield process.addresses


@asynccontextmanager
async def started_process(
    store: StoreStandin,
    descriptors: int,
    log: IO[bytes] | None = None,
    **changes: object,
) -> AsyncIterator[GatewayProcess]:
    """Run a store and one gateway process until it is not needed.

    :param log: a file that its log is written to; `None`: it is not kept.
    :param changes: settings that replace the defaults.
    """
    store_address = await store.async_start()
    addresses = GatewayAddresses(*await _async_find_free_addresses(5))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        settings = {
            **make_process_settings(addresses, store_address),
            **changes,
        }
        path.write_text(json.dumps(settings))
        process = start_process(path, descriptors, log)
        try:
            await async_wait_ready(addresses)
            yield GatewayProcess(addresses, process.pid, store)
        finally:
            process.kill()
            process.wait()


async def _async_find_free_addresses(count: int) -> Sequence[Address]:
    """Find ports that no connection is given before the process listens."""
    free: list[Address] = []
    while len(free) < count:
        address = Address('127.0.0.1', random.choice(PROCESS_PORTS))
        if address in free:
            continue
        with suppress(OSError):
            await listen(address).close()
            free.append(address)
    return free


def make_process_settings(
    addresses: GatewayAddresses, store: Address
) -> dict[str, object]:
    """Make the settings of a gateway process as a file holds them."""
    return {
        'instance_id': 'front-0',
        'availability_zone': 'z1',
        'address': str(addresses.callers),
        'ready_address': str(addresses.ready),
        'entries_address': str(addresses.directory),
        'peer_address': str(addresses.peers),
        'platform_address': str(store),
        'seed_peers': [],
        'fleet_secret': 'a-secret-for-the-tests',
        'is_first_start': True,
        'cores': 1,
        'metrics_port': addresses.metrics.port,
        'bounds': dict(BOUNDS),
    }


def start_process(
    settings: Path, descriptors: int, log: IO[bytes] | None = None
) -> subprocess.Popen[bytes]:
    """Start a gateway process.

    :param log: a file that its log is written to; `None`: it is not kept.
    """

    def _limit() -> None:
        limits = (descriptors, descriptors)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    return subprocess.Popen(  # noqa: S603
        [sys.executable, '-m', 'hornbeamdeck.platform'],
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        stdout=log or subprocess.DEVNULL,
        preexec_fn=_limit,
    )


async def async_wait_ready(addresses: GatewayAddresses) -> None:
    """Wait until a gateway process may get callers."""
    for _ in range(READY_POLLS):
        if await async_is_ready(addresses):
            return
        await sleep(READY_POLL_S)
    raise AssertionError('the gateway process was not ready in time')
