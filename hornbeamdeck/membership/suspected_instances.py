"""Instances suspected to be down after a connection to them failed."""

import math
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms

__all__ = ('FIRST_SUSPICION_MS', 'SuspectedInstances')

FIRST_SUSPICION_MS: Final = 3000
MAX_SUSPICION_MS: Final = 60_000


class _Suspicion(NamedTuple):
    expires_ms: float
    duration_ms: int


class SuspectedInstances:
    """Suspected instances, each until its suspicion expires.

    The suspicion of an instance lasts twice as long each time that it is
    suspected again.
    """

    def __init__(self, first_ms: int) -> None:
        """Start without suspected instances.

        :param first_ms: duration of a first suspicion in milliseconds.
        """
        self._first_ms = first_ms
        self._suspicions: dict[str, _Suspicion] = {}

    def __contains__(self, instance_id: str) -> bool:
        """Return whether an instance is currently suspected."""
        suspicion = self._suspicions.get(instance_id)
        return suspicion is not None and now_ms() < suspicion.expires_ms

    def add(self, instance_id: str) -> None:
        """Suspect an instance from now on."""
        previous = self._suspicions.get(instance_id)
        duration_ms = self._first_ms
        if previous is not None:
            duration_ms = min(previous.duration_ms * 2, MAX_SUSPICION_MS)
        self._suspicions[instance_id] = _Suspicion(
            now_ms() + duration_ms,
            duration_ms,
        )

    def remove(self, instance_id: str) -> bool:
        """End the suspicion of an instance.

        :returns: whether there was a suspicion, expired ones included.
        """
        return self._suspicions.pop(instance_id, None) is not None

    def next_expiry_ms(self) -> float:
        """Return when the next suspicion expires, on this process's clock."""
        now = now_ms()
        expiries = (each.expires_ms for each in self._suspicions.values())
        future_expiries = (each for each in expiries if each > now)
        return min(future_expiries, default=math.inf)
