"""Publishing this instance's status, with a store that is restored."""

from typing import cast

from curio import run, sleep, spawn
from result import Ok, Result

from hornbeamdeck.connection.store_client import (
    PlatformClient,
    StoredObject,
    StoreError,
)
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.membership.membership_sync import (
    ERA_CHECK_INTERVAL_MS,
    MembershipSync,
)
from hornbeamdeck.ownership.grants import Grants
from hornbeamdeck.ownership.scheduler import Scheduler
from tests.membership.test_membership import status

WAIT_S = 2 * ERA_CHECK_INTERVAL_MS / 1000


class _RestoredWhileWritten:
    """A store that loses the first write as soon as it has acknowledged it."""

    def __init__(self) -> None:
        self.era = 1
        self.stored: StoredObject | None = None

    async def async_get(self, _key: str, *, role: str) -> object:
        assert role
        return Ok(self.stored)

    async def async_put(
        self, key: str, body: str, *, expected: int | None, role: str
    ) -> Result[int, StoreError]:
        assert role
        assert expected is None
        written = StoreRevision(self.era, 1).packed
        if self.era == 1:
            self.era = 2
        else:
            self.stored = StoredObject(key, written, body)
        return Ok(written)


async def _async_publish_until_stored() -> StoredObject | None:
    store = _RestoredWhileWritten()
    sync = MembershipSync(
        cast(PlatformClient, store),
        Membership(status('a')),
        cast(Scheduler, None),
        cast(Grants, None),
    )
    published = await spawn(sync.async_keep_published)
    await sleep(WAIT_S)
    await published.cancel()
    return store.stored


def test_status_is_written_again_if_the_store_is_restored_meanwhile() -> None:
    """Guards against an instance that the store does not list any more."""
    assert run(_async_publish_until_stored) is not None
