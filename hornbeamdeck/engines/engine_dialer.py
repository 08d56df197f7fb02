"""Opens connections to engines, through another instance where that is needed.

An instance that has lost its network path to the engines still holds the
requests of its callers. It goes on to speak with the engines itself, through a
tunnel that another instance opens for it.
"""

import random
from collections.abc import Callable, Collection
from typing import Final, NamedTuple

import structlog
from curio import sleep, spawn
from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.byte_account import (
    OpenResponse,
    UnlimitedResponse,
)
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.end_check import async_has_ended
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.connection.peer import PeerIdentity
from hornbeamdeck.connection.tunnel import (
    Relay,
    TunnelSocket,
    async_open_tunnel,
)
from hornbeamdeck.membership.membership import InstanceStatus
from hornbeamdeck.scheduling.engine_reach import EnginePath, EngineReach
from hornbeamdeck.scheduling.relay_choice import RelayCandidate, RelayChoice
from hornbeamdeck.wire import Grant, OpenTunnel, TunnelResult

__all__ = ('EngineDialer', 'EngineLink', 'Unreached')

_LOGGER = structlog.get_logger(prefix='engines')

# Engines are milliseconds away. If connecting takes longer, a packet was lost,
# the machine is down or the network path to it is, and another way is quicker.
# A process that waits for its processor must not take that for a partition.
CONNECT_TIMEOUT_MS: Final = 400
# Covers the connection to a relay and the relay's connection to the engine.
TUNNEL_TIMEOUT_MS: Final = 250
# Limit for all of it. What a request was granted on must still hold when it is
# sent.
DIAL_TIMEOUT_MS: Final = 600
MAX_RELAYS: Final = 4
# How long a request waits for a direct connect if no other instance has a way.
PROBE_WAIT_MS: Final = 100
PROBE_POLL_S: Final = 0.005
# Covers the connection to a relay and its check of an engine.
CHECK_TIMEOUT_MS: Final = 700
# An engine that this many other instances can't reach is likely to be down.
MIN_WITNESSES: Final = 2
# How long a machine may take to acknowledge a request. A connection to a
# machine that lost power shows no other sign of the failure. One lost packet is
# resent within 200 ms, and a second time after 400 ms more.
ACK_TIMEOUT_MS: Final = 600
# Answers of an instance that can't open a tunnel to any engine now.
_UNFIT: Final = frozenset((TunnelResult.PARTITIONED, TunnelResult.BUSY))


class EngineLink(NamedTuple):
    """A connection to an engine.

    :param relay: the instance that it leads through; empty: none.
    """

    connection: ClientConnection
    relay: str = ''


class Unreached(NamedTuple):
    """No byte reached the engine.

    :param failed: how the direct connect failed; `None`: it was not tried.
    :param is_confirmed: whether it is likely that other instances can't reach
        the engine either; `False`: this process may be the only one.
    """

    cause: str
    failed: ConnectFailed | None
    is_confirmed: bool


