"""A list of a store that is read page by page."""

from collections.abc import Mapping
from typing import Any, Final

from result import Err, Ok, Result

from hornbeamdeck.connection.store_client import StoreUnavailable
from hornbeamdeck.connection.store_revision import StoreRevision
from hornbeamdeck.connection.unusable_entries import UnusableEntries
from hornbeamdeck.const import MEBIBYTE
from hornbeamdeck.store.stored_objects import last_name, usable_objects

__all__ = ('ListPages',)

# Upper limit of one list. A longer list counts as an outage: what is missing in
# a list counts as gone. A page has about 500 entries of a few hundred bytes.
MAX_LIST_BYTES: Final = 8 * MEBIBYTE
# What a page counts at least, so that a list has at most 100 pages. It is all
# that a page counts with entries that are left out, which may fill it.
MIN_PAGE_BYTES: Final = MAX_LIST_BYTES // 100


class ListPages:
    """The pages that were read so far."""

    def __init__(self, kind: str, unusable: UnusableEntries) -> None:
        """Start before the first page."""
        self.entries: list[Any] = []
        self.query: dict[str, str] = {}
        # The store's when the first page was read.
        self.revision = StoreRevision(0, 0)
        self.has_ended = False
        self._kind = kind
        self._unusable = unusable
        self._left_bytes = MAX_LIST_BYTES

    def add(
        self, page: Mapping[str, Any], revision: StoreRevision, page_bytes: int
    ) -> Result[None, StoreUnavailable]:
        """Add a page that has a list of entries.

        :param revision: of the store, as the page states it.
        """
        if not self.query:
            self.revision = revision
        if revision.era != self.revision.era:
            return Err(StoreUnavailable('restored between two pages'))
        listed = page['entries']
        usable = usable_objects(self._kind, listed, self._unusable, page_bytes)
        self.entries += usable
        is_whole = len(usable) == len(listed)
        self._left_bytes -= max(page_bytes if is_whole else 0, MIN_PAGE_BYTES)
        self.has_ended = not page['has_more']
        following = {'after': last_name(listed)}
        if not self.has_ended and (
            self._left_bytes <= 0 or following == self.query
        ):
            return Err(StoreUnavailable('limit exceeded: list'))
        self.query = following
        return Ok(None)
