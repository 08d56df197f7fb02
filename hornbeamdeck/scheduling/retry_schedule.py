"""Retry times for refused callers, and recognition of their retries.

Load pattern: in a burst dozens of requests are refused each second, and their
callers honour the retry time that they receive. If all received the same time,
they would return together and cause the next overload. So each caller gets its
own time. The times are spread by the rate at which the engines can start
requests and begin when the current queue has been served.

A request that returns has missed its objective. If it were served before new
requests, it would make these late in turn, and soon all would be late.
"""

from collections import OrderedDict
from typing import Final

__all__ = ('RetrySchedule',)

# A burst that fills all slots lasts for seconds. A caller that retries earlier
# is refused again.
MIN_RETRY_AFTER_MS: Final = 1000
# Callers don't wait longer than this.
MAX_RETRY_AFTER_MS: Final = 5000
# Number of slots that go to new requests for each slot that goes to a retry.
NEW_REQUESTS_PER_RETRY: Final = 3
# A request with the same fingerprint that comes later than this after the
# refusal counts as a new request.
RETRY_WINDOW_MS: Final = 8000
MAX_TRACKED_REQUESTS: Final = 4000


class RetrySchedule:
    """Assigns a separate retry time to each refused caller."""

    def __init__(self) -> None:
        """Start without refused callers."""
        self._next_ms = 0.0
        self._refused: OrderedDict[str, float] = OrderedDict()

    def assign(
        self,
        fingerprint: str,
        time_to_empty_ms: float,
        interval_ms: float,
        now: float,
    ) -> int:
        """Return the time after which a caller is to retry, in milliseconds.

        :param fingerprint: identifies its request when it returns.
        :param time_to_empty_ms: time until all waiting requests have started.
        :param interval_ms: time between the starts of two requests.
        """
        self._refused[fingerprint] = now
        if len(self._refused) > MAX_TRACKED_REQUESTS:
            self._refused.popitem(last=False)
        earliest_ms = now + max(time_to_empty_ms, MIN_RETRY_AFTER_MS)
        self._next_ms = max(self._next_ms, earliest_ms)
        self._next_ms = min(self._next_ms, now + MAX_RETRY_AFTER_MS)
        retry_after_ms = self._next_ms - now
        self._next_ms += interval_ms * NEW_REQUESTS_PER_RETRY
        return int(retry_after_ms)

    def time_since_refusal_ms(self, fingerprint: str, now: float) -> float:
        """Return how long ago an arriving request was refused; 0: never."""
        refused_ms = self._refused.pop(fingerprint, None)
        if refused_ms is None or now - refused_ms > RETRY_WINDOW_MS:
            return 0.0
        return now - refused_ms