class EngineDialer:
    """Connects to granted engines and knows which ones are in reach."""

    def __init__(
        self,
        identity: PeerIdentity,
        availability_zone: str,
        serving_instances: Callable[[], list[InstanceStatus]],
        open_response: OpenResponse = UnlimitedResponse,
    ) -> None:
        """Start with all engines in reach.

        :param serving_instances: returns the instances that serve callers.
        :param open_response: makes what counts the bytes of a response.
        """
        self.open_response = open_response
        self.reach = EngineReach()
        self.tunnels_opened = 0
        self._identity = identity
        self._zone = availability_zone
        self._serving_instances = serving_instances
        self._relays = RelayChoice(random.random)
        self._was_partitioned = False
        # Engines that are being connected to, to find out about the path.
        self._probed: set[str] = set()

    def is_in_reach(self, engine: str) -> bool:
        """Return whether an engine may be connected to directly."""
        return self.reach.is_in_reach(engine, now_ms())

    def count_unreached(self) -> int:
        """Count the engines that this process does not reach itself."""
        return len(self.reach.unreached(now_ms()))

    def record(self, engine: str, *, is_reached: bool) -> None:
        """Record whether this process has reached an engine itself."""
        now = now_ms()
        self.reach.record(engine, now, is_reached=is_reached)
        is_partitioned = self.reach.is_partitioned(now)
        if is_partitioned != self._was_partitioned:
            self._was_partitioned = is_partitioned
            _LOGGER.warning(
                'reach of engines changed',
                is_partitioned=is_partitioned,
                engine=engine,
                unreached=self.reach.unreached(now),
            )

    async def async_open(
        self, grant: Grant, *, is_repeatable: bool, deadline_ms: int
    ) -> Result[EngineLink, Unreached]:
        """Connect to the engine of a grant.

        :param is_repeatable: whether the engine may get the request twice.
            Otherwise there is no time limit for its acknowledgement, because
            the engine may still respond once an interruption has ended.
        :param deadline_ms: time left until the response is due.
        """
        started_ms = now_ms()
        path = self.reach.path_to(grant.upstream, started_ms)
        failed: ConnectFailed | None = None
        if path is EnginePath.DIRECT:
            opened = await self.async_connect(
                grant.upstream, grant.address, is_repeatable=is_repeatable
            )
            if isinstance(opened, Ok):
                return Ok(EngineLink(opened.ok_value))
            failed = opened.err_value
            if failed.is_local:
                return Err(Unreached(failed.cause, failed, is_confirmed=False))
        if path is EnginePath.RELAY_AND_PROBE:
            await self.async_start_probe(grant.upstream, grant.address)
        request = _make_request(
            grant, deadline_ms=deadline_ms, is_repeatable=is_repeatable
        )
        relays = self._relays_for(grant.relays or ())
        tunnel = await self._async_open_tunnel(
            request, relays, started_ms + DIAL_TIMEOUT_MS
        )
        if (
            isinstance(tunnel, Err)
            and path is not EnginePath.DIRECT
            and await self._async_is_back(
                grant.upstream, started_ms + DIAL_TIMEOUT_MS
            )
        ):
            opened = await self.async_connect(
                grant.upstream, grant.address, is_repeatable=is_repeatable
            )
            if isinstance(opened, Ok):
                return Ok(EngineLink(opened.ok_value))
            failed = opened.err_value
        return tunnel.map_err(
            lambda answers: Unreached(
                _describe(failed, answers),
                failed,
                is_confirmed=self._is_confirmed(answers, len(relays)),
            )
        )

    async def async_has_ended(self, grant: Grant, relay: str) -> bool:
        """Return whether the engine of a run that broke refuses connections.

        :param relay: the instance that the run went through, which can tell;
            empty: this one.
        """
        if not relay:
            return await async_has_ended(grant.address)
        request = _make_request(
            grant, deadline_ms=CHECK_TIMEOUT_MS, is_repeatable=True
        )
        request.is_check = True
        for each in self._relays_for((relay,)):
            if each.instance == relay:
                opened = await async_open_tunnel(
                    each, self._identity, request, timeout_ms=CHECK_TIMEOUT_MS
                )
                if isinstance(opened, Ok):
                    await opened.ok_value.close()
                return opened.err() is TunnelResult.UNREACHED
        return False

    async def async_connect(
        self, engine: str, address: str, *, is_repeatable: bool
    ) -> Result[ClientConnection, ConnectFailed]:
        """Connect directly, and record whether that was possible."""
        opened = await ClientConnection.async_open(
            Address.from_text(address),
            timeout_ms=CONNECT_TIMEOUT_MS,
            ack_timeout_ms=ACK_TIMEOUT_MS if is_repeatable else 0,
        )
        if isinstance(opened, Ok) or not opened.err_value.is_local:
            self.record(engine, is_reached=isinstance(opened, Ok))
        return opened

    async def async_start_probe(self, engine: str, address: str) -> None:
        """Find out in the background whether an engine is in reach again."""
        self._probed.add(engine)
        await spawn(self._async_probe, engine, address, daemon=True)

    async def _async_probe(self, engine: str, address: str) -> None:
        try:
            opened = await self.async_connect(
                engine, address, is_repeatable=True
            )
        finally:
            self._probed.discard(engine)
        if isinstance(opened, Ok):
            await opened.ok_value.async_close()

    async def _async_is_back(self, engine: str, until_ms: float) -> bool:
        """Return whether an engine that seemed out of reach is not.

        Engines that end at once look like a lost path to all instances, until
        one of them has connected to an engine again.
        """
        until_ms = min(now_ms() + PROBE_WAIT_MS, until_ms)
        while engine in self._probed and now_ms() < until_ms:
            await sleep(PROBE_POLL_S)
        return self.is_in_reach(engine)

    async def _async_open_tunnel(
        self, request: OpenTunnel, relays: list[Relay], until_ms: float
    ) -> Result[EngineLink, list[TunnelResult]]:
        """Ask instances one after another; return their answers if none can."""
        answers: list[TunnelResult] = []
        for relay in relays:
            timeout_ms = min(int(until_ms - now_ms()), TUNNEL_TIMEOUT_MS)
            if timeout_ms <= 0 or (
                answers.count(TunnelResult.UNREACHED) >= MIN_WITNESSES
            ):
                break
            opened = await async_open_tunnel(
                relay, self._identity, request, timeout_ms=timeout_ms
            )
            if isinstance(opened, Ok):
                self.tunnels_opened += 1
                return Ok(_make_link(opened.ok_value, request, relay))
            answers.append(opened.err_value)
            if opened.err_value in _UNFIT:
                self._relays.record_unfit(relay.instance, now_ms())
        return Err(answers)

    def _is_confirmed(
        self, answers: list[TunnelResult], relay_count: int
    ) -> bool:
        """Return whether others have confirmed that an engine is down."""
        if not self.reach.is_partitioned(now_ms()):
            return True
        unreached = answers.count(TunnelResult.UNREACHED)
        return unreached >= min(MIN_WITNESSES, relay_count)

    def _relays_for(self, named: Collection[str]) -> list[Relay]:
        """List the instances to ask, those that the owner has named first."""
        own_id = self._identity.instance_id
        others = {
            status.instance_id: status
            for status in self._serving_instances()
            if status.instance_id != own_id
        }
        ordered = self._relays.order(
            (
                RelayCandidate(
                    name, status.availability_zone, is_named=name in named
                )
                for name, status in others.items()
            ),
            self._zone,
            now_ms(),
        )
        return [
            Relay(name, others[name].peer_address)
            for name in ordered[:MAX_RELAYS]
        ]


def _make_request(
    grant: Grant, *, deadline_ms: int, is_repeatable: bool
) -> OpenTunnel:
    return OpenTunnel(
        request_id=grant.request_id,
        cell=grant.cell,
        upstream=grant.upstream,
        address=grant.address,
        born_ms=grant.born_ms or 0,
        deadline_ms=deadline_ms,
        is_repeatable=is_repeatable,
    )


def _describe(failed: ConnectFailed | None, answers: list[TunnelResult]) -> str:
    cause = failed.cause if failed else 'out of reach'
    names = [answer.name.lower() for answer in answers]
    return f'{cause}; relays: {names}'


def _make_link(
    tunnel: TunnelSocket, request: OpenTunnel, relay: Relay
) -> EngineLink:
    address = Address.from_text(request.address)
    return EngineLink(ClientConnection(tunnel, address), relay.instance)
