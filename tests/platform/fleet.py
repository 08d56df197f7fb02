"""Gateways, a store and engines in one process, for end-to-end tests."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

from curio import Kernel, Task, sleep, spawn

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.response_limits import ResponseLimits
from hornbeamdeck.const import MEBIBYTE
from hornbeamdeck.membership.liveness import FLEET_CELL
from hornbeamdeck.platform.__main__ import PLATFORM_ADAPTER
from hornbeamdeck.process.gateway import Gateway
from hornbeamdeck.process.gateway_settings import GatewaySettings
from hornbeamdeck.scheduling.engine_load import EngineLoad
from tests.platform.standins import EngineStandin, StoreStandin, document
from tests.support import async_fetch

WAIT_STEP_S = 0.02
WAIT_STEPS = 500
TOKEN_COUNTS = '100,20'
# Position of the metrics endpoint among a gateway's listeners.
METRICS_LISTENER = 2
BOUNDS: Mapping[str, float] = {
    'stability_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 3,
    'configuration_apply_ms': 2000,
    'revocation_ms': 5000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 100,
    'quota_window_s': 8,
    'quota_slack': 1000,
    'entries_ttl_ms': 100,
}
# Callers have no limits of their own on what an instance sends.
CLIENT_LIMITS = ResponseLimits(
    max_body_bytes=64 * MEBIBYTE, max_framing_bytes=MEBIBYTE
)
Scenario = Callable[['PlatformFleet'], Awaitable[None]]


def make_gateway_settings(
    store: Address,
    number: int = 0,
    **changes: Any,
) -> GatewaySettings:
    """Make gateway settings with ports chosen by the operating system.

    :param number: distinguishes the instance IDs of a fleet.
    :param changes: settings that replace the defaults.
    """
    any_port = '127.0.0.1:0'
    return GatewaySettings.from_config(
        {
            'instance_id': f'front-{number}',
            'availability_zone': 'z1',
            'address': any_port,
            'ready_address': any_port,
            'entries_address': any_port,
            'peer_address': any_port,
            'platform_address': str(store),
            'seed_peers': [],
            'fleet_secret': 'a-secret-for-the-tests',
            'is_first_start': True,
            'cores': 1,
            'metrics_port': 0,
            'bounds': dict(BOUNDS),
            **changes,
        },
    )


class PlatformFleet:
    """The store, engines and gateways that a scenario uses."""

    def __init__(self) -> None:
        # Set where a test asks which gateway a task belongs to.
        self.kernel: Kernel | None = None
        # Indexes of gateways by the ids of tasks that belong to them.
        self._gateways_by_task: dict[int, int] = {}
        self.store = StoreStandin()
        self.store_address = Address('127.0.0.1', 0)
        self.model_engines = [EngineStandin('desk-1'), EngineStandin('desk-2')]
        self.booking_engines = [
            EngineStandin('counter-1'),
            EngineStandin('counter-2'),
        ]
        self.gateways: list[Gateway] = []
        self.settings_changes: dict[str, Any] = {}

    async def async_start(self, count: int) -> None:
        """Start store, engines and gateways, and wait until all are ready."""
        self.store_address = await self.store.async_start()
        await self.store.async_put('config', 'main', document())
        for engine in self.model_engines + self.booking_engines:
            await engine.async_start()
            service = engine.name.partition('-')[0]
            entry = engine.entry(service)
            await self.store.async_put('servers', engine.name, entry)
        await self.async_add_gateways(count)

    async def async_add_gateways(self, count: int) -> None:
        """Start gateways, and wait until all are ready and know each other."""
        for number in range(count):
            await self.async_add_gateway(number)
        await self.async_until(
            lambda: all(gateway.is_ready for gateway in self.gateways)
        )
        await self.async_until(
            lambda: all(
                len(gateway.components.heartbeats.liveness.serving_instances())
                == count
                for gateway in self.gateways
            ),
        )

    async def async_add_gateway(
        self,
        number: int,
        *,
        store: Address | None = None,
        seeds: tuple[str, ...] = (),
    ) -> Gateway:
        """Start one more gateway.

        :param store: a store to use instead of the fleet's.
        :param seeds: peer addresses of running gateways.
        """
        settings = make_gateway_settings(
            store or self.store_address,
            number,
            seed_peers=list(seeds),
            **self.settings_changes,
        )
        gateway = Gateway(settings, PLATFORM_ADAPTER)
        await self._async_start_gateway(gateway, len(self.gateways))
        self.gateways.append(gateway)
        return gateway

    async def async_start_again(self, number: int) -> None:
        """Start a gateway that was killed, under the same instance ID."""
        settings = make_gateway_settings(
            self.store_address, number, is_first_start=False
        )
        gateway = Gateway(settings, PLATFORM_ADAPTER)
        await self._async_start_gateway(gateway, number)
        self.gateways[number] = gateway

    async def async_gateway_of_task(self, task: Task) -> int | None:
        """Return the index of the gateway that a task belongs to, if any."""
        assert self.kernel is not None
        found: Task | None = task
        while found is not None:
            gateway = self._gateways_by_task.get(found.parentid)
            if gateway is not None:
                # Its children may outlive it.
                self._gateways_by_task[task.id] = gateway
                return gateway
            found = self.kernel._tasks.get(found.parentid)  # noqa: SLF001
        return None

    async def async_replace_model_engines(
        self, engines: Sequence[EngineStandin]
    ) -> None:
        """Serve the service of model engines by others, with new names."""
        for replaced in self.model_engines:
            await self.store.async_remove('servers', replaced.name)
        self.model_engines = list(engines)
        for engine in engines:
            await engine.async_start()
            entry = engine.entry('desk')
            await self.store.async_put('servers', engine.name, entry)
        names = {engine.name for engine in engines}
        await self.async_until(
            lambda: all(
                gateway.components.cells.cells['desk'].loads.keys() == names
                for gateway in self.gateways
            )
        )

    async def async_stop(self) -> None:
        """Kill all gateways."""
        for gateway in self.gateways:
            await gateway.async_kill()

    async def async_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition.

        :raises AssertionError: if it isn't met within the wait time.
        """
        for _ in range(WAIT_STEPS):
            if condition():
                return
            await sleep(WAIT_STEP_S)
        raise AssertionError('the condition was not met in time')

    def address(self, gateway: int) -> Address:
        """Return the address at which a gateway serves clients."""
        return self.gateways[gateway].components.membership.own_status.address

    @property
    def owner(self) -> Gateway:
        """The gateway that grants for all, as the last one sees it."""
        membership = self.gateways[-1].components.membership
        owner_id = membership.owner_of(FLEET_CELL)
        return next(
            gateway
            for gateway in self.gateways
            if gateway.settings.instance_id == owner_id
        )

    def ranked_gateways(self) -> list[int]:
        """Return the indexes of all gateways, the first owner first."""
        membership = self.gateways[0].components.membership
        return [
            int(instance_id.rpartition('-')[2])
            for instance_id in membership.ranked_ids(FLEET_CELL)
        ]

    async def async_call(
        self,
        path: str,
        gateway: int = 0,
        *,
        tokens: str = '',
        **headers: str,
    ) -> HttpResponse:
        """Send a request to a gateway as a client does.

        :param gateway: index of the gateway in `gateways`.
        """
        return await async_fetch(
            self.address(gateway),
            make_request(path, tokens=tokens, **headers),
        )

    async def async_open(self, gateway: int = 0) -> ClientConnection:
        """Open a client connection to a gateway."""
        opened = await ClientConnection.async_open(
            self.address(gateway),
            timeout_ms=2000,
            limits=CLIENT_LIMITS,
        )
        return opened.unwrap()

    async def _async_start_gateway(self, gateway: Gateway, index: int) -> None:
        """Start by a task of its own, which shows what belongs to it."""
        start = await spawn(gateway.async_start)
        # Its first connections are made before it has ended.
        self._gateways_by_task[start.id] = index
        await start.join()


