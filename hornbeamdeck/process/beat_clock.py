"""The stamps of beats, and what a peer's echo of one proves.

Clocks count from the boot of each machine, so a stamp of an earlier boot means
another moment on this one's. Stamps therefore count from an origin that is
drawn anew at each start: one of an earlier incarnation falls outside of this
one's life and proves nothing.
"""

import math
import secrets
from typing import Final

__all__ = ('NEVER_MS', 'BeatClock', 'told_age_ms')

# What stands for a proof that was never had, milliseconds.
NEVER_MS: Final = 1_000_000_000

MIN_ORIGIN_MS: Final = 10_000_000_000_000
ORIGINS_MS: Final = 1_000_000_000_000_000


class BeatClock:
    """Stamps the beats of one incarnation."""

    def __init__(self, now: float) -> None:
        """Draw an origin; no stamp is 0, which stands for none."""
        self._started_ms = int(now)
        self._origin_ms = MIN_ORIGIN_MS + secrets.randbelow(ORIGINS_MS)

    def stamp_ms(self, now: float) -> int:
        """Give the stamp for a beat that is sent now."""
        return int(now) + self._origin_ms

    def asked_ms(self, echo_ms: int, age_ms: int, now: float) -> float | None:
        """Tell when a question was sent at the latest, on this clock.

        :param echo_ms: the stamp that the peer echoes.
        :param age_ms: how long before the echoed beat's arrival the question
            was sent; negative where it was sent after that.
        :returns: `None` where the echo is not one of this incarnation's stamps
            or the question would lie in the future.
        """
        sent_ms = echo_ms - self._origin_ms
        if not self._started_ms <= sent_ms <= now:
            return None
        asked_ms = sent_ms - age_ms
        return asked_ms if asked_ms <= now else None


def told_age_ms(at_ms: float, confirmed_ms: float) -> int:
    """Give the age of a proof at a moment as a beat tells it, rounded up."""
    if math.isinf(confirmed_ms):
        return NEVER_MS
    return math.ceil(at_ms - confirmed_ms)
