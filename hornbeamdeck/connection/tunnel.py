"""Tunnels to an engine through another instance.

The ingress talks HTTP with the engine as on a direct connection; the relay
passes bytes on and does not read them. What the engine sends comes in chunks,
each with its length in front. A chunk of length 0 shows that the engine has
closed the connection, so a relay that ends does not look like the end of a
response.
"""

import math
import struct
from types import MappingProxyType
from typing import Final, NamedTuple

from curio import TaskGroup, socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.byte_account import ByteAccount, Unlimited
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.peer import PeerConnection, PeerIdentity
from hornbeamdeck.connection.sending import async_send_within
from hornbeamdeck.wire import OpenTunnel, TunnelAnswer, TunnelResult, message_of

__all__ = ('Relay', 'TunnelSocket', 'async_open_tunnel', 'async_splice')

READ_BYTES: Final = 65_536
# A relay holds up to this many bytes for each direction of a tunnel, so that
# the largest number of tunnels stays below 10 MB however slowly they are read.
SPLICE_BYTES: Final = 16_384
CHUNK_LENGTH: Final = struct.Struct('>I')
END_OF_STREAM: Final = CHUNK_LENGTH.pack(0)
_ANSWERS: Final = MappingProxyType({each.value: each for each in TunnelResult})


class Relay(NamedTuple):
    """An instance that may open a tunnel, and where its peers reach it."""

    instance: str
    address: Address


class TunnelSocket:
    """The ingress's end of a tunnel, used as a connected socket."""

    def __init__(self, sock: socket.socket, received: bytes = b'') -> None:
        """Use the socket of a connection to a relay.

        :param received: what has been read from it after the answer.
        """
        self._sock = sock
        self._received = bytearray(received)
        self._chunk_left = 0
        self._has_ended = False

    async def recv(self, max_bytes: int) -> bytes:
        """Receive bytes of the engine; none once it has closed.

        :raises OSError: if the tunnel has broken.
        """
        while not self._chunk_left and not self._has_ended:
            await self._async_fill(CHUNK_LENGTH.size)
            header = self._take(CHUNK_LENGTH.size)
            self._chunk_left = CHUNK_LENGTH.unpack(header)[0]
            self._has_ended = not self._chunk_left
        if self._has_ended:
            return b''
        await self._async_fill(1)
        taken = self._take(min(max_bytes, self._chunk_left))
        self._chunk_left -= len(taken)
        return taken

    async def sendall(self, sent: bytes) -> None:
        """Send bytes to the engine.

        :raises OSError: if the tunnel has broken.
        """
        await self._sock.sendall(sent)

    async def send(self, unsent: bytes | memoryview) -> int:
        """Send bytes to the engine and return how many were taken.

        :raises OSError: if the tunnel has broken.
        """
        return int(await self._sock.send(unsent))

    async def shutdown(self, how: int) -> None:
        """Shut the tunnel down in one direction, or both."""
        await self._sock.shutdown(how)

    async def close(self) -> None:
        """Close the tunnel, and with it the connection to the engine."""
        await self._sock.close()

    async def _async_fill(self, least: int) -> None:
        while len(self._received) < least:
            received = await self._sock.recv(READ_BYTES)
            if not received:
                raise ConnectionResetError('the relay has closed the tunnel')
            self._received += received

    def _take(self, most: int) -> bytes:
        taken = bytes(self._received[:most])
        self._received = self._received[most:]
        return taken


async def async_open_tunnel(
    relay: Relay,
    identity: PeerIdentity,
    request: OpenTunnel,
    *,
    timeout_ms: int,
) -> Result[TunnelSocket, TunnelResult]:
    """Ask an instance to connect to an engine.

    :param timeout_ms: time limit for all of it, milliseconds.
    :returns: the tunnel, or why there is none; then no byte has reached the
        engine. An instance that does not answer counts as busy.
    """
    try:
        return await async_with_timeout(
            timeout_ms, _async_open(relay, identity, request)
        )
    except TaskTimeout:
        return Err(TunnelResult.BUSY)