def make_request(
    path: str,
    *,
    tokens: str = '',
    **headers: str,
) -> HttpRequest:
    """Make a request as a client does.

    :param tokens: prompt tokens and maximum response tokens; empty for a
        request without a model.
    :param headers: names are written with `_` instead of `-`.
    """
    counts = {'hornbeamdeck-token-counts': tokens} if tokens else {}
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return HttpRequest(
        'POST',
        path,
        '',
        {
            'host': 'walks.example',
            'hornbeamdeck-request-id': 'id-1',
            'hornbeamdeck-deadline-ms': '3000',
            'authorization': 'Bearer key-of-guides',
            **counts,
            **named,
        },
        b'{}',
    )


def on_platform(count: int = 1) -> Callable[[Scenario], Callable[[], None]]:
    """Run a scenario with a new fleet.

    :param count: number of gateways.
    """

    def _decorate(scenario: Scenario) -> Callable[[], None]:
        async def _async_run(kernel: Kernel) -> None:
            fleet = PlatformFleet()
            fleet.kernel = kernel
            await fleet.async_start(count)
            try:
                await scenario(fleet)
            finally:
                await fleet.async_stop()

        def _run() -> None:
            with Kernel() as kernel:
                kernel.run(_async_run, kernel)

        _run.__doc__ = scenario.__doc__
        return _run

    return _decorate


def load_at(gateway: Gateway, engine: EngineStandin) -> EngineLoad:
    """Return the load of an engine as a gateway knows it."""
    cells = gateway.components.cells.cells
    return cells[engine.name.partition('-')[0]].loads[engine.name]
