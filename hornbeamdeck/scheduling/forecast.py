"""Forecast of when slots of a service's engines become free.

Load pattern: all slots are taken for seconds, and short responses run next to
long ones. The mean time between grants does not predict when the next slot
becomes free. The remaining prefill and output of each run, at the speed of its
engine, does.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple, Self

__all__ = ('Forecast',)

# A run past its expected end is expected to continue for about this share of
# the time by which it is overdue. Output lengths are often estimated wrongly,
# and their distribution has a long tail. At 0 an overdue run's slot would be
# promised to one request after another.
OVERDUE_SHARE: Final = 0.2


class Forecast(NamedTuple):
    """When slots become free.

    :param free_ms: time from now for each slot, in ascending order; 0: it is
        free.
    :param interval_ms: mean time between grants, used for requests beyond these
        slots.
    """

    free_ms: tuple[float, ...]
    interval_ms: float

    @classmethod
    def from_ends(
        cls,
        free_slots: int,
        ends_ms: Iterable[float],
        interval_ms: float,
        now: float,
    ) -> Self:
        """Create it from the free slots and the expected ends of runs."""
        remaining_ms = sorted(
            end_ms - now if end_ms >= now else (now - end_ms) * OVERDUE_SHARE
            for end_ms in ends_ms
        )
        return cls((0.0,) * free_slots + tuple(remaining_ms), interval_ms)

    def start_in_ms(self, requests_ahead: int) -> float:
        """Estimate the time until a request starts.

        :param requests_ahead: number of requests that start before it.
        """
        known_slots = len(self.free_ms)
        if requests_ahead < known_slots:
            return self.free_ms[requests_ahead]
        last_ms = self.free_ms[-1] if known_slots else 0.0
        return last_ms + (requests_ahead - known_slots + 1) * self.interval_ms
