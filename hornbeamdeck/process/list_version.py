"""Which of two lists of engines is the newer one."""

from typing import Final, NamedTuple, Self

from hornbeamdeck.connection.store_revision import StoreRevision

__all__ = ('NO_LIST', 'ListVersion')

# Number of editions available for lists read at one revision of the store.
EDITION_BITS: Final = 10
MAX_EDITION: Final = (1 << EDITION_BITS) - 1


class ListVersion(NamedTuple):
    """Orders the lists that several instances have read.

    :param revision: of the store, at the time of the read.
    :param edition: lists of one revision differ while engines are retained
        after an outage; the later one has the higher edition.
    """

    revision: StoreRevision
    edition: int = 0

    @classmethod
    def from_packed(cls, packed: int) -> Self:
        """Read what `packed` has made."""
        revision = StoreRevision.from_packed(packed >> EDITION_BITS)
        return cls(revision, packed & MAX_EDITION)

    @classmethod
    def last_of(cls, revision: StoreRevision) -> Self:
        """Return the last version of lists that are read at a revision."""
        return cls(revision, MAX_EDITION)

    @property
    def packed(self) -> int:
        """All parts in one integer, for messages; keeps the order."""
        return self.revision.packed << EDITION_BITS | self.edition


NO_LIST: Final = ListVersion(StoreRevision(0, 0))
