"""A machine is lost while callers keep their connections open."""

import asyncio
import json
import os
import random
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Final

from configuration import HOST, KEY, SERVICE, make_configuration
from deployment import NOT_RUN, Machine, Ports, end_on_sigterm, free_ports
from http_messages import OK, Message, async_read, encode
from record import Record
from standin_engine import Engine
from standin_store import Store

FOLDER: Final = Path(__file__).parent
LOOPBACK: Final = '127.0.0.1'
MACHINES: Final = 3
ENGINES: Final = 3
# Of 1,535 descriptors 200 are reserved for files; sockets and pipes share the
# rest. The process gets 30 more for the files that it has open.
DESCRIPTORS: Final = 1365
# Each caller keeps one connection and uses it again before it has been idle for
# four fifths of the 15 s of `idle_timeout_ms`: 293 requests a second.
CALLERS: Final = 3225
# Of the site's requests that aren't streams, so many are bookings.
BOOKING_SHARE: Final = 0.71
PROGRAMS: Final = 25
PERIOD_S: Final = 11.0
DEADLINE_S: Final = 1.5
CONNECT_S: Final = 1.0
LOSS_S: Final = 16.0
END_S: Final = 34.0
# From here on nothing disturbs the machines that are left.
REST_S: Final = 5.0
PROBERS: Final = 10
PROBE_ROUNDS: Final = 5
STABILITY_ROUNDS: Final = 3
READY_POLL_S: Final = 1.0
HELD: Final = 0
BROKEN: Final = 1


class Case:
    """The deployment and what is known of it."""

    def __init__(self, folder: Path) -> None:
        """Make everything that is started later."""
        ports = free_ports(len(Ports._fields) + ENGINES + 1)
        self.record = Record(FOLDER)
        self.store = Store()
        self.store_port = ports.pop()
        self.engines = [
            Engine(f'engine-{index}', self._record_run)
            for index in range(ENGINES)
        ]
        self.engine_ports = [ports.pop() for _ in self.engines]
        self.machines = [
            Machine(index, Ports(*ports), folder) for index in range(MACHINES)
        ]
        self.all_machines = tuple(self.machines)
        self.is_over = False

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

    async def async_watch_ready(self) -> None:
        """Ask each machine once a second whether it is ready."""
        while not self.is_over:
            for machine in self.machines:
                self.record.write(
                    'ready',
                    machine=machine.name,
                    is_ready=await machine.async_is_ready(),
                    descriptors=_count_descriptors(machine.pid),
                    memory_kb=_read_memory_kb(machine.pid),
                )
            await asyncio.sleep(READY_POLL_S)

    def _record_run(self, engine: str, request: Message) -> None:
        request_id = request.headers['hornbeamdeck-request-id']
        self.record.write('run', engine=engine, request=request_id)


class Directory:
    """The addresses that one program of callers knows.

    It keeps an answer for as long as it says, and longer if it gets no new one.
    """

    def __init__(self, case: Case) -> None:
        """Start without an answer."""
        self._case = case
        self._hosts: set[str] = set()
        self._until_s = 0.0

    async def async_choose(self, failed: set[str]) -> Machine:
        """Choose a machine at random, not one that has failed the caller."""
        if self._case.record.now_s > self._until_s:
            await self._async_ask()
        usable = self._hosts - failed or self._hosts
        if not usable:
            raise OSError('no machine tells where to connect')
        host = random.choice(sorted(usable))
        return next(
            each for each in self._case.all_machines if each.host == host
        )

    async def _async_ask(self) -> None:
        machines = self._case.all_machines
        for asked in random.sample(machines, len(machines)):
            found = await asked.async_get(
                asked.ports.directory, f'/v1/resolve?name={HOST}'
            )
            if found is not None and found.status == OK:
                answer = json.loads(found.body)
                self._until_s = self._case.record.now_s + answer['ttl_s']
                self._hosts = {
                    each.partition(':')[0] for each in answer['addresses']
                }
                return


