"""When the places of a service's engines come free, from what is known of runs.

Load pattern: all places are taken for seconds and short answers run beside long
ones. A mean time between grants tells nothing of the next place; what each run
has still to read and to make, at its engine's speed, does.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple, Self

__all__ = ('Forecast',)

# A run past its expected end goes on for about this part of what it is over:
# lengths that are often far off have long tails. Chosen, not measured; at 0 an
# overdue run's place would be promised to one request after another.
OVERDUE_SHARE: Final = 0.2


class Forecast(NamedTuple):
    """When places come free.

    :param free_ms: from now, for each place, in order; 0: it is free.
    :param interval_ms: mean time between grants, for what waits beyond these.
    """

    free_ms: tuple[float, ...]
    interval_ms: float

    @classmethod
    def from_ends(
        cls,
        places: int,
        ends_ms: Iterable[float],
        interval_ms: float,
        now: float,
    ) -> Self:
        """Make it from free places and the expected ends of runs."""
        left = sorted(
            end_ms - now if end_ms >= now else (now - end_ms) * OVERDUE_SHARE
            for end_ms in ends_ms
        )
        return cls((0.0,) * places + tuple(left), interval_ms)

    def start_in_ms(self, ahead: int) -> float:
        """Expect when a request starts, from now.

        :param ahead: requests that start before it.
        """
        known = len(self.free_ms)
        if ahead < known:
            return self.free_ms[ahead]
        last_ms = self.free_ms[-1] if known else 0.0
        return last_ms + (ahead - known + 1) * self.interval_ms
