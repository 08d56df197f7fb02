"""A machine is stopped as planned while an engine is silent for a moment."""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import Final, NamedTuple

from configuration import HOST, KEY, SERVICE, make_configuration, make_route
from deployment import NOT_RUN, Machine, Ports, end_on_sigterm, free_ports
from http_messages import OK, Message, async_exchange, encode
from record import Record
from standin_engine import Engine
from standin_store import Store

FOLDER: Final = Path(__file__).parent
LOOPBACK: Final = '127.0.0.1'
MACHINES: Final = 2
DESCRIPTORS: Final = 4100
ENGINES: Final = 2
# The largest work of the site's bookings.
WORK_S: Final = 0.45
# The sheet of the site: what callers and the operator allow for a booking.
DEADLINE_S: Final = 4.0
TIMEOUT_MS: Final = 2000
OBJECTIVE_MS: Final = 409
CALLERS_PER_S: Final = 2
# Callers keep a list of addresses for its time to live, some three times as
# long; `ttl_max_s` isn't reached.
KEPT_TTLS: Final = (1, 3)
# These ask for addresses just before the SIGTERM and keep them for longer.
PATIENT_CALLERS: Final = 18
ASKED_S: Final = 0.02
# In the last moments of that time, a caller sends its last booking.
LAST_MOMENTS_S: Final = 0.1
MARGIN_S: Final = 0.03
# Before each stop, nothing is disturbed for this time.
REST_S: Final = 8.0
# After the SIGTERM: when an engine falls silent, and for how long.
SILENT_FROM_S: Final = 5.8
SILENT_S: Final = 1.25
# The rule excuses some requests that were sent up to this time after it.
EXCUSED_S: Final = 3.0
GRACE_S: Final = 8.0
HELD: Final = 0
BROKEN: Final = 1


class Booking(NamedTuple):
    """A booking, and how it ended for its caller.

    :param sent_s: since the start of the case.
    :param status: `None`: its connection ended without a whole answer.
    """

    request_id: str
    machine: str
    sent_s: float
    ended_s: float
    status: int | None


class Case:
    """The deployment and what is known of it."""

    def __init__(self, folder: Path) -> None:
        """Make everything that is started later."""
        ports = free_ports(len(Ports._fields) + ENGINES + 1)
        self.record = Record(FOLDER)
        self.runs: set[str] = set()
        self.bookings: list[Booking] = []
        self.is_over = False
        self._callers = 0
        self.store = Store()
        self.store_port = ports.pop()
        self.engines = [
            Engine(f'engine-{index}', self._record_run, WORK_S)
            for index in range(ENGINES)
        ]
        self.engine_ports = [ports.pop() for _ in self.engines]
        self.machines = [
            Machine(index, Ports(*ports), folder) for index in range(MACHINES)
        ]

    async def async_start(self) -> bool:
        """Start all; return whether every machine is ready."""
        await self.store.async_start(LOOPBACK, self.store_port)
        configuration = make_configuration(version=7)
        configuration['routes'] = [
            make_route(
                '/book/',
                'non_idempotent',
                timeout_ms=TIMEOUT_MS,
                target_latency_ms=OBJECTIVE_MS,
            ),
        ]
        self.store.put('config', 'main', configuration)
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

    async def async_call(self, kept_ttls: int) -> None:
        """Ask for addresses as a caller does, and book while they are kept.

        :param kept_ttls: how many times its time to live a list is kept.
        """
        self._callers += 1
        index = self._callers
        asked_s = self.record.now_s
        asked = random.choice(self.machines)
        found = await asked.async_get(
            asked.ports.directory, f'/v1/resolve?name={HOST}'
        )
        if found is None or found.status != OK:
            return
        answer = json.loads(found.body)
        host = random.choice(answer['addresses']).partition(':')[0]
        machine = next(each for each in self.machines if each.host == host)
        await self._async_book(machine, f'{index:015x}a')
        until_s = asked_s + answer['ttl_s'] * kept_ttls - MARGIN_S
        until_s -= random.uniform(0, LAST_MOMENTS_S)
        await asyncio.sleep(until_s - self.record.now_s)
        await self._async_book(machine, f'{index:015x}b')

    async def _async_book(self, machine: Machine, request_id: str) -> None:
        sent_s = self.record.now_s
        self.record.write('sent', request=request_id, machine=machine.name)
        answer = await async_exchange(
            machine.host,
            machine.ports.front,
            make_request(request_id),
            DEADLINE_S,
        )
        status = None if answer is None else answer.status
        booking = Booking(
            request_id, machine.name, sent_s, self.record.now_s, status
        )
        self.bookings.append(booking)
        self.record.write('answer', request=request_id, status=status)

    def _record_run(self, engine: str, request: Message) -> None:
        request_id = request.headers['hornbeamdeck-request-id']
        self.runs.add(request_id)
        self.record.write('run', engine=engine, request=request_id)


