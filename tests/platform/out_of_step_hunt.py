"""Hunts for streams that are joined while instances are out of step.

Callers begin streams, leave them midway and take them up at any gateway, while
gateways are cut off, stand still or die, the store is away, slow or restored,
and engines of several versions come and go. All choices follow from a seed;
the times at which they act vary with the machine.

python -m tests.platform.out_of_step_hunt links --seeds 50
python -m tests.platform.out_of_step_hunt stops --seeds 50 --first 101
"""

import json
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Iterator,
    Sequence,
)
from contextlib import ExitStack, asynccontextmanager, contextmanager, suppress
from functools import partial
from pathlib import Path
from random import Random, SystemRandom
from typing import IO, Any, Final, NamedTuple, Protocol

import fire
import structlog
from curio import (
    Kernel,
    Task,
    TaskGroup,
    current_task,
    ignore_after,
    sleep,
    spawn,
)
from curio.io import Socket
from curio.traps import _read_wait
from result import UnwrapError

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address, listen
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.membership.liveness import FLEET_CELL
from tests.platform.fleet import CLIENT_LIMITS, PlatformFleet
from tests.platform.gateway_process import (
    GatewayAddresses,
    async_wait_ready,
    make_process_settings,
    start_process,
)
from tests.platform.partitions import patched_sockets, peer_address
from tests.platform.standins import (
    EngineStandin,
    StoreCopy,
    StoreStandin,
    document,
)
from tests.platform.stream_caller import StreamCaller

SERVICE: Final = 'desk'
VERSIONS: Final = ('v1', 'v2', 'v3')
EVENTS: Final = 14
EVENT_GAP_S: Final = 0.05
CALLERS: Final = 8
ATTEMPT_S: Final = 4.5
# How long callers may go on with a stream.
DEADLINE_MS: Final = '12000'
# Until then a single version serves and nothing fails.
QUIET_S: Final = 1.5
DESCRIPTORS: Final = 400
LOW_PORTS: Final = range(12_000, 32_000)
WAYS: Final = ('both', 'outward', 'inward')
STORE: Final = 'store'
ENGINES: Final = 'engines'
AsyncStep = Callable[[], Awaitable[None]]


