"""A connection between two instances: handshake and framed messages."""

import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, Self, TypeAlias

from curio import Queue, socket, spawn
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.errors import ConnectFailed, ConnectionBroken
from hornbeamdeck.const import ENCODING
from hornbeamdeck.hybrid_clock import HybridClock
from hornbeamdeck.wire import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    Envelope,
    Hello,
    Message,
    Proof,
    decode_frame,
    encode_frame,
)
from hornbeamdeck.wire.codec import LENGTH

__all__ = ('PeerConnection', 'PeerIdentity', 'PeerError')

HANDSHAKE_TIMEOUT_MS: Final = 1000
NONCE_BYTES: Final = 16
READ_BYTES: Final = 65536

PeerError: TypeAlias = ConnectFailed | ConnectionBroken


class PeerIdentity(NamedTuple):
    """Who this process is to its peers.

    :param version: tells the configuration version in force.
    :param clock: stamps what is sent, and follows what is received.
    :param count_bytes: told of bytes that passed, with their direction.
    """

    instance_id: str
    fleet_secret: str
    version: Callable[[], int]
    count_bytes: Callable[[str, int], None]
    clock: HybridClock


class PeerConnection:
    """Sends and receives messages; a task of its own writes.

    The writer is apart from the tasks that send, since one of those may be
    cancelled (its caller left) in the middle of a frame, and the peer would
    take the rest of the stream for garbage.
    """

    def __init__(self, sock: socket.socket, identity: PeerIdentity) -> None:
        """Take a connected socket; no byte has passed yet."""
        self.peer_id = ''
        self._max_frame_bytes = MAX_HANDSHAKE_BYTES
        self._sock = sock
        self._identity = identity
        self._received = bytearray()
        self._outbox: Queue = Queue()

    @classmethod
    async def async_open(
        cls,
        address: Address,
        identity: PeerIdentity,
    ) -> Result[Self, PeerError]:
        """Connect to a peer and prove to each other who both are."""
        connected = await async_connect(
            address,
            timeout_ms=HANDSHAKE_TIMEOUT_MS,
        )
        if isinstance(connected, Err):
            return connected
        connection = cls(connected.ok_value, identity)
        proved = await connection.async_handshake(is_caller=True)
        if isinstance(proved, Err):
            await connection.async_close()
            return proved
        return Ok(connection)

    async def async_handshake(
        self,
        *,
        is_caller: bool,
    ) -> Result[None, ConnectionBroken]:
        """Prove knowledge of the fleet secret, each with a fresh nonce."""
        try:
            return await async_within(
                HANDSHAKE_TIMEOUT_MS,
                self._async_handshake(is_caller),
            )
        except TaskTimeout:
            return Err(ConnectionBroken('handshake not in time'))

    async def async_send(self, message: Message) -> None:
        """Queue a message; never waits for the peer."""
        await self._outbox.put(message)

    def take_over(self, outbox: Queue) -> None:
        """Write from a queue that messages already wait in."""
        self._outbox = outbox

    async def async_receive(self) -> Result[Envelope, ConnectionBroken]:
        """Wait for the next message."""
        try:
            header = await self._async_take(LENGTH.size)
            length = LENGTH.unpack(header)[0]
            if length > self._max_frame_bytes:
                return Err(ConnectionBroken(f'a frame of {length} bytes'))
            frame = await self._async_take(length)
        except (OSError, EOFError) as error:
            return Err(ConnectionBroken(repr(error)))
        decoded = decode_frame(frame)
        if isinstance(decoded, Ok):
            self._identity.clock.observe(decoded.ok_value.clock_us)
        return decoded.map_err(lambda bad: ConnectionBroken(bad.cause))

    async def async_write(self) -> None:
        """Write queued messages until cancelled or the connection breaks.

        However this ends, the reading side sees the connection end with it:
        a peer that could be heard and not be told anything would look alive.
        """
        try:
            await self._async_write_all()
        except OSError:
            return
        finally:
            await self._async_shut_down()

    async def async_close(self) -> None:
        """Close the socket."""
        await self._sock.close()

    async def _async_write_all(self) -> None:
        while True:
            frames = self._encode(await self._outbox.get())
            while not self._outbox.empty():
                frames += self._encode(await self._outbox.get())
            await self._sock.sendall(frames)
            self._identity.count_bytes('sent', len(frames))

    async def _async_shut_down(self) -> None:
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _encode(self, message: Message) -> bytes:
        return encode_frame(
            message,
            configuration_version=self._identity.version(),
            clock_us=self._identity.clock.stamp(),
        )

    async def _async_handshake(
        self,
        is_caller: bool,
    ) -> Result[None, ConnectionBroken]:
        nonce = secrets.token_bytes(NONCE_BYTES)
        hello = Hello(instance_id=self._identity.instance_id, nonce=nonce)
        await self._sock.sendall(self._encode(hello))
        received = await self.async_receive()
        if isinstance(received, Err):
            return received
        theirs = received.ok_value.hello
        if theirs is None:
            return Err(ConnectionBroken('no hello'))
        if theirs.instance_id == self._identity.instance_id:
            return Err(ConnectionBroken('a peer with the own instance_id'))
        proof = Proof(mac=self._mac(hello, theirs, is_caller=is_caller))
        await self._sock.sendall(self._encode(proof))
        received = await self.async_receive()
        if isinstance(received, Err):
            return received
        expected = self._mac(theirs, hello, is_caller=not is_caller)
        proved = received.ok_value.proof
        if proved is None or not hmac.compare_digest(proved.mac, expected):
            return Err(ConnectionBroken('wrong proof'))
        self.peer_id = theirs.instance_id
        self._max_frame_bytes = MAX_FRAME_BYTES
        return Ok(None)

    def _mac(self, own: Hello, other: Hello, *, is_caller: bool) -> bytes:
        # The role is part of it: without it, a stranger could have a peer
        # prove its own challenge by sending it back on a second connection.
        parts = (
            b'caller' if is_caller else b'callee',
            own.instance_id.encode(ENCODING),
            own.nonce,
            other.instance_id.encode(ENCODING),
            other.nonce,
        )
        digest = hmac.new(
            self._identity.fleet_secret.encode(ENCODING),
            digestmod=hashlib.sha256,
        )
        for part in parts:
            digest.update(LENGTH.pack(len(part)))
            digest.update(part)
        return digest.digest()

    async def _async_take(self, length: int) -> bytes:
        while len(self._received) < length:
            received = await self._sock.recv(READ_BYTES)
            if not received:
                raise EOFError('closed by the peer')
            self._identity.count_bytes('received', len(received))
            self._received += received
        taken = bytes(self._received[:length])
        self._received = self._received[length:]
        return taken


async def async_run_peer(
    connection: PeerConnection,
    on_envelope: Callable[[Envelope], Awaitable[None]],
) -> ConnectionBroken:
    """Receive until the connection breaks; the writer ends with it.

    :returns: what broke it.
    """
    writer = await spawn(connection.async_write, daemon=True)
    try:
        while True:
            received = await connection.async_receive()
            if isinstance(received, Err):
                return received.err_value
            await on_envelope(received.ok_value)
    finally:
        await writer.cancel()
        await connection.async_close()