class Caller:
    """A caller that keeps one connection open for its requests."""

    def __init__(self, case: Case, index: int, directory: Directory) -> None:
        """Start without a connection."""
        self._case = case
        self._index = index
        self._directory = directory
        self._sent = 0
        self._is_sent = False
        self._machine: Machine | None = None
        self._failed: set[str] = set()
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def async_run(self) -> None:
        """Send a request in each period.

        A lookup that fails is repeated once, a booking only if it wasn't sent.
        """
        await asyncio.sleep(random.uniform(0, PERIOD_S))
        while not self._case.is_over:
            started_s = self._case.record.now_s
            is_booking = random.random() < BOOKING_SHARE
            is_answered = await self.async_ask(is_booking)
            if not is_answered and not (is_booking and self._is_sent):
                await self.async_ask(is_booking)
            elapsed_s = self._case.record.now_s - started_s
            await asyncio.sleep(PERIOD_S - elapsed_s)

    async def async_ask(self, is_booking: bool = False) -> bool:
        """Send one request; return whether it was answered with success."""
        self._sent += 1
        self._is_sent = False
        request_id = f'{self._index:08x}{self._sent:08x}'
        self._case.record.write('sent', request=request_id)
        answer: Message | None = None
        with suppress(OSError, TimeoutError):
            answer = await asyncio.wait_for(
                self._async_ask(make_request(request_id, is_booking)),
                DEADLINE_S,
            )
        is_answered = answer is not None and answer.status == OK
        self._case.record.write(
            'answer',
            request=request_id,
            machine=self._machine.name if self._machine else 'none',
            status=answer.status if answer else 'none',
        )
        if not is_answered:
            self.leave()
        return is_answered

    def leave(self) -> None:
        """Close the connection and avoid its machine from now on."""
        if self._machine is not None:
            self._failed.add(self._machine.host)
        self._machine = None
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def async_connect(self, machine: Machine) -> None:
        """Open a connection to a machine."""
        self._machine = machine
        self._streams = await asyncio.wait_for(
            asyncio.open_connection(machine.host, machine.ports.front),
            CONNECT_S,
        )

    async def _async_ask(self, request: bytes) -> Message | None:
        if self._streams is None:
            machine = await self._directory.async_choose(self._failed)
            await self.async_connect(machine)
        if self._streams is None:
            return None
        reader, writer = self._streams
        writer.write(request)
        self._is_sent = True
        return await async_read(reader)


def make_request(request_id: str, is_booking: bool) -> bytes:
    """Encode a booking or a lookup."""
    headers = {
        'Host': HOST,
        'Hornbeamdeck-Request-Id': request_id,
        'Hornbeamdeck-Deadline-Ms': int(DEADLINE_S * 1000),
        'Authorization': f'Bearer {KEY}',
    }
    if is_booking:
        return encode('POST /book/1 HTTP/1.1', headers, b'two seats')
    return encode('GET /seats/1 HTTP/1.1', headers)


def _count_descriptors(pid: int) -> int:
    with suppress(OSError):
        return len(os.listdir(f'/proc/{pid}/fd'))
    return 0


def _read_memory_kb(pid: int) -> str:
    with suppress(OSError):
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
        return next(each for each in lines if 'VmRSS' in each).split()[1]
    return '0'


async def async_takes_connections(case: Case, machine: Machine) -> bool:
    """Return whether a machine that calls itself ready takes connections.

    Ten callers that have no connection try, for longer than `stability_ms`.
    """
    ready_rounds = 0
    for _ in range(PROBE_ROUNDS):
        is_ready = await machine.async_is_ready()
        probers = [
            Caller(case, CALLERS + index, Directory(case))
            for index in range(PROBERS)
        ]
        tries = (_async_try(prober, machine) for prober in probers)
        taken = sum(await asyncio.gather(*tries))
        case.record.write(
            'probe',
            machine=machine.name,
            is_ready=is_ready,
            callers=PROBERS,
            taken=taken,
        )
        if taken:
            return True
        ready_rounds = ready_rounds + 1 if is_ready else 0
    return ready_rounds < STABILITY_ROUNDS


async def _async_try(prober: Caller, machine: Machine) -> bool:
    with suppress(OSError, TimeoutError):
        await prober.async_connect(machine)
    is_answered = await prober.async_ask()
    prober.leave()
    return is_answered


def make_callers(case: Case) -> list[Caller]:
    """Make the callers, a part of them in each program."""
    programs = [Directory(case) for _ in range(PROGRAMS)]
    return [
        Caller(case, index, programs[index % PROGRAMS])
        for index in range(CALLERS)
    ]


async def async_play(case: Case, *, is_troubled: bool) -> int:
    """Play the case and return the exit status."""
    if not await case.async_start():
        return NOT_RUN
    callers = make_callers(case)
    tasks = [asyncio.create_task(each.async_run()) for each in callers]
    watch = asyncio.create_task(case.async_watch_ready())
    await asyncio.sleep(LOSS_S)
    if is_troubled:
        lost = case.machines.pop()
        case.record.write('lost', machine=lost.name)
        lost.end()
    await asyncio.sleep(END_S - LOSS_S)
    case.is_over = True
    for task in tasks:
        task.cancel()
    # A time limit of Python 3.11 may swallow a cancellation; what then still
    # waits for a machine that hangs ends as its connection is closed.
    await asyncio.wait(tasks, timeout=REST_S)
    for caller in callers:
        caller.leave()
    await watch
    case.record.write('callers left')
    await asyncio.sleep(REST_S)
    probes = (async_takes_connections(case, each) for each in case.machines)
    taken = await asyncio.gather(*probes)
    asyncio.get_running_loop().set_exception_handler(_ignore)
    return HELD if all(taken) else BROKEN


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
            for machine in case.all_machines:
                machine.end()
        case.record.write('ended', status=status)
        case.record.close()
        if os.environ.get('KEEP_LOGS'):
            for log in Path(folder).glob('*.log'):
                (Path(os.environ['KEEP_LOGS']) / log.name).write_bytes(
                    log.read_bytes()
                )
    return status


if __name__ == '__main__':
    sys.exit(main())
