"""Hybrid logical clock: stamps that order what one process told another.

A stamp is wall-clock microseconds, moved on where needed so that it exceeds
every stamp given or seen before. Events over all processes so sort in an order
that never puts an effect before its cause, though wall clocks differ.
"""

import time
from collections.abc import Callable
from typing import Final

__all__ = ('HybridClock',)

NANOS_PER_MICRO: Final = 1000
MAX_AHEAD_US: Final = 60_000_000


def _wall_us() -> int:
    return time.time_ns() // NANOS_PER_MICRO


class HybridClock:
    """The clock of one process.

    :param wall_us: tells the wall clock, microseconds.
    """

    def __init__(self, wall_us: Callable[[], int] = _wall_us) -> None:
        """Start at the wall clock."""
        self._wall_us = wall_us
        self._last_us = 0

    def stamp(self) -> int:
        """Give a stamp for an event here or for a message about to go out."""
        self._last_us = max(self._last_us + 1, self._wall_us())
        return self._last_us

    def observe(self, stamp_us: int) -> None:
        """Take in the stamp of a message.

        One that is over a minute ahead is not taken in: a single process with
        a broken wall clock would carry every other one along for good.
        """
        if stamp_us <= self._wall_us() + MAX_AHEAD_US:
            self._last_us = max(self._last_us, stamp_us)
