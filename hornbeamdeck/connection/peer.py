"""Connections between two instances: handshake and framed messages.

What a peer may send is bounded: a frame of at most `MAX_FRAME_BYTES`, 2 MB,
also for a snapshot; before both sides are authenticated, `MAX_HANDSHAKE_BYTES`,
4 KB, within `HANDSHAKE_TIMEOUT_MS`. Those who ask for a snapshot or a tunnel
limit the time for its answer. A peer that otherwise sends no frames is found by
heartbeats.
"""

import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, Self, TypeAlias

import structlog
from curio import Queue, socket, spawn
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.byte_account import ByteAccount, Unlimited
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
from hornbeamdeck.wire.codec import CODEC_ERRORS, LENGTH_PREFIX

__all__ = ('PeerConnection', 'PeerIdentity', 'PeerError')

_LOGGER = structlog.get_logger(prefix='peers')

HANDSHAKE_TIMEOUT_MS: Final = 1000
NONCE_BYTES: Final = 16
READ_BYTES: Final = 65536
# A peer that does not take messages for longer is lost. Without a limit, the
# queue would grow for as long as the peer sends but does not read.
WRITE_TIMEOUT_MS: Final = 5000
MAX_LOGGED_CHARS: Final = 200

PeerError: TypeAlias = ConnectFailed | ConnectionBroken


class PeerIdentity(NamedTuple):
    """Identity of this process towards its peers.

    :param configuration_version: returns the configuration version in force.
    :param count_bytes: called with the direction (`sent` or `received`) and
        the number of bytes.
    :param clock: stamps sent messages and observes the received stamps.
    :param outgoing: counts the bytes of messages that peers have not taken.
    """

    instance_id: str
    fleet_secret: str
    configuration_version: Callable[[], int]
    count_bytes: Callable[[str, int], None]
    clock: HybridClock
    outgoing: ByteAccount = Unlimited()


