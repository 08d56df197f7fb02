"""Partitions between gateways of a test fleet, or from engines or store."""

import enum
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol, TypeVar
from unittest.mock import patch

from curio import current_task, sleep
from curio.io import Socket

from tests.platform.fleet import PlatformFleet

HANG_STEP_S = 0.02
_Receive = Callable[[Socket, int], Awaitable[bytes]]
_Connect = Callable[[Socket, Any], Awaitable[None]]


class Cut(enum.Enum):
    """What a partition does to connections to engines."""

    SILENT = enum.auto()
    RESET = enum.auto()
    NEW_REFUSED = enum.auto()


class Partition:
    """Gateways that can't reach some addresses while all else reaches them.

    All gateways of a fleet run in one process, so the gateway that uses a
    socket is found by the task that does.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        gateways: set[int],
        cut: Cut,
        ports: set[int],
    ) -> None:
        """Cut these gateways off, by their index in the fleet.

        :param ports: which they can't reach.
        """
        self._fleet = fleet
        self._gateways = gateways
        self._cut = cut
        self._ports = ports

    async def async_connect(
        self, sock: Socket, address: Any, original: _Connect
    ) -> None:
        """Connect, unless the gateway of this task is cut off."""
        while await self._async_is_cut(address):
            if self._cut is not Cut.SILENT:
                raise ConnectionRefusedError
            await sleep(HANG_STEP_S)
        await original(sock, address)

    async def async_receive(
        self, sock: Socket, limit: int, original: _Receive
    ) -> bytes:
        """Receive, unless the gateway of this task is cut off."""
        received = await original(sock, limit)
        while received and await self._async_is_cut(peer_address(sock)):
            if self._cut is Cut.NEW_REFUSED:
                break
            if self._cut is Cut.RESET:
                raise ConnectionResetError
            await sleep(HANG_STEP_S)
        return received

    async def _async_is_cut(self, address: Any) -> bool:
        # Each use of a socket shows which gateway a task belongs to.
        gateway = await self._fleet.async_gateway_of_task(await current_task())
        return gateway in self._gateways and address[1] in self._ports


def peer_address(sock: Socket) -> Any:
    """Return the address of the other end."""
    try:
        return sock._socket.getpeername()  # noqa: SLF001
    except OSError:
        return ('', 0)


@contextmanager
def partition(
    fleet: PlatformFleet,
    gateways: set[int],
    cut: Cut,
    ports: set[int] | None = None,
) -> Iterator[Partition]:
    """Cut gateways off until the end of the context.

    :param ports: which they can't reach; `None`: those of all engines.
    """
    engines = fleet.model_engines + fleet.booking_engines
    cut_ports = ports or {engine.address.port for engine in engines}
    with patched_sockets(Partition(fleet, gateways, cut, cut_ports)) as made:
        yield made


class PeerPartition:
    """A partition between gateways; each side reaches engines and store.

    The end of a connection that a gateway has accepted is told by the port
    from which its peer has connected.
    """

    def __init__(self, fleet: PlatformFleet) -> None:
        """Start without a partition."""
        self.cut_off: set[int] = set()
        self._fleet = fleet
        self._origins: dict[int, int] = {}

    async def async_connect(
        self, sock: Socket, address: Any, original: _Connect
    ) -> None:
        """Connect, unless the address belongs to the other side."""
        gateway = await self._async_own_gateway()
        while self._is_cut(gateway, self._peer_ports().get(address[1])):
            await sleep(HANG_STEP_S)
        await original(sock, address)
        local_port = sock._socket.getsockname()[1]  # noqa: SLF001
        # The port may have been that of a gateway's earlier connection.
        self._origins.pop(local_port, None)
        if gateway is not None:
            self._origins[local_port] = gateway

    async def async_receive(
        self, sock: Socket, limit: int, original: _Receive
    ) -> bytes:
        """Receive, unless the sender belongs to the other side."""
        received = await original(sock, limit)
        gateway = await self._async_own_gateway()
        port = peer_address(sock)[1]
        sender = self._peer_ports().get(port, self._origins.get(port))
        while received and self._is_cut(gateway, sender):
            await sleep(HANG_STEP_S)
        return received

    async def _async_own_gateway(self) -> int | None:
        return await self._fleet.async_gateway_of_task(await current_task())

    def _peer_ports(self) -> dict[int, int]:
        return {
            gateway.components.membership.own_status.peer_address.port: number
            for number, gateway in enumerate(self._fleet.gateways)
        }

    def _is_cut(self, one: int | None, other: int | None) -> bool:
        if one is None or other is None:
            return False
        return (one in self.cut_off) != (other in self.cut_off)


@contextmanager
def peer_partition(fleet: PlatformFleet) -> Iterator[PeerPartition]:
    """Let a test cut gateways off from each other, by `cut_off`."""
    with patched_sockets(PeerPartition(fleet)) as made:
        yield made


class _SocketUse(Protocol):
    async def async_connect(
        self, sock: Socket, address: Any, original: _Connect
    ) -> None:
        """Connect as far as the partition allows."""

    async def async_receive(
        self, sock: Socket, limit: int, original: _Receive
    ) -> bytes:
        """Receive as far as the partition allows."""


_AnyPartition = TypeVar('_AnyPartition', bound=_SocketUse)


@contextmanager
def patched_sockets(made: _AnyPartition) -> Iterator[_AnyPartition]:
    """Route all connects and reads through a partition."""
    original_connect = Socket.connect
    original_receive = Socket.recv

    async def _async_connect(sock: Socket, address: Any) -> None:
        await made.async_connect(sock, address, original_connect)

    async def _async_receive(sock: Socket, limit: int, *_flags: Any) -> bytes:
        return await made.async_receive(sock, limit, original_receive)

    with (
        patch.object(Socket, 'connect', _async_connect),
        patch.object(Socket, 'recv', _async_receive),
    ):
        yield made
