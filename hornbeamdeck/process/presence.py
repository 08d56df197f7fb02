"""Tells the platform of this instance, and learns of the others from it."""

from typing import Final

from curio import sleep
from result import Err

from hornbeamdeck.connection.platform import PlatformClient, StoredObject
from hornbeamdeck.const import MILLIS_PER_SECOND, PREFIX_INSTANCE
from hornbeamdeck.process.backoff import backoff_s
from hornbeamdeck.process.follower import async_follow
from hornbeamdeck.process.grants import Grants
from hornbeamdeck.process.membership import InstanceStatus, Membership
from hornbeamdeck.process.scheduler import Scheduler

__all__ = ('Presence',)

LIST_PERIOD_MS: Final = 2000
ROLE: Final = 'membership'


class Presence:
    """Keeps the membership in step with the platform."""

    def __init__(
        self,
        platform: PlatformClient,
        membership: Membership,
        scheduler: Scheduler,
        grants: Grants,
    ) -> None:
        """Take the parts that a change of membership concerns."""
        self._platform = platform
        self._membership = membership
        self._scheduler = scheduler
        self._grants = grants

    async def async_publish(self) -> None:
        """Write the own status object, until it is written.

        A status that has changed meanwhile is written by its own call.
        """
        waits = backoff_s()
        status = self._membership.own
        while status == self._membership.own:
            if await self._async_write(status):
                self._membership.note_published()
                return
            await sleep(next(waits))

    async def async_follow_statuses(self) -> None:
        """Follow, for ever, what the others tell of themselves."""
        await async_follow(
            self._platform,
            PREFIX_INSTANCE,
            self._async_note_status,
            role=ROLE,
        )

    async def async_poll_list(self) -> None:
        """Read, for ever, the platform's list of live and leaving ones."""
        waits = backoff_s()
        while True:
            listed = await self._platform.async_instances(role=ROLE)
            if isinstance(listed, Err):
                # A leaving upstream is to get nothing after a few seconds, so
                # a failed reading is not made up for only a period later.
                await sleep(next(waits))
                continue
            waits = backoff_s()
            self._membership.note_listed(listed.ok_value)
            self._scheduler.note_leaving(
                self._membership.leaving_addresses(),
            )
            await self._grants.async_review()
            await sleep(LIST_PERIOD_MS / MILLIS_PER_SECOND)

    async def _async_write(self, status: InstanceStatus) -> bool:
        key = f'{PREFIX_INSTANCE}{status.instance_id}'
        got = await self._platform.async_get(key, role=ROLE)
        if isinstance(got, Err):
            return False
        written = await self._platform.async_put(
            key,
            status.to_text(),
            expected=got.ok_value.version if got.ok_value else None,
            role=ROLE,
        )
        return not isinstance(written, Err)

    async def _async_note_status(self, change: StoredObject) -> None:
        self._membership.note_status(change)
        await self._grants.async_review()
