"""Retry times for refused callers, and recognition of their retries.

Load pattern: in a burst dozens of requests are refused each second, and their
callers honour the retry time that they receive. If all received the same time,
they would return together and cause the next overload. So each caller gets its
own time. The times are spread by the rate at which the engines can start
requests and begin when the current queue has been served.

A request that returns has missed its objective. If it were served before new
requests, it would make these late in turn, and soon all would be late.
"""

import math
from collections import OrderedDict
from typing import Final

__all__ = ('RetrySchedule',)

# A burst that fills all slots lasts for seconds. A caller that retries earlier
# is refused again.
MIN_RETRY_AFTER_MS: Final = 1000
# If engines rest for one instance only, a caller that comes back is likely to
# reach another one, which may send its request at once.
MIN_RETRY_AFTER_REST_MS: Final = 100
# Callers don't wait longer than this.
MAX_RETRY_AFTER_MS: Final = 5000
# Number of slots that go to new requests for each slot that goes to a retry.
NEW_REQUESTS_PER_RETRY: Final = 3
# A request with the same fingerprint that comes later than this after the
# refusal counts as a new request.
RETRY_WINDOW_MS: Final = 8000
MAX_TRACKED_REQUESTS: Final = 4000


class _Sequence:
    """Times that follow one another at a distance."""

    def __init__(self) -> None:
        self._next_ms = -math.inf

    def next_ms(
        self, earliest_ms: float, latest_ms: float, step_ms: float
    ) -> float:
        """Return the next time and move on by one step."""
        time_ms = min(max(self._next_ms, earliest_ms), latest_ms)
        self._next_ms = time_ms + step_ms
        return time_ms


class RetrySchedule:
    """Assigns a separate retry time to each refused caller."""

    def __init__(self) -> None:
        """Start without refused callers."""
        self._after_load = _Sequence()
        self._after_rest = _Sequence()
        self._refused: OrderedDict[str, float] = OrderedDict()

    def assign(
        self,
        fingerprint: str,
        time_to_empty_ms: float,
        interval_ms: float,
        open_ms: float | None,
        now: float,
    ) -> int:
        """Return the time after which a caller is to retry, in milliseconds.

        :param fingerprint: identifies its request when it returns.
        :param time_to_empty_ms: time until all waiting requests have started.
        :param interval_ms: time between the starts of two requests.
        :param open_ms: when an engine takes requests again, if all rest;
            `None`: it is the load that keeps the request from its start.
        """
        self._refused[fingerprint] = now
        if len(self._refused) > MAX_TRACKED_REQUESTS:
            self._refused.popitem(last=False)
        step_ms = interval_ms * NEW_REQUESTS_PER_RETRY
        if open_ms is None:
            earliest_ms = now + max(time_to_empty_ms, MIN_RETRY_AFTER_MS)
            latest_ms = now + MAX_RETRY_AFTER_MS
            sequence = self._after_load
        else:
            earliest_ms = max(open_ms, now + MIN_RETRY_AFTER_REST_MS)
            latest_ms = earliest_ms + MAX_RETRY_AFTER_MS
            sequence = self._after_rest
        return int(sequence.next_ms(earliest_ms, latest_ms, step_ms) - now)

    def time_since_refusal_ms(self, fingerprint: str, now: float) -> float:
        """Return how long ago an arriving request was refused; 0: never."""
        refused_ms = self._refused.pop(fingerprint, None)
        if refused_ms is None or now - refused_ms > RETRY_WINDOW_MS:
            return 0.0
        return now - refused_ms
