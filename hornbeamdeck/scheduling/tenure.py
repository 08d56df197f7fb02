"""Since when this process has been the only owner of the fleet's cells.

An owner that stands still, or is cut off, is replaced by another one without
noticing it. What it knows of the time since is not complete.
"""

import math
from collections.abc import Callable
from typing import Final, TypeAlias

from hornbeamdeck.scheduling.owner_share import MAJORITY_SHARE

__all__ = ('MAX_RECORD_GAP_MS', 'OwnedSince', 'Tenure', 'never_owned')

# An owner that is silent for this long is replaced by the others. A process
# that has not run for this long may have been.
MAX_RECORD_GAP_MS: Final = 1000

# Takes a time. Returns since when this process has been the only owner up to
# then; infinity: it is not.
OwnedSince: TypeAlias = Callable[[float], float]


def never_owned(_now: float) -> float:
    """Return the start of the tenure of a process that is not the owner."""
    return math.inf


class Tenure:
    """The time up to now in which no other process can have granted."""

    def __init__(self, *, is_first_start: bool) -> None:
        """Start as the owner of a new fleet, or as no owner.

        :param is_first_start: whether no process of the fleet ran before.
        """
        self._since_ms = -math.inf if is_first_start else math.inf
        # When the ownership was recorded last; infinity: not yet.
        self._recorded_ms = math.inf

    def record(self, share: float, now: float) -> None:
        """Record the ownership; called often.

        :param share: share of the fleet's instances that is served here; 0 if
            this process is not the owner. At most one owner serves a majority.
        """
        if share <= MAJORITY_SHARE:
            self._since_ms = math.inf
        elif now - self._recorded_ms > MAX_RECORD_GAP_MS:
            self._since_ms = now
        else:
            self._since_ms = min(self._since_ms, now)
        self._recorded_ms = now

    def since_ms(self, now: float) -> float:
        """Return the start of the tenure that lasts until now."""
        if now - self._recorded_ms > MAX_RECORD_GAP_MS:
            return math.inf
        return self._since_ms
