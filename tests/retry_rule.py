"""The users' rule on retries, as their engines and clients see it."""

from collections.abc import Sequence
from typing import NamedTuple


class RetryRule(NamedTuple):
    """How many retries a service may get in any window.

    :param ratio: retries allowed per request.
    :param slack: retries allowed in addition.
    """

    ratio: float
    slack: float
    window_ms: float

    def excess(
        self, requests_ms: Sequence[float], retries_ms: Sequence[float]
    ) -> float:
        """Return by how many retries the worst window exceeds its limit.

        Requests count in the window, in the one before it or in the one that
        begins half a window earlier, whichever has most.

        :returns: at most 0 if the rule is kept.
        """
        return max(
            (
                self._count(retries_ms, start_ms)
                - self._allowed(requests_ms, start_ms)
                for start_ms in retries_ms
            ),
            default=-self.slack,
        )

    def _allowed(self, requests_ms: Sequence[float], start_ms: float) -> float:
        counts = (
            self._count(requests_ms, start_ms - self.window_ms * share)
            for share in (0, 0.5, 1)
        )
        return self.ratio * max(counts) + self.slack

    def _count(self, times_ms: Sequence[float], start_ms: float) -> int:
        end_ms = start_ms + self.window_ms
        return sum(start_ms <= each < end_ms for each in times_ms)
