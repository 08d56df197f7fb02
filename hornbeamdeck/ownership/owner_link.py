"""Sends messages to the owner of a cell, in this process or in another."""

from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.membership.peers import OnMessage, Peers
from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.wire import Message, ToOwner

__all__ = ('OwnerLink',)


class OwnerLink:
    """Delivers messages to local and remote owners in the same way."""

    def __init__(
        self,
        membership: Membership,
        peers: Peers,
        scheduler: Scheduler,
    ) -> None:
        """Use the peer connections and the scheduler of this process."""
        self._membership = membership
        self._peers = peers
        self._scheduler = scheduler
        self._on_message: OnMessage | None = None

    def set_callbacks(self, on_message: OnMessage) -> None:
        """Set the callback that receives responses of the local owner."""
        self._on_message = on_message

    def is_connected(self, owner: str) -> bool:
        """Return whether a message to an owner needs no new connection."""
        return owner == self._own_id or self._peers.has_connection(owner)

    async def async_send(self, owner: str, message: ToOwner) -> None:
        """Send a message; messages to a remote owner are queued."""
        if owner != self._own_id:
            await self._peers.async_send(owner, message)
            return
        await self._scheduler.async_receive(
            message,
            sender=owner,
            deliver=self._async_deliver,
        )

    async def async_send_to_current(self, message: ToOwner) -> None:
        """Send a message to whichever process owns its cell now."""
        owner = self._membership.owner_of(message.cell)
        await self.async_send(owner, message)

    @property
    def _own_id(self) -> str:
        return self._membership.own_status.instance_id

    async def _async_deliver(self, reply: Message) -> None:
        if self._on_message is not None:
            await self._on_message(self._own_id, reply)
