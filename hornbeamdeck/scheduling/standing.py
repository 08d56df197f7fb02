"""Standing of a waiting request among those of its rank."""

import enum

__all__ = ('Standing',)


class Standing(enum.IntEnum):
    """Lower standings start first within a rank, and are refused last."""

    # A refused request that returned at the time it was given.
    RETURNING = 0
    WITHIN_SHARE = 1
    BEYOND_SHARE = 2