async def _async_open(
    relay: Relay, identity: PeerIdentity, request: OpenTunnel
) -> Result[TunnelSocket, TunnelResult]:
    opened = await PeerConnection.async_open(relay.address, identity)
    if isinstance(opened, Err):
        return Err(TunnelResult.BUSY)
    connection = opened.ok_value
    answer = TunnelResult.BUSY
    try:
        if connection.peer_id == relay.instance:
            answer = await _async_request(connection, request)
    finally:
        if answer != TunnelResult.OPENED:
            await connection.async_close()
    if answer != TunnelResult.OPENED:
        return Err(answer)
    return Ok(TunnelSocket(*connection.detach()))


async def _async_request(
    connection: PeerConnection, request: OpenTunnel
) -> TunnelResult:
    sent = await connection.async_send_now(request)
    if isinstance(sent, Err):
        return TunnelResult.BUSY
    received = await connection.async_receive()
    if isinstance(received, Err):
        return TunnelResult.BUSY
    message = message_of(received.ok_value)
    if not isinstance(message, TunnelAnswer):
        return TunnelResult.BUSY
    return _ANSWERS.get(message.result, TunnelResult.BUSY)


async def async_splice(
    ingress: socket.socket,
    engine: socket.socket,
    received: bytes,
    account: ByteAccount | None = None,
    *,
    sending_limit_ms: float = math.inf,
) -> None:
    """Pass bytes on in both directions until one side has closed.

    :param received: what the ingress has sent already.
    :param account: counts the bytes that one side has not taken yet.
    :param sending_limit_ms: how long the engine may take to read a part of the
        request, at most `SPLICE_BYTES`; then both sides are closed.
    """
    held = account or Unlimited()
    engine_end = _EngineEnd(engine, sending_limit_ms)
    try:
        async with TaskGroup(wait=any) as copying:
            await copying.spawn(
                _async_copy_to_engine, ingress, engine_end, received, held
            )
            await copying.spawn(
                _async_copy_to_ingress, engine_end, ingress, held
            )
    finally:
        held.drop()


class _EngineEnd:
    """The engine's end of a tunnel, which both directions use.

    The operating system reports a reset once, to the direction that uses the
    socket first. To the other, the connection then looks closed.
    """

    def __init__(self, sock: socket.socket, sending_limit_ms: float) -> None:
        """Use the socket of a connection to the engine."""
        self._sock = sock
        self._sending_limit_ms = sending_limit_ms
        self._has_broken = False

    async def async_send(self, sent: bytes) -> Result[None, ConnectionBroken]:
        """Send a part of the request."""
        written = await async_send_within(
            self._sock, sent, self._sending_limit_ms
        )
        self._has_broken = isinstance(written, Err)
        return written

    async def async_receive(self) -> bytes:
        """Receive a part of the response; none once the engine has closed.

        :raises OSError: if the connection has broken.
        """
        received = await self._sock.recv(SPLICE_BYTES)
        if not received and self._has_broken:
            raise ConnectionResetError('broken while the request was sent')
        return bytes(received)


async def _async_copy_to_engine(
    ingress: socket.socket,
    engine: _EngineEnd,
    received: bytes,
    held: ByteAccount,
) -> None:
    try:
        while True:
            held.hold(len(received))
            sent = await engine.async_send(received)
            if isinstance(sent, Err):
                return
            held.drop(len(received))
            received = await ingress.recv(SPLICE_BYTES)
            if not received:
                return
    except OSError:
        return


async def _async_copy_to_ingress(
    engine: _EngineEnd, ingress: socket.socket, held: ByteAccount
) -> None:
    try:
        while True:
            received = await engine.async_receive()
            if not received:
                await ingress.sendall(END_OF_STREAM)
                return
            held.hold(len(received))
            await ingress.sendall(CHUNK_LENGTH.pack(len(received)) + received)
            held.drop(len(received))
    except OSError:
        return
