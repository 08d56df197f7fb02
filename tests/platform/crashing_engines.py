"""Engines that end when they begin to answer marked requests."""

from collections.abc import Callable
from itertools import count
from time import monotonic

from curio import sleep, spawn
from result import UnwrapError

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.server import ServerConnection
from tests.platform.fleet import TOKEN_COUNTS, PlatformFleet, make_request
from tests.platform.standins import (
    REQUEST_ID_HEADER,
    SEAL_HEADER,
    EngineStandin,
)
from tests.support import async_fetch

SERVICE = 'desk'
DOWN_S = 0.7
MARKED_BODY = b'{"marked": true}'

IsMarked = Callable[[HttpRequest], bool]


class CrashingEngine(EngineStandin):
    """An engine that ends under marked requests and is back in a moment.

    It refuses connections while it is down. Then it serves at its address
    under a new id.
    """

    def __init__(
        self, number: int, fleet: PlatformFleet, is_marked: IsMarked
    ) -> None:
        super().__init__(f'{SERVICE}-c{number}')
        # Ids of the marked requests that reached it, and when.
        self.hits: list[tuple[str, float]] = []
        self._fleet = fleet
        self._is_marked = is_marked
        self._number = number

    async def async_crash(self) -> None:
        """Close all sockets; serve again after a while."""
        await self.async_stop()
        await sleep(DOWN_S)
        await self._fleet.store.async_remove('servers', self.name)
        self.name = f'{SERVICE}-c{self._number}-{len(self.hits)}'
        await self.async_start()
        self._born = len(self.hits) + 1
        entry = self.entry(SERVICE)
        await self._fleet.store.async_put('servers', self.name, entry)

    async def _async_run(
        self, request: HttpRequest, caller: ServerConnection, fault: str
    ) -> None:
        if not self._is_marked(request):
            await super()._async_run(request, caller, fault)
            return
        request_id = request.headers[REQUEST_ID_HEADER]
        self.hits.append((request_id, monotonic()))
        head = {
            REQUEST_ID_HEADER: request_id,
            SEAL_HEADER: f'seal-{self.name}',
            'content-type': 'text/event-stream',
        }
        await caller.async_start_response(200, head)
        # It cancels the task of this connection, too.
        await spawn(self.async_crash, daemon=True)
        await sleep(DOWN_S)


class CrashingFleet:
    """The callers of a fleet whose model engines end under marked requests."""

    def __init__(self, fleet: PlatformFleet, is_marked: IsMarked) -> None:
        self.engines: list[CrashingEngine] = []
        self._fleet = fleet
        self._is_marked = is_marked
        self._numbers = count()

    async def async_start(self, engine_count: int) -> None:
        """Replace the fleet's model engines by these."""
        self.engines = [
            CrashingEngine(number, self._fleet, self._is_marked)
            for number in range(engine_count)
        ]
        await self._fleet.async_replace_model_engines(self.engines)

    @property
    def hits(self) -> list[tuple[str, float]]:
        """Ids of marked requests that reached engines, in order, and when."""
        hits = [hit for engine in self.engines for hit in engine.hits]
        return sorted(hits, key=lambda hit: hit[1])

    async def async_call(self, body: bytes = b'{}', **headers: str) -> int:
        """Send a request as a client does, to each gateway in turn.

        :returns: the status of its response; 0: that was broken off.
        """
        number = next(self._numbers)
        gateway = number % len(self._fleet.gateways)
        request = make_request(
            '/guide/x',
            tokens=TOKEN_COUNTS,
            hornbeamdeck_request_id=f'call-{number}',
            **headers,
        )
        address = self._fleet.address(gateway)
        try:
            got = await async_fetch(address, request._replace(body=body))
        except UnwrapError:
            return 0
        return got.status


def has_marked_body(request: HttpRequest) -> bool:
    """Return whether a request is the one that crashes engines."""
    return request.body == MARKED_BODY


async def async_restart_all(fleet: PlatformFleet) -> None:
    """Kill all gateways at once and start as many that remember nothing."""
    killed = tuple(fleet.gateways)
    for gateway in killed:
        await gateway.async_kill()
    fleet.gateways.clear()
    fleet.settings_changes['is_first_start'] = False
    for number, _ in enumerate(killed):
        await fleet.async_add_gateway(number)
    await fleet.async_until(
        lambda: all(gateway.is_ready for gateway in fleet.gateways)
    )
