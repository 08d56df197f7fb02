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
    def from_wire(cls, era: int | None, number: int) -> Self:
        """Read the version that a peer sends.

        :param number: made by `number_on_wire`.
        """
        revision = StoreRevision(era or 0, number >> EDITION_BITS)
        return cls(revision, number & MAX_EDITION)

    @classmethod
    def last_of(cls, revision: StoreRevision) -> Self:
        """Return the last version of lists that are read at a revision."""
        return cls(revision, MAX_EDITION)

    @property
    def number_on_wire(self) -> int:
        """All but the era in one integer, for messages to peers."""
        return self.revision.number << EDITION_BITS | self.edition


NO_LIST: Final = ListVersion(StoreRevision(0, 0))
