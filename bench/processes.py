"""Runs a fleet as separate processes on loopback ports from the system."""

import json
import pathlib
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, Final, NamedTuple

import curio

from bench.running import Running, end, start, wait_for
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_once
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.platform import PlatformClient
from hornbeamdeck.const import ENCODING, KEY_CONFIGURATION
from hornbeamdeck.demo.document import make_document
from hornbeamdeck.process.rendezvous import owner_of

ANY_PORT: Final = '127.0.0.1:0'
CALL_TIMEOUT_MS: Final = 5000
ROLE: Final = 'bench'


class Plan(NamedTuple):
    """What to start; the fields mean what they mean in the demo's fleet.

    :param module: what `python -m` runs as an instance, with first arguments.
    """

    instances: int = 3
    speeds: tuple[float, ...] = (1.0, 0.7, 0.5)
    policy: str = 'grant'
    max_running: int = 16
    max_prompt_tokens: int = 4096
    entries_ttl_ms: int = 200
    module: tuple[str, ...] = ('hornbeamdeck',)


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
        return start(
            self.folder,
            f'instance-{number}',
            ['serve', '--settings', str(path)],
            module=self.plan.module,
        )

    def wait_ready(self) -> None:
        """Wait until every instance has the configuration."""
        for instance in self.instances:
            wait_for(partial(_is_ready, instance.address))

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
            running = start(
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
                fleet.instances.append(fleet.start_instance(number))
            fleet.wait_ready()
            yield fleet
        finally:
            for running in (*fleet.instances, *started):
                end(running)


def ask(address: Address, path: str, body: Any = None) -> Any:
    """Call a stand-in's or an instance's own page and read its JSON."""
    method = 'GET' if body is None else 'PUT'
    encoded = b'' if body is None else json.dumps(body).encode(ENCODING)
    request = HttpRequest(method, path, '', {}, encoded)
    return json.loads(curio.run(_async_ask, address, request))


async def async_put(address: Address, path: str, body: Any) -> Any:
    """Change a stand-in, from within curio."""
    encoded = json.dumps(body).encode(ENCODING)
    request = HttpRequest('PUT', path, '', {}, encoded)
    return json.loads(await _async_ask(address, request))


async def async_get(address: Address, path: str) -> Any:
    """Read a page, from within curio."""
    request = HttpRequest('GET', path, '', {}, b'')
    return json.loads(await _async_ask(address, request))


async def _async_ask(address: Address, request: HttpRequest) -> bytes:
    got = await async_fetch_once(
        address,
        request,
        timeout_ms=CALL_TIMEOUT_MS,
    )
    return got.unwrap().body


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
    client = PlatformClient(address)
    written = await client.async_put(
        KEY_CONFIGURATION,
        document,
        expected=None,
        role=ROLE,
    )
    written.unwrap()
    await client.async_close()
