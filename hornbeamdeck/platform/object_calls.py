"""Calls to the platform's store by kind and name of objects."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.json_calls import JsonCalls, parse_body
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.platform.wire_names import PATH_OBJECTS

__all__ = ('ObjectCalls', 'ObjectList', 'object_name')

# How long a watch may take beyond the wait time that it requests. A watch that
# hangs delays the revocation of keys, so it times out sooner than a read.
WATCH_GRACE_MS: Final = 400
# Upper limit of pages read for one list. A page has about 500 entries.
MAX_PAGES: Final = 100


class ObjectList(NamedTuple):
    """All objects of a kind, and the revision to watch from.

    :param revision: the store's revision when the first page was read.
    """

    revision: int
    entries: list[Any]


class ObjectCalls(JsonCalls):
    """Reads, watches and writes objects.

    Every failure counts as an outage and is returned as `StoreUnavailable`.
    Only a watch from a revision that is too old returns `WatchGap`.
    """

    def __init__(
        self,
        address: Address,
        era: StoreEra,
        count_call: Callable[[str], None],
    ) -> None:
        """Set the address; no connection is opened yet.

        :param era: updated with each response.
        :param count_call: called with the role of each call.
        """
        super().__init__(StoreCalls(address, era, count=count_call))

    async def async_list(
        self,
        kind: str,
    ) -> Result[ObjectList, StoreUnavailable]:
        """Read all pages of a list.

        The pages are not one snapshot. The returned revision is that of the
        first page, so a watch from there also returns every change that was
        made between two pages.
        """
        entries: list[Any] = []
        query: dict[str, str] = {}
        revision = 0
        for _ in range(MAX_PAGES):
            path = f'{PATH_OBJECTS}/{kind}'
            fetched = await self.async_get(path, query, role=kind)
            if isinstance(fetched, Err):
                return fetched
            page = parse_body(fetched.ok_value)
            if isinstance(page, Err):
                return page
            entries += page.ok_value['entries']
            revision = revision or page.ok_value['at']
            if not page.ok_value['has_more'] or not page.ok_value['entries']:
                break
            query = {'after': object_name(entries[-1])}
        return Ok(ObjectList(revision, entries))

    async def async_watch(
        self,
        kind: str,
        since: int,
        wait_ms: int,
    ) -> Result[Any, StoreUnavailable | WatchGap]:
        """Wait for changes to objects of a kind.

        :param since: the revision after which changes are returned.
        """
        fetched = await self.async_get(
            f'{PATH_OBJECTS}/{kind}',
            {'watch': str(since), 'wait_ms': str(wait_ms)},
            role=f'watch {kind}',
            timeout_ms=wait_ms + WATCH_GRACE_MS,
        )
        if isinstance(fetched, Err):
            return fetched
        if fetched.ok_value.status == HTTPStatus.GONE:
            return Err(WatchGap())
        return parse_body(fetched.ok_value)


def object_name(stored: Any) -> str:
    """Return the name of an object."""
    return str(stored['metadata']['name'])
