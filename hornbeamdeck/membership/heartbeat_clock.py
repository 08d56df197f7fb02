"""Time stamps of heartbeats and the evaluation of their echoes.

Clocks count from the boot of each machine, so a stamp from an earlier boot
denotes another moment on the current clock. Stamps therefore count from a
random origin that is drawn at each start: an echoed stamp of an earlier
incarnation lies outside of this one's lifetime and is rejected.
"""

import math
import secrets
from typing import Final

__all__ = ('NEVER_CONFIRMED_AGE_MS', 'HeartbeatClock', 'confirmation_age_ms')

# Age in milliseconds that stands for "never confirmed".
NEVER_CONFIRMED_AGE_MS: Final = 1_000_000_000

_MIN_ORIGIN_MS: Final = 10_000_000_000_000
_ORIGIN_RANGE_MS: Final = 1_000_000_000_000_000


class HeartbeatClock:
    """Generates the heartbeat stamps of one incarnation."""

    def __init__(self, now: float) -> None:
        """Draw a random origin, so that no stamp is 0, which means none."""
        self._started_ms = int(now)
        self._origin_ms = _MIN_ORIGIN_MS + secrets.randbelow(_ORIGIN_RANGE_MS)

    def stamp_ms(self, now: float) -> int:
        """Return the stamp for a heartbeat that is sent now."""
        return int(now) + self._origin_ms

    def requested_ms(
        self, echo_ms: int, age_ms: int, now: float
    ) -> float | None:
        """Return a lower bound for when the peer's store request was sent.

        The result is on this process's clock.

        :param echo_ms: the stamp that the peer echoes.
        :param age_ms: how long before the arrival of the echoed heartbeat the
            request was sent; negative if it was sent after the arrival.
        :returns: `None` if the echo is not a stamp of this incarnation or the
            request would lie in the future.
        """
        sent_ms = echo_ms - self._origin_ms
        if not self._started_ms <= sent_ms <= now:
            return None
        requested_ms = sent_ms - age_ms
        return requested_ms if requested_ms <= now else None


def confirmation_age_ms(at_ms: float, confirmed_ms: float) -> int:
    """Return a confirmation's age as sent in a heartbeat, rounded up.

    :param at_ms: the time at which the age is taken.
    """
    if math.isinf(confirmed_ms):
        return NEVER_CONFIRMED_AGE_MS
    return math.ceil(at_ms - confirmed_ms)
