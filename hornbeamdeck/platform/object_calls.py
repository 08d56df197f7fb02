"""Calls to the platform's store by kind and name of objects."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.json_calls import (
    JsonCalls,
    parse_body,
    parse_written,
)
from hornbeamdeck.connection.store_calls import StoreCalls
from hornbeamdeck.connection.store_client import StoreUnavailable, WatchGap
from hornbeamdeck.connection.store_era import StoreEra
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.platform.wire_names import PATH_OBJECTS

__all__ = ('ObjectCalls', 'ObjectList', 'WrittenObject', 'object_name')

# How long a watch may take beyond the wait time that it requests. A watch that
# hangs delays the revocation of keys, so it times out sooner than a read.
WATCH_GRACE_MS: Final = 400
# Upper limit of pages read for one list. A page has about 500 entries.
MAX_PAGES: Final = 100


class ObjectList(NamedTuple):
    """All objects of a kind, and the revision to watch from.

    :param revision: the store's revision when the first page was read.
    """

    revision: StoreRevision
    entries: list[Any]


class WrittenObject(NamedTuple):
    """What is in the store after a write on condition.

    :param stored: after a conflict that is what another process has written;
        `None`: there is nothing.
    """

    era: int
    stored: Any


class _Page(NamedTuple):
    revision: StoreRevision
    entries: list[Any]
    has_more: bool


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
        self._era = era

    def era_of(self, response: HttpResponse) -> int:
        """Return the era that a response names; 0 if it names none."""
        return self._era.of(response)

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
        first: StoreRevision | None = None
        for _ in range(MAX_PAGES):
            fetched = await self._async_fetch_page(kind, query)
            if isinstance(fetched, Err):
                return fetched
            page = fetched.ok_value
            first = first or page.revision
            if page.revision.era != first.era:
                return Err(StoreUnavailable('restored between two pages'))
            entries += page.entries
            if not page.has_more:
                break
            query = {'after': object_name(entries[-1])}
        return Ok(ObjectList(first or StoreRevision(0, 0), entries))

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
        return parse_body(fetched.ok_value)

    async def async_write_on_condition(
        self,
        method: str,
        path: str,
        body: dict[str, Any],
        *,
        revision: StoreRevision | None,
        role: str,
    ) -> Result[WrittenObject, StoreUnavailable]:
        """Write an object if it still has a revision.

        :param revision: `None`: it must not exist yet. One of an earlier era
            may stand for other contents by now.
        """
        if revision is not None:
            if revision.era != self._era.current:
                return Err(StoreUnavailable('the store was restored since'))
            metadata = {**body['metadata'], 'revision': revision.number}
            body = {**body, 'metadata': metadata}
        written = await self.async_write(method, path, body, role=role)
        if isinstance(written, Err):
            return written
        era = self.era_of(written.ok_value)
        return parse_written(written.ok_value).map(
            lambda stored: WrittenObject(era, stored)
        )

    async def _async_fetch_page(
        self, kind: str, query: dict[str, str]
    ) -> Result[_Page, StoreUnavailable]:
        fetched = await self.async_get(
            f'{PATH_OBJECTS}/{kind}', query, role=kind
        )
        if isinstance(fetched, Err):
            return fetched
        era = self.era_of(fetched.ok_value)
        return parse_body(fetched.ok_value).map(
            lambda page: _Page(
                StoreRevision(era, page['at']),
                page['entries'],
                bool(page['has_more'] and page['entries']),
            )
        )


def object_name(stored: Any) -> str:
    """Return the name of an object."""
    return str(stored['metadata']['name'])
