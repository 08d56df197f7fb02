"""Runs a fleet as separate processes on loopback ports from the system."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final, NamedTuple

import curio

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.platform import PlatformClient
from hornbeamdeck.const import ENCODING, KEY_CONFIGURATION
from hornbeamdeck.demo.document import make_document
from hornbeamdeck.process.metrics import Metrics
from hornbeamdeck.process.rendezvous import owner_of

ANY_PORT: Final = '127.0.0.1:0'
START_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.05
CALL_TIMEOUT_MS: Final = 5000
ROLE: Final = 'bench'


class Plan(NamedTuple):
    """What to start; the fields mean what they mean in the demo's fleet."""

    instances: int = 3
    speeds: tuple[float, ...] = (1.0, 0.7, 0.5)
    policy: str = 'grant'
    max_running: int = 16
    max_prompt_tokens: int = 4096
    entries_ttl_ms: int = 200


class Running(NamedTuple):
    """One started process."""

    process: subprocess.Popen[bytes]
    log: pathlib.Path
    address: Address

    def cpu_s(self) -> float:
        """Tell the processor time used so far, seconds."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def resident_kib(self) -> int:
        """Tell the resident memory, KiB."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(
            each for each in status.splitlines() if each.startswith('VmRSS')
        )
        return int(line.split()[1])

    def log_events(self) -> Iterator[dict[str, Any]]:
        """Read what the process has logged."""
        for line in self.log.read_text().splitlines():
            if line.startswith('{'):
                yield json.loads(line)


class ProcessFleet(NamedTuple):
    """All processes of a bench."""

    plan: Plan
    folder: pathlib.Path
    platform: Running
    engines: list[Running]
    booking: Running
    instances: list[Running]

    def start_instance(self, number: int) -> Running:
        """Start one more instance."""
        settings = {
            'instance_id': f'instance-{number}',
            'availability_zone': f'zone-{number % 3}',
            'address': ANY_PORT,
            'peer_address': ANY_PORT,
            'platform_address': str(self.platform.address),
            'fleet_secret': 'bench-fleet-secret',
            'operator_token': 'bench-operator-token',
            'policy': self.plan.policy,
            'entries_ttl_ms': self.plan.entries_ttl_ms,
        }
        path = self.folder / f'instance-{number}.json'
        path.write_text(json.dumps(settings))
        started = _start(
            self.folder,
            f'instance-{number}',
            ['serve', '--settings', str(path)],
        )
        self.instances.append(started)
        return started

    def wait_ready(self) -> None:
        """Wait until every instance has the configuration."""
        for instance in self.instances:
            _wait_for(lambda: _is_ready(instance.address))

    def owner_of(self, cell: str) -> int:
        """Find the index of the instance that owns a cell."""
        names = [f'instance-{each}' for each in range(len(self.instances))]
        owner = owner_of(cell, names)
        return names.index(str(owner))


@contextmanager
def process_fleet(plan: Plan) -> Iterator[ProcessFleet]:
    """Start a fleet, and end every process of it."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        started: list[Running] = []

        def _standin(kind: str, *more: str) -> Running:
            running = _start(
                folder,
                f'{kind}-{len(started)}',
                ['standin', kind, *more],
            )
            started.append(running)
            return running

        fleet = ProcessFleet(
            plan=plan,
            folder=folder,
            platform=_standin('platform'),
            engines=[
                _standin('engine', f'--speed={speed}') for speed in plan.speeds
            ],
            booking=_standin('booking'),
            instances=[],
        )
        try:
            _configure(fleet)
            for number in range(plan.instances):
                fleet.start_instance(number)
            fleet.wait_ready()
            yield fleet
        finally:
            for running in (*fleet.instances, *started):
                _end(running)


def ask(address: Address, path: str, body: Any = None) -> Any:
    """Call a stand-in's or an instance's own page and read its JSON."""
    method = 'GET' if body is None else 'PUT'
    encoded = b'' if body is None else json.dumps(body).encode(ENCODING)
    request = HttpRequest(method, path, '', {}, encoded)
    return json.loads(curio.run(_async_ask, address, request))


async def _async_ask(address: Address, request: HttpRequest) -> bytes:
    opened = await ClientConnection.async_open(
        address,
        timeout_ms=CALL_TIMEOUT_MS,
    )
    connection = opened.unwrap()
    got = await connection.async_fetch(request)
    await connection.async_close()
    return got.unwrap().body


def _start(folder: pathlib.Path, name: str, arguments: list[str]) -> Running:
    log = folder / f'{name}.log'
    with log.open('wb') as sink:
        process = subprocess.Popen(
            [sys.executable, '-m', 'hornbeamdeck', *arguments],
            stdout=subprocess.DEVNULL,
            stderr=sink,
        )
    running = Running(process, log, Address('127.0.0.1', 0))
    _wait_for(lambda: _listening(running) is not None)
    address = _listening(running)
    return running._replace(address=Address.from_text(str(address)))


def _listening(running: Running) -> str | None:
    if running.process.poll() is not None:
        raise RuntimeError(running.log.read_text())
    for event in running.log_events():
        if 'listens' in event['event']:
            return str(event['address'])
    return None


def _wait_for(is_done: Any) -> None:
    until = time.monotonic() + START_TIMEOUT_S
    while not is_done():
        if time.monotonic() > until:
            raise TimeoutError('the fleet did not start')
        time.sleep(POLL_S)


def _is_ready(address: Address) -> bool:
    return bool(ask(address, '/healthz')['state'] == 'ready')


def _configure(fleet: ProcessFleet) -> None:
    document = make_document(
        [engine.address for engine in fleet.engines],
        [fleet.booking.address],
        max_running=fleet.plan.max_running,
        max_prompt_tokens=fleet.plan.max_prompt_tokens,
    )
    curio.run(_async_configure, fleet.platform.address, json.dumps(document))


async def _async_configure(address: Address, document: str) -> None:
    client = PlatformClient(address, calls=Metrics().platform_calls)
    written = await client.async_put(
        KEY_CONFIGURATION,
        document,
        expected=None,
        role=ROLE,
    )
    written.unwrap()
    await client.async_close()


def _end(running: Running) -> None:
    if running.process.poll() is None:
        running.process.send_signal(signal.SIGCONT)
        running.process.kill()
    running.process.wait()
