"""Connections to other instances, opened on use."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import structlog
from curio import Queue, Task, spawn
from result import Err

from hornbeamdeck.connection.peer import (
    PeerConnection,
    PeerIdentity,
    async_run_peer,
)
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.wire import Envelope, Message, message_of

__all__ = ('OnLost', 'OnMessage', 'Peers')

_LOGGER = structlog.get_logger(prefix='peers')

OnMessage: TypeAlias = Callable[[str, Message], Awaitable[None]]
OnLost: TypeAlias = Callable[[str], Awaitable[None]]
OnVersion: TypeAlias = Callable[[str, int], Awaitable[None]]


class Peers:
    """Outgoing connections, one for each peer that messages are sent to."""

    def __init__(
        self,
        membership: Membership,
        identity: PeerIdentity,
        *,
        on_version: OnVersion,
    ) -> None:
        """Start without connections.

        :param on_version: called with the peer and the configuration version
            of each message.
        """
        self._membership = membership
        self._identity = identity
        self._on_version = on_version
        self._on_message: OnMessage | None = None
        self._on_lost: OnLost | None = None
        self._outboxes: dict[str, Queue] = {}
        self._tasks: dict[str, Task] = {}

    def set_callbacks(self, on_message: OnMessage, on_lost: OnLost) -> None:
        """Set the callbacks for messages and for lost connections."""
        self._on_message = on_message
        self._on_lost = on_lost

    async def async_send(self, peer_id: str, message: Message) -> None:
        """Queue a message to a peer, connecting first if needed."""
        outbox = self._outboxes.get(peer_id)
        if outbox is None:
            outbox = Queue()
            self._outboxes[peer_id] = outbox
            self._tasks[peer_id] = await spawn(
                self._async_run_link,
                peer_id,
                outbox,
                daemon=True,
            )
        await outbox.put(message)

    def has_connection(self, peer_id: str) -> bool:
        """Return whether a connection to a peer is open or being opened."""
        return peer_id in self._outboxes

    async def async_disconnect(self, peer_id: str) -> None:
        """Close the connection to a silent peer and report it lost at once."""
        task = self._tasks.get(peer_id)
        if task is not None:
            await task.cancel()
            await self._async_report_lost(peer_id)

    async def async_close(self) -> None:
        """Close all connections without reporting them lost."""
        self._outboxes.clear()
        while self._tasks:
            _, task = self._tasks.popitem()
            await task.cancel()

    async def _async_run_link(self, peer_id: str, outbox: Queue) -> None:
        try:
            cause = await self._async_connect_and_run(peer_id, outbox)
        except Exception as error:
            # Whatever a message caused: a link that has ended takes no more.
            _LOGGER.exception('connection to peer failed', peer=peer_id)
            cause = repr(error)
        _LOGGER.info('connection to peer lost', peer=peer_id, cause=cause)
        await self._async_report_lost(peer_id)

    async def _async_connect_and_run(self, peer_id: str, outbox: Queue) -> str:
        status = self._membership.status_of(peer_id)
        if status is None:
            return 'no status object is known for the peer'
        opened = await PeerConnection.async_open(
            status.peer_address,
            self._identity,
        )
        if isinstance(opened, Err):
            return opened.err_value.cause
        connection = opened.ok_value
        if connection.peer_id != peer_id:
            await connection.async_close()
            return f'{connection.peer_id} responded at its address'
        self._membership.clear_suspicion(peer_id)
        connection.attach_outbox(outbox)

        async def _async_received(envelope: Envelope) -> None:
            await self._on_version(peer_id, envelope.configuration_version)
            if self._on_message is not None:
                await self._on_message(peer_id, message_of(envelope))

        return (await async_run_peer(connection, _async_received)).cause

    async def _async_report_lost(self, peer_id: str) -> None:
        self._outboxes.pop(peer_id, None)
        self._tasks.pop(peer_id, None)
        self._membership.suspect(peer_id)
        if self._on_lost is not None:
            await self._on_lost(peer_id)
