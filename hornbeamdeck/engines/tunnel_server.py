"""Opens tunnels to engines for instances that don't reach them."""

from collections.abc import Callable
from typing import Final

import structlog
from curio import socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.byte_account import ByteAccount, Unlimited
from hornbeamdeck.connection.client import set_ack_timeout
from hornbeamdeck.connection.end_check import async_has_ended
from hornbeamdeck.connection.peer import PeerConnection
from hornbeamdeck.connection.tunnel import async_splice
from hornbeamdeck.engines.engine_dialer import ACK_TIMEOUT_MS, EngineDialer
from hornbeamdeck.engines.send_guard import SendGuard
from hornbeamdeck.scheduling.engine_reach import EnginePath
from hornbeamdeck.wire import Grant, OpenTunnel, TunnelAnswer, TunnelResult

__all__ = ('TunnelServer',)

_LOGGER = structlog.get_logger(prefix='tunnel')

# Shorter than the time that an ingress waits for a tunnel.
CONNECT_TIMEOUT_MS: Final = 150
# How much of the deadline an engine may take to read a part of a request. The
# ingress has a shorter limit where another engine may get the request, but does
# not see what the sockets in between still hold.
SENDING_DEADLINE_SHARE: Final = 0.5
# Each takes two descriptors and up to two buffers.
MAX_TUNNELS: Final = 256
# A tunnel is open a little longer than the ingress waits for a response.
DEADLINE_MARGIN_MS: Final = 1000


class TunnelServer:
    """Passes bytes on between instances and engines."""

    def __init__(
        self,
        dialer: EngineDialer,
        send_guard: SendGuard,
        is_draining: Callable[[], bool],
        open_account: Callable[[], ByteAccount] = Unlimited,
    ) -> None:
        """Start without tunnels.

        :param send_guard: decides whether an engine may get requests from here.
        :param is_draining: whether this process is about to stop.
        :param open_account: makes what counts the bytes held for a tunnel.
        """
        self.open_tunnels = 0
        self._dialer = dialer
        self._send_guard = send_guard
        self._is_draining = is_draining
        self._open_account = open_account

    async def async_serve(
        self, connection: PeerConnection, request: OpenTunnel
    ) -> None:
        """Open a tunnel and pass bytes on until one side closes.

        The caller closes the connection of the ingress.
        """
        self.open_tunnels += 1
        try:
            await self._async_serve(connection, request)
        finally:
            self.open_tunnels -= 1

    async def _async_serve(
        self, connection: PeerConnection, request: OpenTunnel
    ) -> None:
        if request.is_check:
            await _async_check(connection, request)
            return
        opened = await self._async_open(request)
        answer = opened.err() or TunnelResult.OPENED
        _LOGGER.info(
            'tunnel requested',
            request_id=request.request_id,
            ingress=connection.peer_id,
            engine=request.upstream,
            answer=answer.name.lower(),
            open_tunnels=self.open_tunnels,
        )
        sent = await connection.async_send_now(TunnelAnswer(result=answer))
        if isinstance(opened, Err):
            return
        async with opened.ok_value as engine:
            if isinstance(sent, Ok):
                await _async_pass_on(
                    connection, engine, request, self._open_account()
                )

    async def _async_open(
        self, request: OpenTunnel
    ) -> Result[socket.socket, TunnelResult]:
        if self._is_draining() or self.open_tunnels > MAX_TUNNELS:
            return Err(TunnelResult.BUSY)
        if not self._open_account().has_room(0):
            return Err(TunnelResult.BUSY)
        reach = self._dialer.reach
        path = reach.path_to(request.upstream, now_ms())
        if path is EnginePath.RELAY_AND_PROBE:
            await self._dialer.async_start_probe(
                request.upstream, request.address
            )
        if path is not EnginePath.DIRECT:
            return Err(self._failure())
        grant = Grant(
            request_id=request.request_id,
            cell=request.cell,
            upstream=request.upstream,
            address=request.address,
            born_ms=request.born_ms,
        )
        if await self._send_guard.async_check(grant) is not None:
            return Err(TunnelResult.WITHHELD)
        return await self._async_connect(request)

    async def _async_connect(
        self, request: OpenTunnel
    ) -> Result[socket.socket, TunnelResult]:
        connected = await async_connect(
            Address.from_text(request.address), timeout_ms=CONNECT_TIMEOUT_MS
        )
        if isinstance(connected, Err) and connected.err_value.is_local:
            return Err(TunnelResult.BUSY)
        is_reached = isinstance(connected, Ok)
        self._dialer.record(request.upstream, is_reached=is_reached)
        if isinstance(connected, Err):
            return Err(self._failure())
        if request.is_repeatable:
            set_ack_timeout(connected.ok_value, ACK_TIMEOUT_MS)
        return connected

    def _failure(self) -> TunnelResult:
        if self._dialer.reach.is_partitioned(now_ms()):
            return TunnelResult.PARTITIONED
        return TunnelResult.UNREACHED


async def _async_check(connection: PeerConnection, request: OpenTunnel) -> None:
    has_ended = await async_has_ended(request.address)
    answer = TunnelResult.UNREACHED if has_ended else TunnelResult.OPENED
    await connection.async_send_now(TunnelAnswer(result=answer))


async def _async_pass_on(
    connection: PeerConnection,
    engine: socket.socket,
    request: OpenTunnel,
    account: ByteAccount,
) -> None:
    ingress, received = connection.detach()
    limit_ms = request.deadline_ms + DEADLINE_MARGIN_MS
    try:
        await async_with_timeout(
            limit_ms,
            async_splice(
                ingress,
                engine,
                received,
                account,
                sending_limit_ms=request.deadline_ms * SENDING_DEADLINE_SHARE,
            ),
        )
    except TaskTimeout:
        _LOGGER.info('tunnel exceeded its deadline', engine=request.upstream)
