"""The store entry through which other instances discover this one."""

from collections.abc import Callable
from typing import Final

import structlog
from curio import sleep
from result import Err

from hornbeamdeck.connection.store_client import StoredObject
from hornbeamdeck.const import MILLIS_PER_SECOND, PREFIX_INSTANCE
from hornbeamdeck.membership.membership import STATE_LIVE, Membership
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.store.store_interface import StoreInterface

__all__ = ('InstanceRegistration',)

_LOGGER = structlog.get_logger(prefix='entry')

# Delay before the second listing, which finds instances that started at the
# same time as this one. Later ones are discovered through heartbeats.
SECOND_LISTING_DELAY_MS: Final = 2000
ERA_CHECK_INTERVAL_MS: Final = 500
# Time between the writes of two instances when all write again.
SPREAD_MS: Final = 20


class InstanceRegistration:
    """Writes this instance's entry and reads those of other instances."""

    def __init__(
        self,
        store: StoreInterface,
        membership: Membership,
        is_told_of_all: Callable[[], bool],
        era: Callable[[], int],
        rank: Callable[[], int],
    ) -> None:
        """Create the entry; nothing is written yet.

        :param membership: provides this instance's status and is updated with
            the instances that are listed in the store.
        :param is_told_of_all: whether a peer tells this instance of all others.
        :param era: returns the newest era of the store that is known here.
        :param rank: returns this instance's rank in the fleet.
        """
        self._store = store
        self._membership = membership
        self._is_told_of_all = is_told_of_all
        self._era = era
        self._rank = rank

    async def async_keep_registered(self) -> None:
        """Write this instance's entry, again when the store may have lost it.

        The instances of a fleet write theirs one after another.
        """
        written_era = await self._async_register()
        while self._membership.own_status.state == STATE_LIVE:
            await sleep(ERA_CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
            if self._era() > written_era:
                await sleep(self._rank() * SPREAD_MS / MILLIS_PER_SECOND)
                written_era = await self._async_register()
                _LOGGER.info('entry checked after restore', era=written_era)

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

    async def _async_register(self) -> int:
        """Write the entry, retrying until the write succeeds.

        :returns: the era of the store that holds it.
        """
        waits = backoff_s()
        while True:
            written = await self._store.write_status(
                self._membership.own_status
            )
            if not isinstance(written, Err):
                return written.ok_value
            await sleep(next(waits))

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
