"""Serves incoming connections of peers."""

import itertools
import math
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias, TypeVar

import structlog
from curio import socket
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.handshake_limit import HandshakeLimit
from hornbeamdeck.connection.listener import ServeConnection
from hornbeamdeck.connection.peer import (
    PeerConnection,
    PeerIdentity,
    async_run_peer,
)
from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.scheduling.queued_request import Deliver, make_sender
from hornbeamdeck.store.follower import (
    ConfigurationFollower,
    VersionedDocument,
)
from hornbeamdeck.store.snapshots import Snapshots
from hornbeamdeck.wire import (
    AskSnapshot,
    Envelope,
    Heartbeat,
    Message,
    OpenTunnel,
    ToOwner,
    message_of,
)

__all__ = ('make_peer_server',)

_LOGGER = structlog.get_logger(prefix='peers')

LOG_INTERVAL_MS: Final = 1000
MAX_LOGGED_CHARS: Final = 200

_Configuration = TypeVar('_Configuration', bound=VersionedDocument)
OnOtherMessage: TypeAlias = Callable[[str, Message, Deliver], Awaitable[None]]
ServeTunnel: TypeAlias = Callable[[PeerConnection, OpenTunnel], Awaitable[None]]


class _RefusalLog:
    """Logs connections that are refused, one line for many of them."""

    def __init__(self) -> None:
        self._refused = 0
        self._logged_ms = -math.inf

    def record(self, cause: str) -> None:
        """Record a connection that is refused.

        :param cause: may hold what a stranger has sent.
        """
        self._refused += 1
        now = now_ms()
        if now - self._logged_ms < LOG_INTERVAL_MS:
            return
        _LOGGER.warning(
            'peer refused',
            cause=cause[:MAX_LOGGED_CHARS],
            refused=self._refused,
        )
        self._refused = 0
        self._logged_ms = now


def make_peer_server(
    identity: PeerIdentity,
    scheduler: Scheduler,
    follower: ConfigurationFollower[_Configuration],
    snapshots: Snapshots[_Configuration],
    on_other: OnOtherMessage | None = None,
    serve_tunnel: ServeTunnel | None = None,
    handshakes: HandshakeLimit | None = None,
) -> ServeConnection:
    """Make the function that serves one peer's connection.

    :param on_other: called with each message that is not for an owner: the
        peer, the message and a function that sends a response.
    :param serve_tunnel: uses a connection whose first message asks for a
        tunnel; `None`: there are no tunnels.
    :param handshakes: told of each handshake that has ended.
    """
    used_handshakes = handshakes or HandshakeLimit()
    refusals = _RefusalLog()
    serve_messages = _make_message_server(
        scheduler, follower, snapshots, on_other
    )

    async def _async_serve(sock: socket.socket) -> None:
        connection = PeerConnection(sock, identity)
        try:
            authenticated = await connection.async_handshake(is_caller=False)
        finally:
            used_handshakes.end_handshake()
        if isinstance(authenticated, Err):
            refusals.record(authenticated.err_value.cause)
            return
        first = await connection.async_receive()
        if isinstance(first, Err):
            return
        request = first.ok_value.open_tunnel
        if request is None:
            await serve_messages(connection, first.ok_value)
        elif serve_tunnel is not None:
            await serve_tunnel(connection, request)

    return _async_serve


def _make_message_server(
    scheduler: Scheduler,
    follower: ConfigurationFollower[_Configuration],
    snapshots: Snapshots[_Configuration],
    on_other: OnOtherMessage | None,
) -> Callable[[PeerConnection, Envelope], Awaitable[None]]:
    """Make the function that handles a peer's messages until it disconnects."""
    sequence = itertools.count()

    async def _async_serve_messages(
        connection: PeerConnection, first: Envelope
    ) -> None:
        sender = make_sender(connection.peer_id, next(sequence))

        async def _async_received(envelope: Envelope) -> None:
            version = envelope.configuration_version
            await follower.async_hint(connection.peer_id, version)
            message = message_of(envelope)
            if isinstance(message, ToOwner):
                await scheduler.async_receive(
                    message,
                    sender=sender,
                    deliver=connection.async_send,
                )
                return
            await _async_reply(message, connection, snapshots)
            if on_other is not None:
                await on_other(
                    connection.peer_id,
                    message,
                    connection.async_send,
                )

        try:
            broken = await async_run_peer(connection, _async_received, first)
        finally:
            # This also runs when serving fails. Otherwise the requests of a
            # lost ingress would hold slots forever.
            await scheduler.async_drop_sender(sender)
        _LOGGER.info('peer disconnected', peer=sender, cause=broken.cause)

    return _async_serve_messages


async def _async_reply(
    message: Message,
    connection: PeerConnection,
    snapshots: Snapshots[_Configuration],
) -> None:
    if isinstance(message, Heartbeat):
        reply = Heartbeat(sequence=message.sequence, is_reply=True)
        await connection.async_send(reply)
    if isinstance(message, AskSnapshot):
        await connection.async_send(snapshots.make_snapshot(message))
