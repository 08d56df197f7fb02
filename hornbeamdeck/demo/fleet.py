"""Instances and stand-ins in one process, on ports that the OS assigns."""

import json
from collections import Counter
from typing import Final, NamedTuple, Self

from curio import sleep
from result import Err

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.listener import Listener
from hornbeamdeck.connection.store_client import PlatformClient
from hornbeamdeck.const import KEY_CONFIGURATION
from hornbeamdeck.demo.configuration import make_configuration
from hornbeamdeck.process.instance import Instance, async_setup_instance
from hornbeamdeck.process.settings import Settings
from hornbeamdeck.standin.batch import EngineTiming
from hornbeamdeck.standin.booking import BookingStandin, async_setup_booking
from hornbeamdeck.standin.engine import EngineStandin, async_setup_engine
from hornbeamdeck.standin.platform import (
    PlatformStandin,
    async_setup_platform,
)

__all__ = ('ANY_PORT', 'Fleet', 'FleetPlan')

ANY_PORT: Final = Address('127.0.0.1', 0)
FLEET_SECRET: Final = 'demo-fleet-secret'
OPERATOR_TOKEN: Final = 'demo-operator-token'
READY_POLL_S: Final = 0.02


class FleetPlan(NamedTuple):
    """Size and settings of a fleet.

    :param instances: number of instances.
    :param speeds: speed factors; one engine is started for each.
    """

    instances: int = 3
    speeds: tuple[float, ...] = (1, 0.7, 0.5)
    policy: str = 'grant'
    max_running: int = 16
    max_prompt_tokens: int = 4096
    entries_ttl_ms: int = 200


class Fleet(NamedTuple):
    """A running fleet; replays and tests access its components directly."""

    platform: PlatformStandin
    platform_address: Address
    engines: tuple[EngineStandin, ...]
    booking_service: BookingStandin
    instances: list[Instance]
    listeners: list[Listener]
    plan: FleetPlan

    @classmethod
    async def async_start(cls, plan: FleetPlan) -> Self:
        """Start a fleet and wait until all its instances are ready."""
        platform, listener = await async_setup_platform(ANY_PORT)
        booking, booking_listener = await async_setup_booking(ANY_PORT)
        engines = [
            await async_setup_engine(ANY_PORT, EngineTiming(speed=speed))
            for speed in plan.speeds
        ]
        fleet = cls(
            platform=platform,
            platform_address=listener.address,
            engines=tuple(engine for engine, _ in engines),
            booking_service=booking,
            instances=[],
            listeners=[
                *(each for _, each in engines),
                booking_listener,
                listener,
            ],
            plan=plan,
        )
        await fleet.async_configure(
            [each.address for _, each in engines],
            booking_listener.address,
        )
        await fleet.async_add_instances()
        return fleet

    async def async_add_instances(self) -> None:
        """Start the planned instances and wait until all are ready."""
        for number in range(self.plan.instances):
            await self.async_add_instance(f'instance-{number}')
        await self.async_wait_ready()

    async def async_configure(
        self,
        engines: list[Address],
        booking_address: Address,
    ) -> None:
        """Write a configuration document with the given upstreams.

        :param engines: addresses of the engines.
        :param booking_address: address of the booking service.
        """
        document = make_configuration(
            engines,
            [booking_address],
            max_running=self.plan.max_running,
            max_prompt_tokens=self.plan.max_prompt_tokens,
        )
        await self.async_put_configuration(json.dumps(document))

    async def async_put_configuration(self, document: str) -> None:
        """Write a configuration document to the store.

        :raises RuntimeError: if the document was not written.
        """
        client = PlatformClient(self.platform_address)
        current = await client.async_get(KEY_CONFIGURATION, role='demo')
        stored = current.unwrap()
        written = await client.async_put(
            KEY_CONFIGURATION,
            document,
            expected=stored.version if stored else None,
            role='demo',
        )
        await client.async_close()
        if isinstance(written, Err):
            raise RuntimeError(
                f'configuration document not written: {written.err_value}'
            )

    async def async_add_instance(
        self,
        instance_id: str,
        *,
        seed_peers: tuple[Address, ...] = (),
    ) -> Instance:
        """Start an instance and add it to the fleet.

        :param seed_peers: peers that the instance requests a snapshot from
            while the store is unavailable.
        """
        settings = Settings.from_config(
            {
                'instance_id': instance_id,
                'availability_zone': f'zone-{len(self.instances) % 3}',
                'address': str(ANY_PORT),
                'peer_address': str(ANY_PORT),
                'platform_address': str(self.platform_address),
                'fleet_secret': FLEET_SECRET,
                'operator_token': OPERATOR_TOKEN,
                'policy': self.plan.policy,
                'seed_peers': [str(each) for each in seed_peers],
                'entries_ttl_ms': self.plan.entries_ttl_ms,
            },
        )
        instance = await async_setup_instance(settings)
        self.instances.append(instance)
        return instance

    async def async_wait_ready(self) -> None:
        """Wait until all instances are ready.

        An instance is ready when it has the configuration document and lists
        all instances of the fleet as live.
        """
        while not all(map(self._is_ready, self.instances)):
            await sleep(READY_POLL_S)

    def runs_by_request(self) -> Counter[str]:
        """Count the runs of each request on all engines."""
        runs: Counter[str] = Counter()
        for engine in self.engines:
            runs.update(engine.batch.counters.runs)
        return runs

    def owner_of(self, cell: str) -> Instance:
        """Return the owner of a cell according to the first instance."""
        membership = self.instances[0].components.membership
        owner = membership.owner_of(cell)
        return next(each for each in self.instances if _id_of(each) == owner)

    async def async_stop(self) -> None:
        """Stop all instances and stand-ins."""
        for instance in self.instances:
            await instance.async_kill()
        for listener in self.listeners:
            await listener.async_unload()

    def _is_ready(self, instance: Instance) -> bool:
        components = instance.components
        sees_all = len(components.membership.live()) == len(self.instances)
        return sees_all and bool(components.follower.configuration.version)


def _id_of(instance: Instance) -> str:
    return instance.own.instance_id
