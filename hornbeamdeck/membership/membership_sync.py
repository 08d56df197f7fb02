"""Publishes this instance's status and follows those of the others."""

from typing import Final

from curio import sleep
from result import Err, Ok, Result

from hornbeamdeck.connection.store_client import (
    PlatformClient,
    StoredObject,
    StoreError,
)
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.const import MILLIS_PER_SECOND, PREFIX_INSTANCE
from hornbeamdeck.membership.membership import InstanceStatus, Membership
from hornbeamdeck.ownership.grants import Grants
from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.store.follower import async_follow

__all__ = ('MembershipSync',)

LIST_POLL_INTERVAL_MS: Final = 2000
ERA_CHECK_INTERVAL_MS: Final = 500
ROLE: Final = 'membership'


class MembershipSync:
    """Synchronizes the membership with the store and the instance list."""

    def __init__(
        self,
        platform: PlatformClient,
        membership: Membership,
        scheduler: Scheduler,
        grants: Grants,
    ) -> None:
        """Use the components that depend on the membership."""
        self._platform = platform
        self._membership = membership
        self._scheduler = scheduler
        self._grants = grants

    async def async_publish(self) -> int:
        """Write this instance's status object, retrying until it is stored.

        Stop when the status has changed meanwhile: the change is written by a
        call of its own.

        :returns: the era of the store that holds it; 0: none holds it.
        """
        waits = backoff_s()
        status = self._membership.own_status
        while status == self._membership.own_status:
            written = await self._async_try_write(status)
            if isinstance(written, Ok):
                self._membership.mark_published()
                return StoreRevision.from_packed(written.ok_value).era
            await sleep(next(waits))
        return 0

    async def async_keep_published(self) -> None:
        """Publish the status, and again when the store may have lost it."""
        published_era = await self.async_publish()
        while True:
            await sleep(ERA_CHECK_INTERVAL_MS / MILLIS_PER_SECOND)
            if self._platform.era > published_era:
                published_era = await self.async_publish()

    async def async_follow_statuses(self) -> None:
        """Follow the status objects of all instances, without end."""
        await async_follow(
            self._platform,
            PREFIX_INSTANCE,
            self._async_apply_status,
            role=ROLE,
        )

    async def async_poll_instance_list(self) -> None:
        """Read the platform's list of live and draining addresses, forever."""
        waits = backoff_s()
        while True:
            listed = await self._platform.async_instances(role=ROLE)
            if isinstance(listed, Err):
                # A draining upstream must get no new work after a few seconds,
                # so a failed read is retried before the next period.
                await sleep(next(waits))
                continue
            waits = backoff_s()
            self._membership.apply_instance_list(listed.ok_value)
            self._scheduler.update_draining(
                self._membership.draining_addresses(),
            )
            await self._grants.async_move_to_current_owners()
            await sleep(LIST_POLL_INTERVAL_MS / MILLIS_PER_SECOND)

    async def _async_try_write(
        self, status: InstanceStatus
    ) -> Result[int, StoreError]:
        key = f'{PREFIX_INSTANCE}{status.instance_id}'
        existing = await self._platform.async_get(key, role=ROLE)
        if isinstance(existing, Err):
            return existing
        return await self._platform.async_put(
            key,
            status.to_text(),
            expected=existing.ok_value.version if existing.ok_value else None,
            role=ROLE,
        )

    async def _async_apply_status(self, change: StoredObject) -> None:
        self._membership.apply_status(change)
        await self._grants.async_move_to_current_owners()
