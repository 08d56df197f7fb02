"""Serves the peers that ask this process for grants."""

import itertools

import structlog
from curio import socket
from result import Err

from hornbeamdeck.connection.listener import ServeConnection
from hornbeamdeck.connection.peer import (
    PeerConnection,
    PeerIdentity,
    async_run_peer,
)
from hornbeamdeck.process.follower import ConfigurationFollower
from hornbeamdeck.process.scheduler import Scheduler
from hornbeamdeck.process.snapshot import Snapshots
from hornbeamdeck.wire import (
    AskSnapshot,
    Envelope,
    Heartbeat,
    Message,
    ToOwner,
    body_of,
)

__all__ = ('make_peer_server',)

_LOGGER = structlog.get_logger(prefix='peers')


def make_peer_server(
    identity: PeerIdentity,
    scheduler: Scheduler,
    follower: ConfigurationFollower,
    snapshots: Snapshots,
) -> ServeConnection:
    """Make the function that serves one peer's connection."""
    sequence = itertools.count()

    async def _async_serve(sock: socket.socket) -> None:
        connection = PeerConnection(sock, identity)
        proved = await connection.async_handshake(is_caller=False)
        if isinstance(proved, Err):
            _LOGGER.warning('peer refused', cause=proved.err_value.cause)
            return
        sender = f'{connection.peer_id}#{next(sequence)}'

        async def _async_received(envelope: Envelope) -> None:
            version = envelope.configuration_version
            await follower.async_hint(connection.peer_id, version)
            message = body_of(envelope)
            if isinstance(message, ToOwner):
                await scheduler.async_receive(
                    message,
                    sender=sender,
                    deliver=connection.async_send,
                )
                return
            await _async_reply(message, connection, snapshots)

        try:
            broken = await async_run_peer(connection, _async_received)
        finally:
            # Also where the serving fails: what a lost ingress had asked for
            # would hold places for ever.
            await scheduler.async_drop_sender(sender)
        _LOGGER.info('peer gone', peer=sender, cause=broken.cause)

    return _async_serve


async def _async_reply(
    message: Message,
    connection: PeerConnection,
    snapshots: Snapshots,
) -> None:
    if isinstance(message, Heartbeat):
        reply = Heartbeat(sequence=message.sequence, is_reply=True)
        await connection.async_send(reply)
    if isinstance(message, AskSnapshot):
        await connection.async_send(snapshots.give(message))
