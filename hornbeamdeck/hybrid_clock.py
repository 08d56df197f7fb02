"""Hybrid logical clock: stamps that order events across processes.

A stamp is the wall clock in microseconds, advanced where needed so that it
exceeds every stamp issued or observed before. Sorted by stamp, an effect never
comes before its cause, although the wall clocks of the processes differ.
"""

import time
from collections.abc import Callable
from typing import Final

__all__ = ('HybridClock',)

NANOS_PER_MICRO: Final = 1000
MAX_STAMP_LEAD_US: Final = 60_000_000


def _wall_us() -> int:
    return time.time_ns() // NANOS_PER_MICRO


class HybridClock:
    """The hybrid logical clock of one process.

    :param wall_us: returns the wall clock, microseconds.
    """

    def __init__(self, wall_us: Callable[[], int] = _wall_us) -> None:
        """Start with no stamp issued or observed."""
        self._wall_us = wall_us
        self._last_us = 0

    def stamp(self) -> int:
        """Return a stamp for a local event or a message to be sent."""
        self._last_us = max(self._last_us + 1, self._wall_us())
        return self._last_us

    def observe(self, stamp_us: int) -> None:
        """Advance past the stamp of a received message.

        A stamp more than a minute ahead of the wall clock is ignored.
        Otherwise one process with a broken wall clock would permanently
        advance the clocks of all others.
        """
        if stamp_us <= self._wall_us() + MAX_STAMP_LEAD_US:
            self._last_us = max(self._last_us, stamp_us)
