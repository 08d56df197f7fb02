"""What peers give each other while the platform does not answer.

An instance that starts during an outage of the platform knows neither the
configuration nor its peers; one whose watch hangs knows an old version. Both
ask a peer, on a short connection of its own, so that a large document never
stands before a grant.
"""

from typing import Final, Generic, TypeVar

import structlog
from curio import sleep, spawn
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.peer import (
    PeerConnection,
    PeerError,
    PeerIdentity,
)
from hornbeamdeck.connection.platform import StoredObject
from hornbeamdeck.const import KEY_CONFIGURATION, PREFIX_INSTANCE
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.process.follower import ConfigurationFollower, HeldDocument
from hornbeamdeck.process.membership import InstanceStatus, Membership
from hornbeamdeck.wire import AskSnapshot, Snapshot

__all__ = ('Snapshots',)

_LOGGER = structlog.get_logger(prefix='snapshot')

# An instance that starts has nobody else to ask.
ANSWER_TIMEOUT_MS: Final = 3000
# One that is behind can ask the platform instead, and a change must be in force
# within two seconds, a beat or two of which have passed.
HINT_TIMEOUT_MS: Final = 500

_Held = TypeVar('_Held', bound=HeldDocument)


class Snapshots(Generic[_Held]):
    """Gives and takes snapshots of configuration and membership."""

    def __init__(
        self,
        follower: ConfigurationFollower[_Held],
        membership: Membership,
        identity: PeerIdentity,
    ) -> None:
        """Take the parts that a snapshot is made of and goes to."""
        self._follower = follower
        self._membership = membership
        self._identity = identity

    def give(self, asked: AskSnapshot) -> Snapshot:
        """Make a snapshot of what is known here."""
        known = self._follower.configuration
        is_newer = known.version > asked.known_version
        return Snapshot(
            configuration_version=known.version,
            document=known.document if is_newer else '',
            statuses=[each.to_text() for each in self._membership.live()],
        )

    async def async_take_from_peer(self, peer_id: str) -> None:
        """Ask one peer and take over what is newer."""
        status = self._membership.status_of(peer_id)
        if status is not None:
            await self._async_take(status.peer_address, HINT_TIMEOUT_MS)

    async def async_seed(self, seeds: tuple[Address, ...]) -> None:
        """Ask seeds in turn until a configuration is in force, from anywhere.

        The platform is asked at the same time; whoever answers first wins.
        """
        waits = backoff_s()
        while seeds and not self._follower.configuration.version:
            for address in seeds:
                await self._async_take(address, ANSWER_TIMEOUT_MS)
            await sleep(next(waits))

    async def _async_take(self, address: Address, timeout_ms: int) -> None:
        answer = await self._async_ask(address, timeout_ms)
        if isinstance(answer, Err):
            _LOGGER.info('no snapshot', peer=str(address))
            return
        snapshot = answer.ok_value
        for text in snapshot.statuses:
            self._note_status(text)
        if snapshot.document:
            stored = StoredObject(
                KEY_CONFIGURATION,
                snapshot.configuration_version,
                snapshot.document,
            )
            await self._follower.async_note(stored)

    def _note_status(self, text: str) -> None:
        try:
            status = InstanceStatus.from_text(text)
        except ValueError:
            return
        if self._membership.status_of(status.instance_id) is not None:
            # What the platform has told is at least as new.
            return
        key = f'{PREFIX_INSTANCE}{status.instance_id}'
        self._membership.note_status(StoredObject(key, 0, text))

    async def _async_ask(
        self,
        address: Address,
        timeout_ms: int,
    ) -> Result[Snapshot, PeerError]:
        # The bound holds for connecting too: a peer without power answers
        # nothing at all.
        try:
            return await async_within(
                timeout_ms,
                self._async_ask_patiently(address),
            )
        except TaskTimeout:
            return Err(ConnectionBroken('no snapshot in time'))

    async def _async_ask_patiently(
        self,
        address: Address,
    ) -> Result[Snapshot, PeerError]:
        opened = await PeerConnection.async_open(address, self._identity)
        if isinstance(opened, Err):
            return opened
        connection = opened.ok_value
        writer = await spawn(connection.async_write, daemon=True)
        try:
            return await self._async_exchange(connection)
        finally:
            await writer.cancel()
            await connection.async_close()

    async def _async_exchange(
        self,
        connection: PeerConnection,
    ) -> Result[Snapshot, PeerError]:
        version = self._follower.configuration.version
        await connection.async_send(AskSnapshot(known_version=version))
        received = await connection.async_receive()
        if isinstance(received, Err):
            return received
        snapshot = received.ok_value.snapshot
        if snapshot is None:
            return Err(ConnectionBroken('something else than a snapshot'))
        return Ok(snapshot)
