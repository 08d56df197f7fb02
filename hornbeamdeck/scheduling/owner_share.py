"""Share of the fleet's limits that one of several owners may spend.

A partitioned fleet has an owner on each side, and neither knows what the other
grants. The shares of all owners add up to one and an allowed overage at most,
so that together they keep a limit that each of them counts alone.
"""

import math
from collections.abc import Callable
from typing import Final

__all__ = ('OwnerShare',)

# Part of the overage that is added to the share of an owner that serves most
# instances, so that a few that are down do not lower every limit. The rest is
# for what two owners grant until both know that the fleet is partitioned.
MAJORITY_OVERAGE_SHARE: Final = 0.5
# At most one owner serves more than this share of the fleet.
MAJORITY_SHARE: Final = 0.5


class OwnerShare:
    """The share of this process, and since when it is the owner."""

    def __init__(
        self,
        served: Callable[[], float],
        overlap_ms: Callable[[], float],
        overage: float,
        *,
        is_first_start: bool,
    ) -> None:
        """Start as the owner of a new fleet, or as no owner.

        :param served: returns the share of the instances served here.
        :param overlap_ms: returns for how long after a partition an owner may
            count instances that another owner serves already.
        :param overage: what all owners may spend beyond a limit in a window,
            as a share of it.
        :param is_first_start: whether nothing can have been spent before.
        """
        self._served = served
        self._overlap_ms = overlap_ms
        self._overage = overage
        self._owner_since_ms = -math.inf if is_first_start else math.inf

    @property
    def share(self) -> float:
        """Share of each limit that this process may spend in the long run."""
        served = self._served()
        if served <= MAJORITY_SHARE:
            return served
        return min(served + self._overage * MAJORITY_OVERAGE_SHARE, 1)

    def start(self, now: float) -> None:
        """Record that this process acts as the owner."""
        self._owner_since_ms = min(self._owner_since_ms, now)

    def reset(self) -> None:
        """Record that another instance is the owner."""
        self._owner_since_ms = math.inf

    def is_overlap_over(self, now: float) -> bool:
        """Whether a former owner counts none of the instances served here."""
        return self._overlap_ms() <= max(now - self._owner_since_ms, 0)
