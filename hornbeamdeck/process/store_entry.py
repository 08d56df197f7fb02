"""The entry in the store by which other instances find this one."""

from typing import Final

import structlog
from curio import sleep
from result import Err

from hornbeamdeck.connection.platform import StoredObject
from hornbeamdeck.const import MILLIS_PER_SECOND, PREFIX_INSTANCE
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.process.membership import Membership
from hornbeamdeck.process.store_access import StoreAccess

__all__ = ('StoreEntry',)

_LOGGER = structlog.get_logger(prefix='entry')

# Instances are listed again after this, for those that start at the same time;
# from then on beats tell of new ones.
LIST_AGAIN_MS: Final = 2000


class StoreEntry:
    """Writes the own entry and reads the others'."""

    def __init__(self, store: StoreAccess, membership: Membership) -> None:
        """Take where to write and whom to tell."""
        self._store = store
        self._membership = membership

    async def async_publish(self) -> None:
        """Write the own entry, until it is written."""
        waits = backoff_s()
        while True:
            written = await self._store.publish(self._membership.own)
            if not isinstance(written, Err):
                return
            await sleep(next(waits))

    async def async_withdraw(self) -> None:
        """Delete the own entry."""
        gone = await self._store.withdraw(self._membership.own)
        if isinstance(gone, Err):
            _LOGGER.warning('own entry left behind', cause=gone.err_value.cause)

    async def async_list(self) -> None:
        """Read the entries of all instances, twice."""
        await self._async_list_once()
        await sleep(LIST_AGAIN_MS / MILLIS_PER_SECOND)
        await self._async_list_once()

    async def _async_list_once(self) -> None:
        waits = backoff_s()
        listed = await self._store.list_instances()
        while isinstance(listed, Err):
            await sleep(next(waits))
            listed = await self._store.list_instances()
        for status in listed.ok_value:
            if self._membership.status_of(status.instance_id) is None:
                key = f'{PREFIX_INSTANCE}{status.instance_id}'
                change = StoredObject(key, 0, status.to_text())
                self._membership.note_status(change)
