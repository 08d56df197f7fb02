"""Starts gateways by the command of the deploy file, and ends them."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess  # noqa: S404
import tempfile
import tomllib
from contextlib import suppress
from typing import Any, Final, NamedTuple

from second.messages import LOOPBACK, async_call

__all__ = ('Fleet', 'Gateway', 'kill_at_once')

REPOSITORY: Final = pathlib.Path(__file__).resolve().parents[2]
BOUNDS: Final = (
    ('stability_ms', 3000),
    ('drain_ms', 2000),
    ('grace_s', 8),
    ('configuration_apply_ms', 2000),
    ('revocation_ms', 5000),
    ('retry_ratio', 0.2),
    ('retry_window_s', 10),
    ('retry_slack', 113),
    ('quota_window_s', 8),
    ('quota_slack', 140000),
    ('quota_overage', 0.1),
    ('entries_ttl_ms', 2000),
)
PORT_RANGE: Final = (20000, 30000)
READY_OK: Final = 200
READY_POLL_S: Final = 0.1
READY_POLLS: Final = 150
PORTS: Final = ('address', 'ready_address', 'entries_address', 'peer_address')


class Gateway(NamedTuple):
    """One process of the project."""

    name: str
    settings: dict[str, Any]
    log: pathlib.Path
    process: 'subprocess.Popen[bytes]'

    @property
    def port(self) -> int:
        """Where clients connect."""
        return _port_of(self.settings['address'])

    @property
    def store_port(self) -> int:
        """Where it finds the store."""
        return _port_of(self.settings['platform_address'])

    async def async_is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        answer = await async_call(
            _port_of(self.settings['ready_address']),
            'GET /v1/ready HTTP/1.1',
            {'host': 'ready'},
            patience_s=1,
        )
        return answer is not None and answer.status == READY_OK

    def owner_since(self) -> str | None:
        """Return since when it is the owner, by its log; `None`: it is not.

        One that has been the owner since its start logs no change.
        """
        changes = self.log_entries('front: ownership changed')
        if not changes:
            return ''
        return changes[-1]['timestamp'] if changes[-1]['is_owner'] else None

    def log_entries(self, event: str) -> list[dict[str, Any]]:
        """Return its log lines of an event."""
        lines = self.log.read_text(errors='replace').splitlines()
        found = [json.loads(line) for line in lines if f'"{event}"' in line]
        return [each for each in found if each['event'] == event]


class Fleet:
    """All gateways of a deployment, in one zone."""

    def __init__(self, *store_ports: int) -> None:
        """Prepare a temporary folder.

        :param store_ports: where each of the gateways finds the store; the
            last one is for all that follow.
        """
        self.gateways: list[Gateway] = []
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self._store_ports = store_ports

    async def async_start(self, count: int) -> bool:
        """Start gateways; return whether all of them are ready in time."""
        for number in range(count):
            name = f'front-zone-a-{number + 1}'
            self._start_one(name, self._settings_of(name))
        for _ in range(READY_POLLS):
            ready = [await each.async_is_ready() for each in self.gateways]
            if all(ready):
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    def owner(self) -> Gateway | None:
        """Return the running gateway that became the owner last, if any."""
        since = {
            each.name: each.owner_since()
            for each in self.gateways
            if each.process.poll() is None
        }
        owners = {name: at for name, at in since.items() if at is not None}
        for gateway in self.gateways:
            if owners and gateway.name == max(owners, key=owners.__getitem__):
                return gateway
        return None

    def stop(self) -> None:
        """End all processes and remove the folder."""
        kill_at_once(self.gateways)
        shutil.rmtree(self._folder, ignore_errors=True)

    def restart(self, gateway: Gateway) -> Gateway:
        """Start a gateway that has ended again, as the platform does."""
        self.gateways.remove(gateway)
        settings = {**gateway.settings, 'is_first_start': False}
        return self._start_one(gateway.name, settings)

    def _start_one(self, name: str, settings: dict[str, Any]) -> Gateway:
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        log = self._folder / f'{name}.log'
        with log.open('wb') as output:
            process = subprocess.Popen(  # noqa: S603
                _command(),
                cwd=REPOSITORY,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
                    'HORNBEAMDECK_NODE_FILE': str(path),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        started = Gateway(name, settings, log, process)
        self.gateways.append(started)
        return started

    def _settings_of(self, name: str) -> dict[str, Any]:
        addresses = {field: f'{LOOPBACK}:{_free_port()}' for field in PORTS}
        first = self.gateways[0].settings if self.gateways else addresses
        number = min(len(self.gateways), len(self._store_ports) - 1)
        return {
            'instance_id': name,
            'availability_zone': 'zone-a',
            **addresses,
            'platform_address': f'{LOOPBACK}:{self._store_ports[number]}',
            'seed_peers': [first['peer_address']],
            'fleet_secret': 'replace-this-with-a-secret-of-the-fleet',
            'is_first_start': True,
            'cores': 0.731,
            'memory_mb': 222,
            'max_descriptors': 1000,
            'file_descriptors': 200,
            'metrics_port': _free_port(),
            'bounds': dict(BOUNDS),
        }


def kill_at_once(gateways: list[Gateway]) -> None:
    """Kill processes at the same moment."""
    for gateway in gateways:
        gateway.process.kill()
    for killed in gateways:
        killed.process.wait()


def _command() -> list[str]:
    deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
    return str(deploy['roles']['front']['run']).split(' ')


def _free_port() -> int:
    """Return a free port that the system gives no connection by itself."""
    while True:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            return port


def _port_of(address: str) -> int:
    return int(address.rpartition(':')[2])
