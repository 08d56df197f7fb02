"""The store entry through which other instances discover this one."""

from collections.abc import Callable
from typing import Final

import structlog
from curio import sleep
from result import Err

from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.const import MILLIS_PER_SECOND, PREFIX_INSTANCE
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.process.membership import Membership
from hornbeamdeck.process.store_interface import StoreInterface

__all__ = ('InstanceRegistration',)

_LOGGER = structlog.get_logger(prefix='entry')

# Delay before the second listing, which finds instances that started at the
# same time as this one. Later ones are discovered through heartbeats.
SECOND_LISTING_DELAY_MS: Final = 2000


class InstanceRegistration:
    """Writes this instance's entry and reads those of other instances."""

    def __init__(
        self,
        store: StoreInterface,
        membership: Membership,
        is_told_of_all: Callable[[], bool],
    ) -> None:
        """Create the entry; nothing is written yet.

        :param membership: provides this instance's status and is updated with
            the instances that are listed in the store.
        :param is_told_of_all: whether a peer tells this instance of all others.
        """
        self._store = store
        self._membership = membership
        self._is_told_of_all = is_told_of_all

    async def async_register(self) -> None:
        """Write this instance's entry; retries until the write succeeds."""
        waits = backoff_s()
        while True:
            written = await self._store.write_status(
                self._membership.own_status
            )
            if not isinstance(written, Err):
                return
            await sleep(next(waits))

    async def async_deregister(self) -> None:
        """Delete this instance's entry."""
        deleted = await self._store.delete_status(self._membership.own_status)
        if isinstance(deleted, Err):
            _LOGGER.warning(
                "could not delete this instance's entry in the store",
                cause=deleted.err_value.cause,
            )

    async def async_discover(self) -> None:
        """Read the entries of all instances, again if no peer tells of them.

        When all instances start together, the first listing misses most of the
        others. Hundreds of second listings would be in vain: heartbeats tell of
        the rest as soon as those that receive them know each other.
        """
        await self._async_list_once()
        await sleep(SECOND_LISTING_DELAY_MS / MILLIS_PER_SECOND)
        if not self._is_told_of_all():
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
                self._membership.apply_status(change)
