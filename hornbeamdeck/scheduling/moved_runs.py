"""Runs that another owner accounts for, while their engines still run them.

Load pattern: all slots are taken and requests wait as the owner changes, for
instance at a planned stop. The ingresses move their runs to the next owner one
after another. If the former owner took the slots of moved runs for free, it
would grant them to requests that have not moved yet, and the engines would get
more than they have slots for.
"""

from collections.abc import Iterator
from typing import Final

__all__ = ('MovedRuns',)

# All ingresses have heard of the new owner by then: heartbeats are at most this
# far apart.
HOLD_MS: Final = 1000.0


class MovedRuns:
    """The moved runs whose slots are not free yet, oldest first."""

    def __init__(self) -> None:
        """Start without moved runs."""
        self._until_ms: dict[str, float] = {}

    def hold(self, request_id: str, now: float) -> None:
        """Keep the slot of a run that has moved to another owner."""
        self._until_ms.setdefault(request_id, now + HOLD_MS)

    def drop(self, request_id: str) -> None:
        """Forget a run that has moved back or has ended."""
        self._until_ms.pop(request_id, None)

    def pop_expired(self, now: float) -> Iterator[str]:
        """Yield the runs whose slots are free now, and forget them."""
        while self._until_ms:
            request_id = next(iter(self._until_ms))
            if self._until_ms[request_id] > now:
                return
            self._until_ms.pop(request_id)
            yield request_id