class HuntStore(StoreStandin):
    """A store whose responses may be late."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0
        self._being_restored = False

    @property
    def is_away(self) -> bool:
        """Whether writers have to wait."""
        return self.is_silent or self._being_restored

    async def async_restore(
        self, copied: StoreCopy, *, away_s: float = 0.4
    ) -> None:
        """Be away for a moment and come back with an older copy."""
        self._being_restored = True
        await super().async_restore(copied, away_s=away_s)
        self._being_restored = False

    async def _async_handle(
        self, request: HttpRequest, caller: ServerConnection
    ) -> None:
        await sleep(self.delay_s)
        await super()._async_handle(request, caller)


class HuntFleet(Protocol):
    """Gateways, in this process or in others."""

    @property
    def count(self) -> int:
        """Number of gateways, also of those that are down."""

    async def async_open(self, gateway: int = 0) -> ClientConnection:
        """Open a client connection to a gateway."""

    async def async_kill(self, gateway: int) -> None:
        """Kill a gateway."""

    async def async_start_again(self, gateway: int) -> None:
        """Start a gateway that was killed."""

    def ranked(self) -> Sequence[int]:
        """Return the gateways, likely owners first."""


class HuntResult(NamedTuple):
    """What the callers of one seed saw.

    :param counts: of streams and attempts by what became of them.
    :param faults: streams that break a rule.
    """

    counts: Counter[str]
    faults: list[str]


class Hunt:
    """What the tasks of one seed share."""

    def __init__(self, seed: int, fleet: HuntFleet, store: HuntStore) -> None:
        """Start without engines and callers."""
        self.seed = seed
        self.fleet = fleet
        self.store = store
        self.engines: list[EngineStandin] = []
        # Gateways that were killed and have not started again.
        self.down: set[int] = set()
        self.kills: list[Task] = []
        self.troubled: Counter[int] = Counter()
        self.seen = HuntResult(Counter(), [])

    def random(self, name: str) -> Random:
        """Return the choices of one task."""
        return Random(f'{self.seed}-{name}')  # noqa: S311

    @asynccontextmanager
    async def trouble(
        self, gateways: Iterable[int], after_s: float
    ) -> AsyncIterator[None]:
        """Let callers prefer gateways, until a time after the context."""
        chosen = tuple(gateways)
        self.troubled.update(chosen)
        yield
        await sleep(after_s)
        self.troubled.subtract(chosen)

    def choose_gateway(self, random: Random, troubled_share: float) -> int:
        """Choose a gateway that may be in trouble."""
        troubled = [each for each, held in self.troubled.items() if held > 0]
        calm = [
            each for each in range(self.fleet.count) if each not in troubled
        ]
        preferred = troubled if random.random() < troubled_share else calm
        return random.choice(preferred or range(self.fleet.count))

    async def async_kill(self, gateway: int, down_s: float) -> None:
        """Kill a gateway that is up, and start it again."""
        if gateway in self.down or len(self.down) >= self.fleet.count // 3:
            return
        # A cancelled hunt leaves no gateway that is half started.
        task = await spawn(self._async_kill, gateway, down_s)
        self.kills.append(task)
        await task.wait()

    async def _async_kill(self, gateway: int, down_s: float) -> None:
        self.down.add(gateway)
        await self.fleet.async_kill(gateway)
        await sleep(down_s)
        await self.fleet.async_start_again(gateway)
        self.down.discard(gateway)


class KeptConnections:
    """Connections that a caller has opened before it needs them."""

    def __init__(self, fleet: HuntFleet) -> None:
        """Start without connections."""
        self._fleet = fleet
        self._kept: dict[int, ClientConnection] = {}

    async def async_keep(self, gateway: int) -> None:
        """Open a connection for a later attempt at a gateway."""
        if gateway not in self._kept:
            with suppress(UnwrapError, OSError):
                self._kept[gateway] = await self._fleet.async_open(gateway)

    async def async_open(self, gateway: int = 0) -> ClientConnection:
        """Return a connection that nobody uses, a new one if need be."""
        kept = self._kept.pop(gateway, None)
        return kept or await self._fleet.async_open(gateway)

    async def async_close(self) -> None:
        """Close what was not used."""
        for kept in self._kept.values():
            await kept.async_close()
        self._kept.clear()


class HuntCaller(StreamCaller):
    """A caller that reads one stream in many attempts, and checks it."""

    @property
    def is_complete(self) -> bool:
        """Whether the last response looked complete."""
        return self._is_complete

    async def async_attempt(self, gateway: int, events: int) -> int:
        """Begin the stream or take it up, and leave after some events.

        :returns: the status; 0: none.
        """
        await self.async_leave()
        self._is_complete = False
        status: list[int] = []
        await ignore_after(
            ATTEMPT_S, self._async_attempt, gateway, events, status
        )
        await self.async_leave()
        return status[0] if status else 0

    def faults(self) -> Iterator[str]:
        """Yield the rules that the stream breaks."""
        if len(self.versions) > 1:
            yield f'versions {sorted(self.versions)}'
        if self.words != list(range(1, len(self.words) + 1)):
            yield f'events {self.words}'
        if self.is_complete and len(self.words) != EVENTS:
            yield f'complete after {len(self.words)} events'

    async def _async_attempt(
        self, gateway: int, events: int, status: list[int]
    ) -> None:
        headers = {'hornbeamdeck_deadline_ms': DEADLINE_MS}
        if self.words:
            headers['last_event_id'] = str(self.words[-1])
            headers['resumes'] = self.request_id
        enough = len(self.words) + events
        try:
            status.append(await self.async_request(gateway, **headers))
        except (UnwrapError, OSError):
            return
        while status[0] == 200 and len(self.words) < enough:
            if not await self._async_read_events():
                return


async def _async_call(hunt: Hunt, number: int) -> None:
    """Begin streams and take them up, until cancelled."""
    random = hunt.random(f'caller-{number}')
    all_gateways = range(hunt.fleet.count)
    began = 0
    connections = KeptConnections(hunt.fleet)
    while True:
        began += 1
        await connections.async_close()
        for kept in (*hunt.fleet.ranked()[:1], *random.sample(all_gateways, 2)):
            await connections.async_keep(kept)
        caller = HuntCaller(connections, f's{hunt.seed}-{number}-{began}')
        gateway = hunt.choose_gateway(random, 0.15)
        await caller.async_attempt(gateway, random.randint(1, 7))
        if caller.words:
            hunt.seen.counts['begun'] += 1
            await _async_take_up(hunt, random, caller, gateway)
        else:
            hunt.seen.counts['not begun'] += 1
            await sleep(random.uniform(0, 0.2))


def _outcome(status: int, *, has_more: bool) -> str:
    if has_more:
        return 'went on'
    return f'refused {status}' if status else 'unanswered'


async def _async_take_up(
    hunt: Hunt, random: Random, caller: HuntCaller, began_at: int
) -> None:
    """Take a stream up until it is complete, or some times."""
    path = [began_at]
    found: list[str] = []
    for _ in range(random.randint(2, 6)):
        if caller.is_complete or found:
            break
        await sleep(random.choice((0, 0, 0.05, 0.2, 0.5, 1)) * random.random())
        gateway = hunt.choose_gateway(random, 0.65)
        is_calm = not any(hunt.troubled.values())
        read = len(caller.words)
        events = random.choice((3, EVENTS, EVENTS))
        status = await caller.async_attempt(gateway, events)
        has_more = len(caller.words) > read or caller.is_complete
        kind = _outcome(status, has_more=has_more)
        hunt.seen.counts[f'{kind} (calm)' if is_calm else kind] += 1
        path.append(gateway)
        found = list(caller.faults())
    hunt.seen.counts['completed'] += caller.is_complete
    hunt.seen.faults.extend(
        f'{caller.request_id} at {path}: {each}' for each in found
    )


async def _async_write_entry(hunt: Hunt, engine: EngineStandin) -> None:
    while hunt.store.is_away:
        await sleep(0.05)
    if engine in hunt.engines:
        await hunt.store.async_put(
            'servers', engine.name, engine.entry(SERVICE)
        )


async def _async_write_late(
    hunt: Hunt, engine: EngineStandin, late_s: float
) -> None:
    await sleep(late_s)
    await _async_write_entry(hunt, engine)


async def async_join(hunt: Hunt, name: str, version: str) -> None:
    """Start an engine and list it."""
    engine = EngineStandin(name, events=EVENTS)
    engine.event_gap_s = EVENT_GAP_S
    engine.run_version(version, born=int(now_ms()))
    await engine.async_start()
    hunt.engines.append(engine)
    await _async_write_entry(hunt, engine)


async def _async_leave(hunt: Hunt, engine: EngineStandin) -> None:
    """End an engine; its entry goes when the store is there."""
    hunt.engines.remove(engine)
    await engine.async_stop()
    await engine.async_close_connections()
    while hunt.store.is_away:
        await sleep(0.05)
    if engine.name in hunt.store.stored_objects.get('servers', {}):
        await hunt.store.async_remove('servers', engine.name)


async def _async_restart(
    engine: EngineStandin, version: str, hunt: Hunt, late_s: float
) -> None:
    """Start an engine again under its name, at its address."""
    await engine.async_close_connections()
    engine.run_version(version, born=int(now_ms()))
    await spawn(_async_write_late, hunt, engine, late_s, daemon=True)


async def _async_change_engines(hunt: Hunt) -> None:
    """Let engines of all versions come and go, until cancelled."""
    random = hunt.random('engines')
    await sleep(QUIET_S + random.uniform(0.5, 3.5))
    for name in (f'{SERVICE}-8', f'{SERVICE}-9'):
        await async_join(hunt, name, 'v2')
    number = 10
    while True:
        await sleep(random.uniform(0.2, 2))
        number += 1
        version = random.choice(VERSIONS)
        engine = random.choice(hunt.engines)
        late_s = random.choice((0, 0, 0.5, 2)) * random.random()
        match random.choice(('join', 'join', 'leave', 'restart', 'break')):
            case 'join' if len(hunt.engines) < 8:
                await async_join(hunt, f'{SERVICE}-{number}', version)
            case 'leave' if len(hunt.engines) > 3:
                await _async_leave(hunt, engine)
            case 'restart':
                await _async_restart(engine, version, hunt, late_s)
            case _:
                await engine.async_close_connections()
                engine.faults.extend(('cut', '', 'not_run'))


async def _async_disturb_store(hunt: Hunt, random: Random) -> None:
    """Let the store be silent, slow or restored for a while."""
    store = hunt.store
    if store.is_away or store.delay_s:
        return
    match random.choice(('silent', 'silent', 'slow', 'restored')):
        case 'silent':
            store.is_silent = True
            await sleep(random.uniform(0.3, 2.5))
            store.is_silent = False
        case 'slow':
            store.delay_s = random.uniform(0.1, 0.4)
            await sleep(random.uniform(0.5, 3))
            store.delay_s = 0.0
        case _:
            await _async_restore_store(hunt, random)


async def _async_restore_store(hunt: Hunt, random: Random) -> None:
    copied = hunt.store.copy()
    await sleep(random.uniform(0.2, 3))
    newest = hunt.store.stored_objects['config']['main']['spec']
    await hunt.store.async_restore(copied, away_s=random.uniform(0.02, 1))
    await hunt.store.async_put_unchanged('config', 'main', newest)
    for engine in tuple(hunt.engines):
        late_s = random.uniform(0, 1.5)
        await spawn(_async_write_late, hunt, engine, late_s, daemon=True)


async def _async_kill_some(hunt: Hunt, random: Random) -> None:
    """Kill a gateway, often the owner, and start it again."""
    gateway = random.choice(
        (hunt.fleet.ranked()[0], random.randrange(hunt.fleet.count))
    )
    down_s = random.uniform(0.1, 2)
    async with hunt.trouble([gateway], random.uniform(0.2, 1.5)):
        await hunt.async_kill(gateway, down_s)


class Links:
    """Links that can be cut, each way for itself.

    All gateways of a fleet run in one process, so the end of a connection
    that a gateway has opened is told by its port.
    """

    def __init__(self, fleet: PlatformFleet, engines: list[EngineStandin]):
        """Start with all links whole."""
        self._fleet = fleet
        self._engines = engines
        self._origins: dict[int, str] = {}
        self._cuts: Counter[tuple[str, str]] = Counter()

    @contextmanager
    def cut(self, links: Iterable[tuple[str, str]]) -> Iterator[None]:
        """Cut links, from senders to receivers, during the context."""
        cut = tuple(links)
        self._cuts.update(cut)
        try:
            yield
        finally:
            self._cuts.subtract(cut)

    async def async_connect(
        self,
        sock: Socket,
        address: Any,
        original: Callable[[Socket, Any], Awaitable[None]],
    ) -> None:
        """Connect once the link is whole in both directions."""
        number = await self._fleet.async_gateway_of_task(await current_task())
        own = str(number)
        node = self._nodes().get(address[1], '')
        while self._cuts[own, node] > 0 or self._cuts[node, own] > 0:
            await sleep(0.02)
        await original(sock, address)
        port = sock._socket.getsockname()[1]  # noqa: SLF001
        self._origins.pop(port, None)
        if number is not None:
            self._origins[port] = own

    async def async_receive(
        self,
        sock: Socket,
        limit: int,
        original: Callable[[Socket, int], Awaitable[bytes]],
    ) -> bytes:
        """Receive what has come over the link while it was whole."""
        while True:
            # Nothing may be taken from a link that was cut meanwhile.
            await _read_wait(sock._fileno)  # noqa: SLF001
            if not self._is_cut(sock):
                return await original(sock, limit)
            await sleep(0.02)

    def _is_cut(self, sock: Socket) -> bool:
        if not any(self._cuts.values()):
            return False
        nodes = {**self._origins, **self._nodes()}
        try:
            port = sock._socket.getsockname()[1]  # noqa: SLF001
        except OSError:
            return False
        sender = nodes.get(peer_address(sock)[1], '')
        return self._cuts[sender, nodes.get(port, '')] > 0

    def _nodes(self) -> dict[int, str]:
        engines = {each.address.port: ENGINES for each in self._engines}
        gateways = {
            each.components.membership.own_status.peer_address.port: str(index)
            for index, each in enumerate(self._fleet.gateways)
        }
        return {
            **engines,
            **gateways,
            self._fleet.store_address.port: STORE,
        }


class LinkedFleet(PlatformFleet):
    """Gateways in this process."""

    def __init__(self, kernel: Kernel, store: HuntStore) -> None:
        """Start without gateways."""
        super().__init__()
        self.kernel = kernel
        self.store = store

    @property
    def count(self) -> int:
        """Number of gateways, also of those that are down."""
        return len(self.gateways)

    async def async_kill(self, gateway: int) -> None:
        """Kill a gateway."""
        await self.gateways[gateway].async_kill()

    def ranked(self) -> Sequence[int]:
        """Return the gateways, likely owners first."""
        return [
            int(instance_id.rpartition('-')[2])
            for instance_id in self.gateways[
                -1
            ].components.membership.ranked_ids(FLEET_CELL)
        ] or [0]


def _links_between(
    apart: Iterable[str], others: Iterable[str], ways: str
) -> list[tuple[str, str]]:
    """Return the links between two sides, in both directions or in one."""
    outward = [(one, other) for one in apart for other in others]
    inward = [(other, one) for one, other in outward]
    links = {'both': outward + inward, 'outward': outward, 'inward': inward}
    return links[ways]


async def _async_cut_some(links: Links, hunt: Hunt, random: Random) -> None:
    """Cut gateways off from some of what they need for a while."""
    count = hunt.fleet.count
    # Sides that are as large as the other one are the hardest to tell apart.
    half = (count // 2, (count + 1) // 2, count // 2 + 1)
    size = random.choice((*half, random.randint(1, count // 2 + 1)))
    chosen = random.sample(range(count), size)
    apart = [str(each) for each in chosen]
    others = [str(each) for each in range(count) if each not in chosen]
    way = random.choice(('both', 'both', 'both', random.choice(WAYS)))
    sides: tuple[Sequence[str], ...] = random.choice(
        (
            *((others, (STORE,)),) * 8,
            (others,),
            ((STORE,),),
            ((ENGINES,),),
            (others, (STORE,), (ENGINES,)),
        )
    )
    async with hunt.trouble(chosen, random.uniform(0, 1)):
        with ExitStack() as cuts:
            for side in sides:
                ways = random.choice((way, way, way, random.choice(WAYS)))
                cut = _links_between(apart, side, ways)
                cuts.enter_context(links.cut(cut))
            await sleep(random.choice((1, 5, 6, 6)) * random.uniform(0.6, 1))


_Step = Callable[[Hunt, Random], Awaitable[None]]


async def _async_repeat(hunt: Hunt, name: str, steps: Sequence[_Step]) -> None:
    """Take random steps until cancelled."""
    random = hunt.random(name)
    await sleep(QUIET_S + random.random() / 2)
    while True:
        await random.choice(steps)(hunt, random)
        await sleep(random.uniform(0, 0.8))


async def _async_hunt(
    hunt: Hunt, series: Iterable[AsyncStep], length_s: float
) -> HuntResult:
    """Run callers beside series of troubles for some time."""
    async with TaskGroup(wait=any) as group:
        await group.spawn(_async_change_engines, hunt)
        for number in range(CALLERS):
            await group.spawn(_async_call, hunt, number)
        for run in series:
            await group.spawn(run)
        await group.spawn(sleep, length_s)
    for task in hunt.kills:
        await task.join()
    _raise_from(group.completed)
    return hunt.seen


def _raise_from(ended: Task) -> None:
    """Raise what has ended a hunt before its time."""
    if ended.exception is not None:
        raise ended.exception


async def _async_begin(hunt: Hunt) -> None:
    await hunt.store.async_put('config', 'main', document())
    for number in range(3):
        await async_join(hunt, f'{SERVICE}-{number}', 'v1')


async def _async_hunt_links(seed: int, kernel: Kernel) -> HuntResult:
    """Hunt in a fleet whose links are cut."""
    store = HuntStore()
    fleet = LinkedFleet(kernel, store)
    hunt = Hunt(seed, fleet, store)
    random = hunt.random('links')
    fleet.store_address = await store.async_start()
    await _async_begin(hunt)
    links = Links(fleet, hunt.engines)
    cut_some = partial(_async_cut_some, links)
    steps = (
        (cut_some,),
        (cut_some, cut_some, _async_kill_some),
        (_async_disturb_store, _async_kill_some),
    )
    series = [
        partial(_async_repeat, hunt, f'trouble-{number}', chosen)
        for number, chosen in enumerate(steps[: random.randint(1, 3)])
    ]
    with patched_sockets(links):
        await fleet.async_add_gateways(random.randint(4, 12))
        try:
            return await _async_hunt(hunt, series, 9.5)
        finally:
            await fleet.async_stop()


class _Process(NamedTuple):
    """A gateway process that can be started again.

    :param settings: the file with its settings.
    :param running: the process, the last one in the end.
    """

    settings: Path
    addresses: GatewayAddresses
    running: list[subprocess.Popen[bytes]]


async def _async_is_free(address: Address) -> bool:
    try:
        await listen(address).close()
    except OSError:
        return False
    return True


class ProcessFleet:
    """Gateways in processes of their own."""

    def __init__(self, folder: Path, log: IO[bytes] | None) -> None:
        """Start without gateways.

        :param folder: for settings.
        :param log: a file for the logs of all processes.
        """
        self._folder = folder
        self._log = log
        self._processes: list[_Process] = []
        self._cores: list[int] = []
        self._ports: set[int] = set()

    @property
    def count(self) -> int:
        """Number of gateways, also of those that are down."""
        return len(self._processes)

    async def async_add(self, store: Address, cores: int) -> None:
        """Start a gateway.

        :param cores: those with most rank first.
        """
        name = f'front-{self.count}'
        found = [
            await self._async_find_address() for _ in GatewayAddresses._fields
        ]
        addresses = GatewayAddresses(*found)
        settings = {
            **make_process_settings(addresses, store),
            'instance_id': name,
            'cores': cores,
        }
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        process = _Process(path, addresses, [])
        self._processes.append(process)
        self._cores.append(cores)
        self._start(process)

    async def async_wait_ready(self) -> None:
        """Wait until all may get callers."""
        for process in self._processes:
            await async_wait_ready(process.addresses)

    async def async_open(self, gateway: int = 0) -> ClientConnection:
        """Open a client connection to a gateway."""
        opened = await ClientConnection.async_open(
            self._processes[gateway].addresses.callers,
            timeout_ms=2000,
            limits=CLIENT_LIMITS,
        )
        return opened.unwrap()

    async def async_kill(self, gateway: int) -> None:
        """Kill a gateway."""
        process = self._processes[gateway].running[-1]
        process.kill()
        process.wait()

    async def async_start_again(self, gateway: int) -> None:
        """Start a gateway that was killed."""
        process = self._processes[gateway]
        settings = json.loads(process.settings.read_text())
        changed = {**settings, 'is_first_start': False}
        process.settings.write_text(json.dumps(changed))
        self._start(process)

    def ranked(self) -> Sequence[int]:
        """Return the gateways, likely owners first."""
        return sorted(range(self.count), key=lambda each: -self._cores[each])

    def signal(self, gateways: Iterable[int], number: signal.Signals) -> None:
        """Stop gateways, or let them go on."""
        for gateway in gateways:
            process = self._processes[gateway].running[-1]
            if process.poll() is None:
                process.send_signal(number)

    async def async_end(self) -> None:
        """Kill all gateways."""
        for gateway in range(self.count):
            await self.async_kill(gateway)

    async def _async_find_address(self) -> Address:
        """Find an address that no connection takes while its process is down.

        The operating system chooses the ports of connections, and of listeners
        without one, from higher ones.
        """
        while True:
            port = SystemRandom().choice(LOW_PORTS)
            address = Address('127.0.0.1', port)
            if port not in self._ports and await _async_is_free(address):
                self._ports.add(port)
                return address

    def _start(self, process: _Process) -> None:
        process.running.append(
            start_process(process.settings, DESCRIPTORS, self._log)
        )


async def _async_stop_some(
    fleet: ProcessFleet, hunt: Hunt, random: Random
) -> None:
    """Let gateways stand still, several times, and go on at one moment."""
    most = fleet.count // 2
    leaders = fleet.ranked()[: random.randint(0, most)]
    others = random.sample(range(fleet.count), random.randint(1, most))
    chosen = list(dict.fromkeys((*leaders, *others)))[:most]
    longest_s = random.choice((0.8, 2.5, 4))
    async with hunt.trouble(chosen, random.uniform(0.2, 1)):
        for _ in range(random.choice((1, 1, 2, 3))):
            fleet.signal(chosen, signal.SIGSTOP)
            await sleep(random.uniform(0.3, longest_s))
            await _async_spoil_store(hunt, random)
            fleet.signal(chosen, signal.SIGCONT)
            await sleep(random.choice((0.02, 0.2, 1)) * random.random())


async def _async_spoil_store(hunt: Hunt, random: Random) -> None:
    """Let the store be slow or silent, often, right before gateways go on."""
    store = hunt.store
    mode = random.choice(('sound', 'sound', 'silent', 'slow'))
    if mode == 'sound' or store.is_away or store.delay_s:
        return
    store.is_silent = mode == 'silent'
    store.delay_s = 0.0 if store.is_silent else random.uniform(0.1, 0.4)
    length_s = random.uniform(0.2, 2.5)
    await spawn(_async_mend_store, store, length_s, daemon=True)


async def _async_mend_store(store: HuntStore, length_s: float) -> None:
    await sleep(length_s)
    store.is_silent = False
    store.delay_s = 0.0


async def _async_hunt_stops(seed: int, log: IO[bytes] | None) -> HuntResult:
    """Hunt in a fleet of processes that stand still."""
    store = HuntStore()
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder), log)
        hunt = Hunt(seed, fleet, store)
        random = hunt.random('stops')
        address = await store.async_start()
        await _async_begin(hunt)
        steps: list[tuple[_Step, ...]] = [
            (partial(_async_stop_some, fleet),),
            (_async_kill_some, _async_disturb_store),
        ]
        series = [
            partial(_async_repeat, hunt, f'trouble-{number}', chosen)
            for number, chosen in enumerate(steps[: random.randint(1, 2)])
        ]
        first = random.randint(1, 4)
        try:
            for number in range(random.randint(5, 12)):
                await fleet.async_add(address, 1 + (number < first))
            await fleet.async_wait_ready()
            return await _async_hunt(hunt, series, 11)
        finally:
            await fleet.async_end()


def hunt_links(seed: int) -> HuntResult:
    """Hunt in a fleet of this process whose links are cut."""
    with Kernel() as kernel:
        seen: HuntResult = kernel.run(_async_hunt_links, seed, kernel)
    return seen


def hunt_stops(seed: int, log: IO[bytes] | None = None) -> HuntResult:
    """Hunt in a fleet of processes that stand still.

    :param log: a file for the logs of all processes.
    """
    with Kernel() as kernel:
        seen: HuntResult = kernel.run(_async_hunt_stops, seed, log)
    return seen


def _run_seed(kind: str, seed: int, log: IO[bytes] | None) -> HuntResult:
    return hunt_links(seed) if kind == 'links' else hunt_stops(seed, log)


def main(kind: str, seeds: int = 10, first: int = 1, logs: str = '') -> None:
    """Run many seeds and write what callers saw, a line for each.

    :param kind: `links` or `stops`.
    :param first: the first seed.
    :param logs: a folder for the logs of seeds with a fault.
    """
    total: Counter[str] = Counter()
    folder = Path(logs or tempfile.gettempdir())
    for seed in range(first, first + seeds):
        path = folder / f'{kind}-{seed}.log'
        with path.open('wb') as log:
            structlog.configure(
                processors=[
                    structlog.processors.TimeStamper(fmt='iso'),
                    structlog.processors.JSONRenderer(serializer=_to_json),
                ],
                logger_factory=structlog.BytesLoggerFactory(log),
            )
            seen = _run_seed(kind, seed, log)
        if not (seen.faults and logs):
            path.unlink()
        total.update(seen.counts)
        total.update({'seeds': 1, 'seeds with faults': bool(seen.faults)})
        _write({'seed': seed, **seen.counts, 'faults': seen.faults})
    _write(dict(total))


def _to_json(fields: object, **_: object) -> bytes:
    return json.dumps(fields, default=str).encode()


def _write(line: object) -> None:
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
