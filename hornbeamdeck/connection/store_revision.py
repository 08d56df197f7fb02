"""Revisions of a store that may be restored from an older copy."""

from typing import Final, NamedTuple, Self

__all__ = ('NO_REVISION', 'NUMBER_BITS', 'StoreRevision')

# Bits for the number where one integer carries both parts.
NUMBER_BITS: Final = 40


class StoreRevision(NamedTuple):
    """What a store counts its changes by, in the era that counts them.

    A restored store gives out numbers again, so that they order two
    observations of one era only. An observation of a later era is the newer
    one, whatever its number.

    :param era: how often the store was restored; 0 if it does not say.
    :param number: rises with each change in an era.
    """

    era: int
    number: int

    @classmethod
    def from_packed(cls, packed: int) -> Self:
        """Read what `packed` has made."""
        return cls(packed >> NUMBER_BITS, packed & ((1 << NUMBER_BITS) - 1))

    @property
    def packed(self) -> int:
        """Both parts in one integer, which keeps the order."""
        return self.era << NUMBER_BITS | self.number


# Before the first read.
NO_REVISION: Final = StoreRevision(0, 0)
