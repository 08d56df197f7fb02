"""Limit on the requests that a version under observation may get."""

from typing import Final

__all__ = ('Exposure',)

# Share of the limit that is used. A grant that counts may be returned unused.
USED_SHARE: Final = 0.9


class Exposure:
    """Counts the grants of a service since this process took its order.

    An owner that takes over a roll-out does not know how many requests its
    predecessors sent. Each of them kept within the share, so it uses the share
    of its own grants alone; the slack belongs to the owner that has begun the
    roll-out.
    """

    def __init__(self, share: float, slack: float) -> None:
        """Start without grants and without slack.

        :param share: share of all requests of the service.
        :param slack: number of requests in addition.
        """
        self.granted = 0
        self.granted_new = 0
        self._share = share * USED_SHARE
        self._slack = slack * USED_SHARE
        self._slack_from_ms = float('inf')
        self._slack_ramp_ms = 0.0

    def grant_slack(self, now: float, ramp_ms: float) -> None:
        """Allow the slack, since this process has begun the roll-out.

        It is spread over `ramp_ms`: answers are compared with those of the
        other version in the same seconds, and a few seconds tell more than one.
        """
        self._slack_from_ms = now
        self._slack_ramp_ms = ramp_ms

    def record_grant(self, *, is_new: bool) -> None:
        """Count a grant."""
        self.granted += 1
        self.granted_new += is_new

    def allows_another(self, now: float) -> bool:
        """Return whether the new version may get one more request."""
        slack_share = 0.0
        if now > self._slack_from_ms:
            elapsed_ms = now - self._slack_from_ms
            slack_share = min(elapsed_ms / max(self._slack_ramp_ms, 1.0), 1.0)
        allowed = self._share * self.granted + self._slack * slack_share
        return self.granted_new + 1 <= allowed
