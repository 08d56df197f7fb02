"""Standing of a waiting request among those of its rank."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

__all__ = ('Standing', 'StandingCounts')


class Standing(enum.IntEnum):
    """Lower standings start first within a rank, and are refused last."""

    # A refused request that returned at the time it was given.
    RETURNING = 0
    WITHIN_SHARE = 1
    BEYOND_SHARE = 2


class StandingCounts(NamedTuple):
    """Requests of one service by standing.

    :param waiting: requests that wait now.
    :param refused: requests refused since this owner began.
    :param beyond: names of the teams that are beyond their share now.
    """

    waiting: Mapping[Standing, int]
    refused: Mapping[Standing, int]
    beyond: tuple[str, ...]
