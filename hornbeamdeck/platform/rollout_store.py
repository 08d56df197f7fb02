"""The platform's orders for roll-outs, read and answered in its store."""

from urllib.parse import quote

from result import Err, Ok, Result

from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.platform.object_calls import ObjectCalls
from hornbeamdeck.platform.rollout_documents import (
    parse_rollout,
    rollout_status,
)
from hornbeamdeck.platform.wire_names import KIND_ROLLOUTS, PATH_OBJECTS
from hornbeamdeck.rollout.store_interface import (
    RolloutChange,
    RolloutsRead,
    RolloutStore,
    StoredRollout,
)
from hornbeamdeck.store.stored_objects import object_name

__all__ = ('open_rollout_store',)


class _RolloutStore:
    def __init__(self, calls: ObjectCalls) -> None:
        self._calls = calls

    async def async_list(self) -> Result[RolloutsRead, StoreUnavailable]:
        """Read all orders."""
        listed = await self._calls.async_list(KIND_ROLLOUTS)
        if isinstance(listed, Err):
            return listed
        revision = listed.ok_value.revision
        changes = tuple(
            parse_rollout(stored, revision.era)
            for stored in listed.ok_value.entries
        )
        return Ok(RolloutsRead(revision, changes))

    async def async_watch(
        self, since: StoreRevision, wait_ms: int
    ) -> Result[RolloutsRead, StoreUnavailable | WatchGap]:
        """Wait for changed or withdrawn orders."""
        watched = await self._calls.async_watch(KIND_ROLLOUTS, since, wait_ms)
        if isinstance(watched, Err):
            return watched
        changes = tuple(
            RolloutChange(object_name(event['object']), None)
            if event['removed']
            else parse_rollout(event['object'], since.era)
            for event in watched.ok_value['events']
        )
        revision = StoreRevision(since.era, watched.ok_value['at'])
        return Ok(RolloutsRead(revision, changes))

    async def async_write_status(
        self, service: str, rollout: StoredRollout
    ) -> Result[RolloutChange, StoreUnavailable]:
        """Write a status if the order has not changed meanwhile."""
        written = await self._calls.async_write_on_condition(
            'PUT',
            f'{PATH_OBJECTS}/{KIND_ROLLOUTS}/{quote(service)}/status',
            {
                'metadata': {
                    'name': service,
                    'revision': rollout.revision.number,
                },
                'status': rollout_status(rollout),
            },
            revision=rollout.revision,
            role=KIND_ROLLOUTS,
        )
        return written.map(
            lambda after: (
                parse_rollout(after.found, after.era)
                if after.found
                else RolloutChange(service, None)
            )
        )


def open_rollout_store(calls: StoreCalls) -> RolloutStore:
    """Create the calls to a store."""
    store = _RolloutStore(ObjectCalls(calls))
    return RolloutStore(
        list_rollouts=store.async_list,
        watch_rollouts=store.async_watch,
        write_status=store.async_write_status,
    )
