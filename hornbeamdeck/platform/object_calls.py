"""Calls to the platform's store by kind and name of objects."""

from http import HTTPStatus
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.connection.json_calls import JsonCalls, parse_fields
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.platform.wire_names import PATH_OBJECTS
from hornbeamdeck.store.list_pages import ListPages
from hornbeamdeck.store.stored_objects import usable_events

__all__ = ('ObjectCalls', 'ObjectList')

# How long a watch may take beyond the wait time that it requests. A watch that
# hangs delays the revocation of keys, so it times out sooner than a read.
WATCH_GRACE_MS: Final = 400


class ObjectList(NamedTuple):
    """All objects of a kind, and the revision to watch from.

    :param revision: the store's revision when the first page was read.
    """

    revision: StoreRevision
    entries: list[Any]


class ObjectCalls(JsonCalls):
    """Reads, watches and writes objects.

    Every failure counts as an outage and is returned as `StoreUnavailable`.
    Only a watch from a revision that is too old returns `WatchGap`.
    """

    async def async_list(
        self,
        kind: str,
    ) -> Result[ObjectList, StoreUnavailable]:
        """Read all pages of a list.

        The pages are not one snapshot. The returned revision is that of the
        first page, so a watch from there also returns every change that was
        made between two pages.
        """
        pages = ListPages(kind, self.unusable)
        while not pages.has_ended:
            fetched = await self.async_get(
                f'{PATH_OBJECTS}/{kind}', pages.query, role=kind
            )
            read = parse_fields(fetched, 'entries', 'at', 'has_more')
            if isinstance(read, Err):
                return read
            response = fetched.unwrap()
            revision = StoreRevision(self.era_of(response), read.ok_value['at'])
            added = pages.add(read.ok_value, revision, len(response.body))
            if isinstance(added, Err):
                return added
        return Ok(ObjectList(pages.revision, pages.entries))

    async def async_watch(
        self,
        kind: str,
        since: StoreRevision,
        wait_ms: int,
    ) -> Result[Any, StoreUnavailable | WatchGap]:
        """Wait for changes to objects of a kind.

        A store that was restored since may have reached the revision again, by
        other changes.

        :param since: the revision after which changes are returned.
        """
        fetched = await self.async_get(
            f'{PATH_OBJECTS}/{kind}',
            {'watch': str(since.number), 'wait_ms': str(wait_ms)},
            role=f'watch {kind}',
            timeout_ms=wait_ms + WATCH_GRACE_MS,
        )
        if isinstance(fetched, Err):
            return fetched
        if (
            fetched.ok_value.status == HTTPStatus.GONE
            or self.era_of(fetched.ok_value) != since.era
        ):
            return Err(WatchGap())
        read = parse_fields(fetched, 'events', 'at')
        if isinstance(read, Err):
            return read
        events = usable_events(kind, read.ok_value['events'], self.unusable)
        return Ok({**read.ok_value, 'events': events})
