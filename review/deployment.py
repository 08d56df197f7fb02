"""The project's processes, started as the deploy file says."""

import asyncio
import json
import logging
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

from http_messages import OK, Message, async_exchange, encode

DEPLOY_FILE: Final = 'deploy/system.toml'
DEPENDENCIES: Final = 'target/deps'
SETTINGS_VARIABLE: Final = 'HORNBEAMDECK_NODE_FILE'
READY_LIMIT_S: Final = 1.0
POLL_S: Final = 0.2
START_POLLS: Final = 100
# Exit status of a case that couldn't run.
NOT_RUN: Final = 2
FIRST_PORT: Final = 18_000
LAST_PORT: Final = 30_000
PORTS: Final = range(FIRST_PORT, LAST_PORT)
# As the pages of the small deployments state them.
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
    ('quota_slack', 140_000),
    ('quota_overage', 0.1),
    ('entries_ttl_ms', 2000),
)


class Ports(NamedTuple):
    """Ports of a machine, the same on all machines."""

    front: int
    ready: int
    directory: int
    control: int
    metrics: int


class Machine:
    """One of the project's processes, with a loopback address of its own."""

    def __init__(self, index: int, ports: Ports, folder: Path) -> None:
        """Name the machine; nothing is started."""
        self.name = f'front-{index}'
        self.host = f'127.0.1.{index + 1}'
        self.ports = ports
        self.settings = folder / f'{self.name}.json'
        self.log = folder / f'{self.name}.log'
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid if self._process else 0

    def write_settings(
        self, platform: str, seeds: Sequence[str], **fields: Any
    ) -> None:
        """Fill in the template of the deploy file."""
        filled = {
            'instance_id': self.name,
            'availability_zone': 'zone-a',
            'address': f'{self.host}:{self.ports.front}',
            'ready_address': f'{self.host}:{self.ports.ready}',
            'entries_address': f'{self.host}:{self.ports.directory}',
            'peer_address': f'{self.host}:{self.ports.control}',
            'metrics_port': self.ports.metrics,
            'platform_address': platform,
            'seed_peers': list(seeds),
            'fleet_secret': 'replace-this-with-a-secret-of-the-fleet',
            'is_first_start': True,
            'cores': 0.731,
            'memory_mb': 222,
            'bounds': dict(BOUNDS),
            'rollouts': None,
            **fields,
        }
        self.settings.write_text(json.dumps(filled))

    def start(self, descriptors: int) -> None:
        """Start the process.

        :param descriptors: how many it may have open.
        """
        deploy = tomllib.loads(Path(DEPLOY_FILE).read_text())
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(Path(DEPENDENCIES).resolve()),
            SETTINGS_VARIABLE: str(self.settings),
        }

        def _limit() -> None:
            limits = (descriptors, descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

        with self.log.open('ab') as log:
            self._process = subprocess.Popen(
                deploy['roles']['front']['run'].split(' '),
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_limit,
            )

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    async def async_is_ready(self) -> bool:
        """Ask as the platform does, on a new connection."""
        message = await self.async_get(self.ports.ready, '/v1/ready')
        return message is not None and message.status == OK

    async def async_get(self, port: int, target: str) -> Message | None:
        """Make a plain call on a new connection."""
        request = encode(f'GET {target} HTTP/1.1', {'Host': self.host})
        return await async_exchange(self.host, port, request, READY_LIMIT_S)

    async def async_wait_ready(self) -> bool:
        """Wait until the process is ready; return whether it is."""
        for _ in range(START_POLLS):
            if await self.async_is_ready():
                return True
            await asyncio.sleep(POLL_S)
        return False


def end_on_sigterm() -> None:
    """Leave as usual on SIGTERM, so that all processes are ended."""

    def _leave(_number: int, _frame: object) -> None:
        # The connections of the stand-ins end with the case.
        logging.disable()
        sys.exit(NOT_RUN)

    signal.signal(signal.SIGTERM, _leave)


def free_ports(count: int) -> list[int]:
    """Find ports that are free on all loopback addresses used here.

    They are below those that the system gives to outgoing connections, one of
    which could take a port before its process has started.
    """
    ports: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        if len(ports) < count and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('', port))
        except OSError:
            return False
    return True