def make_request(request_id: str) -> bytes:
    """Encode a booking."""
    headers = {
        'Host': HOST,
        'Hornbeamdeck-Request-Id': request_id,
        'Hornbeamdeck-Deadline-Ms': int(DEADLINE_S * 1000),
        'Authorization': f'Bearer {KEY}',
    }
    return encode('POST /book/1 HTTP/1.1', headers, b'two seats')


def find_lost(case: Case, machine: str, stopped_s: float) -> list[Booking]:
    """Find the bookings that the rule counts as lost.

    The stopped machine took them later than the time that the rule excuses,
    they ran, and the connection ended before the route's timeout.
    """
    unanswered = [
        booking
        for booking in case.bookings
        if booking.machine == machine
        and booking.status is None
        and booking.request_id in case.runs
    ]
    return [
        booking
        for booking in unanswered
        if EXCUSED_S < booking.sent_s - stopped_s < GRACE_S
        and booking.ended_s - booking.sent_s < TIMEOUT_MS / 1000
    ]


async def async_play(case: Case, *, is_troubled: bool) -> int:
    """Play the case and return the exit status."""
    if not await case.async_start():
        return NOT_RUN
    callers = asyncio.create_task(_async_call_all(case))
    lost: list[Booking] = []
    for machine in case.machines:
        await asyncio.sleep(REST_S)
        stopped_s = await _async_stop(case, machine, is_troubled)
        lost += find_lost(case, machine.name, stopped_s)
    case.is_over = True
    await callers
    for booking in lost:
        case.record.write('lost', **booking._asdict())
    case.record.write(
        'counted',
        bookings=len(case.bookings),
        answered=sum(each.status == OK for each in case.bookings),
        lost=len(lost),
    )
    asyncio.get_running_loop().set_exception_handler(_ignore)
    return BROKEN if lost else HELD


async def _async_call_all(case: Case) -> None:
    callers = []
    while not case.is_over:
        kept_ttls = random.choice(KEPT_TTLS)
        callers.append(asyncio.create_task(case.async_call(kept_ttls)))
        await asyncio.sleep(1 / CALLERS_PER_S)
    await asyncio.gather(*callers)


async def _async_stop(case: Case, stopped: Machine, is_troubled: bool) -> float:
    """Stop a machine as planned; an engine is silent for a moment later.

    :returns: when it was asked to stop.
    """
    callers = [
        asyncio.create_task(case.async_call(max(KEPT_TTLS)))
        for _ in range(PATIENT_CALLERS)
    ]
    await asyncio.sleep(ASKED_S)
    stopped_s = case.record.now_s
    if is_troubled:
        case.record.write('SIGTERM', machine=stopped.name)
        stopped.send_signal(signal.SIGTERM)
    await asyncio.sleep(SILENT_FROM_S)
    engine = case.engines[0]
    engine.silent_until_s = time.monotonic() + SILENT_S
    case.record.write('silent', engine=engine.name, for_s=SILENT_S)
    await asyncio.sleep(GRACE_S - SILENT_FROM_S)
    if is_troubled:
        case.record.write('SIGKILL', machine=stopped.name)
        stopped.end()
        stopped.start(DESCRIPTORS)
    await asyncio.gather(*callers)
    await stopped.async_wait_ready()
    return stopped_s


def _ignore(_loop: asyncio.AbstractEventLoop, _context: object) -> None:
    """Say nothing of the stand-ins' connections, which end with the case."""


def main() -> int:
    """Play the case in a temporary folder."""
    end_on_sigterm()
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
        with suppress(KeyError):
            _keep_logs(Path(folder), Path(os.environ['KEEP_LOGS']))
    return status


def _keep_logs(folder: Path, kept: Path) -> None:
    for log in folder.glob('*.log'):
        (kept / log.name).write_bytes(log.read_bytes())


if __name__ == '__main__':
    sys.exit(main())
