"""Another writer leaves an odd entry among those of the engines."""

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path
from typing import Final

from configuration import HOST, KEY, SERVICE, make_configuration
from deployment import Machine, Ports, free_ports
from http_messages import OK, Message, async_exchange, encode
from record import Record
from standin_engine import Engine
from standin_store import Store

FOLDER: Final = Path(__file__).parent
LOOPBACK: Final = '127.0.0.1'
MACHINES: Final = 3
DESCRIPTORS: Final = 1535
ENGINES: Final = 3
DEADLINE_S: Final = 1.5
REQUESTS_PER_S: Final = 40
# When the other writer writes, when an engine reports `draining`, and the end.
WRITE_S: Final = 6.0
DRAIN_S: Final = 12.0
END_S: Final = 24.0
# `drain_ms` of the deployment.
DRAIN_BOUND_S: Final = 2.0
PLACEHOLDER: Final = 'zone of another type'
# The entry has 2.6 KB; `value_bytes` allows 1 MB.
DEPTH: Final = 1200
HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2


class Case:
    """The deployment and what is known of it."""

    def __init__(self, folder: Path) -> None:
        """Make everything that is started later."""
        ports = free_ports(len(Ports._fields) + ENGINES + 1)
        self.record = Record(FOLDER)
        self.store = Store()
        self.store_port = ports.pop()
        self.sent_s: dict[str, float] = {}
        self.runs: list[tuple[str, str, float]] = []
        self.answers: list[int] = []
        self.engines = [
            Engine(f'engine-{index}', self._record_run)
            for index in range(ENGINES)
        ]
        self.engine_ports = [ports.pop() for _ in self.engines]
        self.machines = [
            Machine(index, Ports(*ports), folder) for index in range(MACHINES)
        ]

    async def async_start(self) -> bool:
        """Start all; return whether every machine is ready."""
        await self.store.async_start(LOOPBACK, self.store_port)
        self.store.put('config', 'main', make_configuration(version=7))
        for engine, port in zip(self.engines, self.engine_ports, strict=True):
            await engine.async_start(LOOPBACK, port)
            self.store.put('servers', engine.name, engine.entry(SERVICE))
        seeds = [f'{each.host}:{each.ports.control}' for each in self.machines]
        for machine in self.machines:
            platform = f'{LOOPBACK}:{self.store_port}'
            machine.write_settings(platform, seeds)
            machine.start(DESCRIPTORS)
        ready = [await each.async_wait_ready() for each in self.machines]
        return all(ready)

    def write_odd_entry(self) -> None:
        """Write an entry whose zone is a list, and not a text."""
        self.store.verbatim[PLACEHOLDER] = '[' * DEPTH + ']' * DEPTH
        odd = self.engines[0].entry(
            SERVICE,
            zone=PLACEHOLDER,
        )
        self.store.put('servers', 'from-another-writer', odd)
        self.record.write('odd entry written')

    def drain(self, engine: Engine) -> float:
        """Report that an engine is draining; return when that was accepted."""
        draining = engine.entry(SERVICE, state='draining')
        self.store.put('servers', engine.name, draining)
        self.record.write('draining', engine=engine.name)
        return self.record.now_s

    async def async_ask(self, machine: Machine, request_id: str) -> None:
        """Send a request on a new connection."""
        self.sent_s[request_id] = self.record.now_s
        self.record.write('sent', request=request_id, machine=machine.name)
        headers = {
            'Host': HOST,
            'Hornbeamdeck-Request-Id': request_id,
            'Hornbeamdeck-Deadline-Ms': int(DEADLINE_S * 1000),
            'Authorization': f'Bearer {KEY}',
        }
        answer = await async_exchange(
            machine.host,
            machine.ports.front,
            encode('GET /seats/1 HTTP/1.1', headers),
            DEADLINE_S,
        )
        status = 0 if answer is None else answer.status
        self.answers.append(status)
        self.record.write('answer', request=request_id, status=status)

    def _record_run(self, engine: str, request: Message) -> None:
        request_id = request.headers['hornbeamdeck-request-id']
        self.runs.append((engine, request_id, self.record.now_s))
        self.record.write('run', engine=engine, request=request_id)


async def async_play(case: Case, *, is_troubled: bool) -> int:
    """Play the case and return the exit status."""
    if not await case.async_start():
        return NOT_RUN
    disturbance = asyncio.create_task(_async_disturb(case, is_troubled))
    asked = []
    for index in range(int(REQUESTS_PER_S * END_S)):
        machine = random.choice(case.machines)
        asking = case.async_ask(machine, f'{index:016x}')
        asked.append(asyncio.create_task(asking))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*asked)
    late_s = await disturbance + DRAIN_BOUND_S
    late_runs = [run for run in case.runs if case.sent_s[run[1]] > late_s]
    at_draining = [run for run in late_runs if run[0] == case.engines[0].name]
    case.record.write(
        'counted',
        requests=len(case.answers),
        answered=case.answers.count(OK),
        late_runs=len(late_runs),
        at_draining=len(at_draining),
    )
    asyncio.get_running_loop().set_exception_handler(_ignore)
    return BROKEN if at_draining else HELD


async def _async_disturb(case: Case, is_troubled: bool) -> float:
    """Let the other writer write, then drain an engine.

    :returns: when the store had accepted that the engine is draining.
    """
    await asyncio.sleep(WRITE_S)
    if is_troubled:
        case.write_odd_entry()
    await asyncio.sleep(DRAIN_S - WRITE_S)
    return case.drain(case.engines[0])


def _ignore(_loop: asyncio.AbstractEventLoop, _context: object) -> None:
    """Say nothing of the stand-ins' connections, which end with the case."""


def main() -> int:
    """Play the case in a temporary folder."""
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder))
        try:
            status = asyncio.run(async_play(case, is_troubled=is_troubled))
        finally:
            for machine in case.machines:
                machine.end()
        case.record.write('ended', status=status)
        case.record.close()
    return status


if __name__ == '__main__':
    sys.exit(main())
