"""When refused callers are told to come back, and who has come back.

Load pattern: a burst refuses dozens of requests a second, and their callers
honour what they are told. Told the same, they return together and meet the
wall that they are about to build. So each gets a time of its own, spread over
what the engines can start, beginning when the queue of now is gone.

Whoever returns has missed its objective. Served before fresh requests it would
make these late in their turn, and soon all would be.
"""

from collections import OrderedDict
from typing import Final

__all__ = ('ReturnTimes',)

# A burst that fills all places lasts for seconds; who returns sooner meets it.
MIN_MS: Final = 1000
# Callers give up on what is longer.
MAX_MS: Final = 5000
# Of the places that come free, so many go to fresh requests for each that goes
# to one that returns.
FRESH_SHARE: Final = 3
# A request seen again this long after it was refused is another one.
RETURN_MS: Final = 8000
MAX_REMEMBERED: Final = 4000


class ReturnTimes:
    """The next moment that no caller has been told yet."""

    def __init__(self) -> None:
        """Start with nobody told."""
        self._next_ms = 0.0
        self._refused: OrderedDict[str, float] = OrderedDict()

    def take(
        self,
        fingerprint: str,
        drain_ms: float,
        interval_ms: float,
        now: float,
    ) -> int:
        """Give one caller the time after which to return, milliseconds.

        :param fingerprint: of its request, by which it is known again.
        :param drain_ms: until all that waits now has started.
        :param interval_ms: between the starts of two requests.
        """
        self._refused[fingerprint] = now
        if len(self._refused) > MAX_REMEMBERED:
            self._refused.popitem(last=False)
        earliest_ms = now + max(drain_ms, MIN_MS)
        self._next_ms = max(self._next_ms, earliest_ms)
        self._next_ms = min(self._next_ms, now + MAX_MS)
        told_ms = self._next_ms - now
        self._next_ms += interval_ms * FRESH_SHARE
        return int(told_ms)

    def since_refused_ms(self, fingerprint: str, now: float) -> float:
        """Tell how long ago a request was refused that comes now; 0: never."""
        refused_ms = self._refused.pop(fingerprint, None)
        if refused_ms is None or now - refused_ms > RETURN_MS:
            return 0.0
        return now - refused_ms
