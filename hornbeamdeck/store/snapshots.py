"""Snapshots that peers exchange while the store does not respond.

An instance that starts during an outage of the store has neither the
configuration nor the status of its peers; one whose watch hangs has an old
version. Both request a snapshot from a peer on a separate short-lived
connection, so that a large document never delays a grant.
"""

from typing import Final, Generic, TypeVar

import structlog
from curio import sleep, spawn
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.errors import ConnectionBroken
from hornbeamdeck.connection.peer import (
    PeerConnection,
    PeerError,
    PeerIdentity,
)
from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.const import KEY_CONFIGURATION, PREFIX_INSTANCE
from hornbeamdeck.membership.membership import InstanceStatus, Membership
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.store.follower import (
    ConfigurationFollower,
    VersionedDocument,
)
from hornbeamdeck.wire import AskSnapshot, Snapshot

__all__ = ('Snapshots',)

_LOGGER = structlog.get_logger(prefix='snapshot')

# An instance that starts during an outage of the store has no other source.
SEED_TIMEOUT_MS: Final = 3000
# An instance with an old version can also read the store. A change must be in
# force within two seconds, of which one or two heartbeat intervals have passed.
PEER_TIMEOUT_MS: Final = 500

_Configuration = TypeVar('_Configuration', bound=VersionedDocument)


class Snapshots(Generic[_Configuration]):
    """Serves and requests snapshots of configuration and membership."""

    def __init__(
        self,
        follower: ConfigurationFollower[_Configuration],
        membership: Membership,
        identity: PeerIdentity,
    ) -> None:
        """Use the components that snapshots are made from and applied to."""
        self._follower = follower
        self._membership = membership
        self._identity = identity

    def make_snapshot(self, request: AskSnapshot) -> Snapshot:
        """Make a snapshot of the configuration and the live instances."""
        current = self._follower.configuration
        is_newer = current.version > request.known_version
        return Snapshot(
            configuration_version=current.version,
            document=current.document if is_newer else '',
            statuses=[each.to_text() for each in self._membership.live()],
        )

    async def async_fetch_from_peer(self, peer_id: str) -> None:
        """Request a snapshot from one peer and apply what is newer."""
        status = self._membership.status_of(peer_id)
        if status is not None:
            await self._async_apply_from(status.peer_address, PEER_TIMEOUT_MS)

    async def async_fetch_from_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Request snapshots from seeds until a configuration is in force.

        Each seed is used in turn. The store is read at the same time, so
        the configuration may also come from there.
        """
        waits = backoff_s()
        while seeds and not self._follower.configuration.version:
            for address in seeds:
                await self._async_apply_from(address, SEED_TIMEOUT_MS)
            await sleep(next(waits))

    async def _async_apply_from(
        self, address: Address, timeout_ms: int
    ) -> None:
        response = await self._async_request(address, timeout_ms)
        if isinstance(response, Err):
            _LOGGER.info('no snapshot', peer=str(address))
            return
        snapshot = response.ok_value
        for text in snapshot.statuses:
            self._apply_status(text)
        if snapshot.document:
            stored = StoredObject(
                KEY_CONFIGURATION,
                snapshot.configuration_version,
                snapshot.document,
            )
            await self._follower.async_note(stored)

    def _apply_status(self, text: str) -> None:
        try:
            status = InstanceStatus.from_text(text)
        except ValueError:
            return
        if self._membership.status_of(status.instance_id) is not None:
            # A status read from the store is at least as new.
            return
        key = f'{PREFIX_INSTANCE}{status.instance_id}'
        self._membership.apply_status(StoredObject(key, 0, text))

    async def _async_request(
        self,
        address: Address,
        timeout_ms: int,
    ) -> Result[Snapshot, PeerError]:
        # The timeout includes connecting, since a host that is powered off
        # never responds.
        try:
            return await async_with_timeout(
                timeout_ms,
                self._async_request_without_timeout(address),
            )
        except TaskTimeout:
            return Err(ConnectionBroken('timed out waiting for a snapshot'))

    async def _async_request_without_timeout(
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
            return Err(ConnectionBroken('expected a snapshot message'))
        return Ok(snapshot)
