"""Instances that a connection has shown to be dead, for a while each."""

import math
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms

__all__ = ('SUSPECT_MS', 'Suspects')

SUSPECT_MS: Final = 3000
MAX_SUSPECT_MS: Final = 60_000


class _Suspicion(NamedTuple):
    until_ms: float
    period_ms: int


class Suspects:
    """Who is passed over; twice as long each time it shows dead again."""

    def __init__(self, first_ms: int) -> None:
        """Suspect nobody.

        :param first_ms: how long a first suspicion lasts, milliseconds.
        """
        self._first_ms = first_ms
        self._suspicions: dict[str, _Suspicion] = {}

    def __contains__(self, instance_id: str) -> bool:
        """Whether an instance is passed over for now."""
        suspicion = self._suspicions.get(instance_id)
        return suspicion is not None and now_ms() < suspicion.until_ms

    def add(self, instance_id: str) -> None:
        """Pass an instance over from now on."""
        before = self._suspicions.get(instance_id)
        period_ms = self._first_ms
        if before is not None:
            period_ms = min(before.period_ms * 2, MAX_SUSPECT_MS)
        self._suspicions[instance_id] = _Suspicion(
            now_ms() + period_ms,
            period_ms,
        )

    def remove(self, instance_id: str) -> bool:
        """Trust an instance again.

        :returns: whether it was suspected before.
        """
        return self._suspicions.pop(instance_id, None) is not None

    def next_expiry_ms(self) -> float:
        """Tell when the next suspicion ends, on this process's clock."""
        now = now_ms()
        expiries = (each.until_ms for each in self._suspicions.values())
        coming = (each for each in expiries if each > now)
        return min(coming, default=math.inf)
