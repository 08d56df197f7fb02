"""Runs a fleet as separate processes on loopback ports that the OS assigns."""

import json
import pathlib
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any, Final, NamedTuple

import curio

from bench.server_process import (
    ServerProcess,
    kill_process,
    start_process,
    wait_until,
)
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.store_client import PlatformClient
from hornbeamdeck.const import ENCODING, KEY_CONFIGURATION
from hornbeamdeck.demo.configuration import make_configuration
from hornbeamdeck.membership.rendezvous import owner_of

ANY_PORT: Final = '127.0.0.1:0'
CALL_TIMEOUT_MS: Final = 5000
ROLE: Final = 'bench'


class ProcessFleetPlan(NamedTuple):
    """What to start; all fields but `module` mean the same as in FleetPlan.

    :param module: the module that `python -m` runs as an instance, followed by
        its first arguments.
    """

    instances: int = 3
    speeds: tuple[float, ...] = (1.0, 0.7, 0.5)
    policy: str = 'grant'
    max_running: int = 16
    max_prompt_tokens: int = 4096
    entries_ttl_ms: int = 200
    module: tuple[str, ...] = ('hornbeamdeck',)


class ProcessFleet(NamedTuple):
    """All processes of a benchmark."""

    plan: ProcessFleetPlan
    folder: pathlib.Path
    platform: ServerProcess
    engines: list[ServerProcess]
    booking: ServerProcess
    instances: list[ServerProcess]

    def start_instance(self, number: int) -> ServerProcess:
        """Start the instance with this number."""
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
        return start_process(
            self.folder,
            f'instance-{number}',
            ['serve', '--settings', str(path)],
            module=self.plan.module,
        )

    def wait_until_ready(self) -> None:
        """Wait until every instance is ready."""
        for instance in self.instances:
            wait_until(partial(_is_ready, instance.address))

    def owner_of(self, cell: str) -> int:
        """Return the index of the instance that owns a cell."""
        names = [f'instance-{each}' for each in range(len(self.instances))]
        owner = owner_of(cell, names)
        return names.index(str(owner))


@contextmanager
def process_fleet(plan: ProcessFleetPlan) -> Iterator[ProcessFleet]:
    """Start a fleet and kill all its processes at the end."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        started: list[ServerProcess] = []

        def _start_standin(kind: str, *arguments: str) -> ServerProcess:
            server = start_process(
                folder,
                f'{kind}-{len(started)}',
                ['standin', kind, *arguments],
            )
            started.append(server)
            return server

        fleet = ProcessFleet(
            plan=plan,
            folder=folder,
            platform=_start_standin('platform'),
            engines=[
                _start_standin('engine', f'--speed={speed}')
                for speed in plan.speeds
            ],
            booking=_start_standin('booking'),
            instances=[],
        )
        try:
            _configure(fleet)
            for number in range(plan.instances):
                fleet.instances.append(fleet.start_instance(number))
            fleet.wait_until_ready()
            yield fleet
        finally:
            for server in (*fleet.instances, *started):
                kill_process(server)


def fetch_json(address: Address, path: str, body: Any = None) -> Any:
    """Call an endpoint of a stand-in or an instance and parse its JSON."""
    method = 'GET' if body is None else 'PUT'
    encoded = b'' if body is None else json.dumps(body).encode(ENCODING)
    request = HttpRequest(method, path, '', {}, encoded)
    return json.loads(curio.run(_async_fetch, address, request))


async def async_put_json(address: Address, path: str, body: Any) -> Any:
    """Send JSON to a stand-in with PUT, from a curio task."""
    encoded = json.dumps(body).encode(ENCODING)
    request = HttpRequest('PUT', path, '', {}, encoded)
    return json.loads(await _async_fetch(address, request))


async def async_get_json(address: Address, path: str) -> Any:
    """Read JSON from an endpoint, from a curio task."""
    request = HttpRequest('GET', path, '', {}, b'')
    return json.loads(await _async_fetch(address, request))


async def _async_fetch(address: Address, request: HttpRequest) -> bytes:
    response = await async_fetch_on_new_connection(
        address,
        request,
        timeout_ms=CALL_TIMEOUT_MS,
    )
    return response.unwrap().body


def _is_ready(address: Address) -> bool:
    return bool(fetch_json(address, '/healthz')['state'] == 'ready')


def _configure(fleet: ProcessFleet) -> None:
    document = make_configuration(
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