class PeerConnection:
    """Sends and receives messages; a separate task writes to the socket.

    A task that sends may be cancelled in the middle of a frame, for instance
    when its caller disconnects. The peer could then read nothing that follows.
    Such a task therefore only queues its messages.
    """

    def __init__(self, sock: socket.socket, identity: PeerIdentity) -> None:
        """Use a connected socket on which no byte was sent or received."""
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
        """Connect to a peer and authenticate both sides."""
        connected = await async_connect(
            address,
            timeout_ms=HANDSHAKE_TIMEOUT_MS,
        )
        if isinstance(connected, Err):
            return connected
        connection = cls(connected.ok_value, identity)
        try:
            authenticated = await connection.async_handshake(is_caller=True)
        except BaseException:
            await connection.async_close()
            raise
        if isinstance(authenticated, Err):
            await connection.async_close()
            return authenticated
        return Ok(connection)

    async def async_handshake(
        self,
        *,
        is_caller: bool,
    ) -> Result[None, ConnectionBroken]:
        """Authenticate both sides with the fleet secret and fresh nonces.

        :param is_caller: whether this side opened the connection.
        """
        try:
            return await async_with_timeout(
                HANDSHAKE_TIMEOUT_MS,
                self._async_exchange_proofs(is_caller),
            )
        except TaskTimeout:
            return Err(ConnectionBroken('handshake exceeded its time limit'))
        except OSError as error:
            return Err(ConnectionBroken(repr(error)))

    async def async_send(self, message: Message) -> None:
        """Queue a message without waiting for the peer."""
        await self._outbox.put(message)

    async def async_send_now(
        self, message: Message
    ) -> Result[None, ConnectionBroken]:
        """Write a message; only for a connection without a writing task."""
        try:
            await self._sock.sendall(self._encode(message))
        except OSError as error:
            return Err(ConnectionBroken(repr(error)))
        return Ok(None)

    def detach(self) -> tuple[socket.socket, bytes]:
        """Return the socket and what was read from it and not used yet."""
        return self._sock, bytes(self._received)

    def attach_outbox(self, outbox: Queue) -> None:
        """Write from the given queue, which may already hold messages."""
        self._outbox = outbox

    async def async_receive(self) -> Result[Envelope, ConnectionBroken]:
        """Receive the next message."""
        try:
            header = await self._async_read_exactly(LENGTH_PREFIX.size)
            length = LENGTH_PREFIX.unpack(header)[0]
            if length > self._max_frame_bytes:
                return Err(
                    ConnectionBroken(
                        f'frame of {length} bytes exceeds the limit'
                    )
                )
            frame = await self._async_read_exactly(length)
        except (OSError, EOFError) as error:
            return Err(ConnectionBroken(repr(error)))
        decoded = decode_frame(frame)
        if isinstance(decoded, Ok):
            self._identity.clock.observe(decoded.ok_value.clock_us)
        return decoded.map_err(lambda bad: ConnectionBroken(bad.cause))

    async def async_write(self) -> None:
        """Write queued messages until cancelled or the connection breaks.

        In both cases the socket is shut down, so that receiving ends too.
        Otherwise a peer would seem alive that still sends messages but can't
        be sent any.
        """
        try:
            await self._async_write_all()
        except (OSError, TaskTimeout):
            return
        finally:
            await self._async_shut_down()

    async def async_close(self) -> None:
        """Close the socket."""
        await self._sock.close()

    async def _async_write_all(self) -> None:
        while True:
            frames = self._encode_if_possible(await self._outbox.get())
            while not self._outbox.empty():
                frames += self._encode_if_possible(await self._outbox.get())
            await self._async_write_frames(frames)
            self._identity.count_bytes('sent', len(frames))

    async def _async_write_frames(self, frames: bytes) -> None:
        outgoing = self._identity.outgoing
        outgoing.hold(len(frames))
        try:
            await async_with_timeout(
                WRITE_TIMEOUT_MS, self._sock.sendall(frames)
            )
        finally:
            outgoing.drop(len(frames))

    async def _async_shut_down(self) -> None:
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _encode_if_possible(self, message: Message) -> bytes:
        """Encode a message; leave it out if a value in it can't be sent.

        It would end the connection, and with it the requests and messages of
        all others, as often as it is sent again.
        """
        try:
            return self._encode(message)
        except CODEC_ERRORS as error:
            _LOGGER.error(
                'message not sent',
                peer=self.peer_id,
                message=type(message).__name__,
                cause=ascii(error)[:MAX_LOGGED_CHARS],
            )
            return b''

    def _encode(self, message: Message) -> bytes:
        return encode_frame(
            message,
            configuration_version=self._identity.configuration_version(),
            clock_us=self._identity.clock.stamp(),
        )

    async def _async_exchange_proofs(
        self,
        is_caller: bool,
    ) -> Result[None, ConnectionBroken]:
        nonce = secrets.token_bytes(NONCE_BYTES)
        own_hello = Hello(instance_id=self._identity.instance_id, nonce=nonce)
        await self._sock.sendall(self._encode(own_hello))
        received = await self.async_receive()
        if isinstance(received, Err):
            return received
        peer_hello = received.ok_value.hello
        if peer_hello is None:
            return Err(ConnectionBroken('first message is not Hello'))
        if peer_hello.instance_id == self._identity.instance_id:
            return Err(
                ConnectionBroken(
                    'peer has the same instance_id as this process'
                )
            )
        proof = Proof(mac=self._mac(own_hello, peer_hello, is_caller=is_caller))
        await self._sock.sendall(self._encode(proof))
        received = await self.async_receive()
        if isinstance(received, Err):
            return received
        expected = self._mac(peer_hello, own_hello, is_caller=not is_caller)
        peer_proof = received.ok_value.proof
        if peer_proof is None or not hmac.compare_digest(
            peer_proof.mac,
            expected,
        ):
            return Err(ConnectionBroken('authentication failed'))
        self.peer_id = peer_hello.instance_id
        self._max_frame_bytes = MAX_FRAME_BYTES
        return Ok(None)

    def _mac(self, own: Hello, other: Hello, *, is_caller: bool) -> bytes:
        # The digest covers the role. Otherwise an attacker could obtain the
        # proof for a peer's challenge from the peer itself, by sending the
        # challenge back on a second connection.
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
            digest.update(LENGTH_PREFIX.pack(len(part)))
            digest.update(part)
        return digest.digest()

    async def _async_read_exactly(self, length: int) -> bytes:
        while len(self._received) < length:
            received = await self._sock.recv(READ_BYTES)
            if not received:
                raise EOFError('peer closed the connection')
            self._identity.count_bytes('received', len(received))
            self._received += received
        chunk = bytes(self._received[:length])
        self._received = self._received[length:]
        return chunk


async def async_run_peer(
    connection: PeerConnection,
    on_envelope: Callable[[Envelope], Awaitable[None]],
    first: Envelope | None = None,
) -> ConnectionBroken:
    """Receive messages and write queued ones until the connection breaks.

    :param on_envelope: handles each received message.
    :param first: a message that has been received already.
    :returns: what broke the connection.
    """
    writer = await spawn(connection.async_write, daemon=True)
    try:
        if first is not None:
            await on_envelope(first)
        while True:
            received = await connection.async_receive()
            if isinstance(received, Err):
                return received.err_value
            await on_envelope(received.ok_value)
    finally:
        await writer.cancel()
        await connection.async_close()
