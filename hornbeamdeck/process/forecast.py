"""When the places of a service's engines come free, from what is known of runs.

Load pattern: all places are taken for seconds and short answers run beside long
ones. A mean time between grants tells nothing of the next place; what each run
has still to read and to make, at its engine's speed, does.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = ('Forecast', 'OutputEstimate')

# Where learning starts: a step of a common engine and what prompts that are
# read beside add to it, milliseconds at slowness 1.
FIRST_TOKEN_TIME_MS: Final = 5.0
# The time of a call to a service that makes no tokens.
FIRST_CALL_MS: Final = 30.0
# One answer counts for so much of what is known: the guesses of callers are off
# several times, only the mean of many is good.
LEARNED_SHARE: Final = 0.03
# An answer that went on for ten times its caller's guess counts as this much.
MAX_TOKEN_TIME_MS: Final = 50.0
# A run past its expected end goes on for about this part of what it is over:
# lengths that are often far off have long tails.
OVERDUE_SHARE: Final = 0.2


class OutputEstimate:
    """How long runs go on after their first token, for one service."""

    def __init__(self) -> None:
        """Start with a common engine."""
        self.token_ms = FIRST_TOKEN_TIME_MS
        self.call_ms = FIRST_CALL_MS

    def learn_tokens(self, took_ms: float, expected_tokens: int) -> None:
        """Take in how long an answer took, at slowness 1."""
        seen_ms = min(took_ms / max(expected_tokens, 1), MAX_TOKEN_TIME_MS)
        self.token_ms += LEARNED_SHARE * (seen_ms - self.token_ms)

    def learn_call(self, took_ms: float) -> None:
        """Take in how long a call without tokens took."""
        self.call_ms += LEARNED_SHARE * (took_ms - self.call_ms)


class Forecast(NamedTuple):
    """When places come free.

    :param free_ms: from now, for each place, in order; 0: it is free.
    :param interval_ms: mean time between grants, for what waits beyond these.
    """

    free_ms: tuple[float, ...]
    interval_ms: float

    @classmethod
    def from_ends(
        cls,
        places: int,
        ends_ms: Iterable[float],
        interval_ms: float,
        now: float,
    ) -> 'Forecast':
        """Make it from free places and the expected ends of runs."""
        left = sorted(_left_ms(end_ms, now) for end_ms in ends_ms)
        return cls((*(0.0 for _ in range(places)), *left), interval_ms)

    def start_in_ms(self, ahead: int) -> float:
        """Expect when a request starts, from now.

        :param ahead: requests that start before it.
        """
        known = len(self.free_ms)
        if ahead < known:
            return self.free_ms[ahead]
        last_ms = self.free_ms[-1] if known else 0.0
        return last_ms + (ahead - known + 1) * self.interval_ms


def _left_ms(end_ms: float, now: float) -> float:
    if end_ms >= now:
        return end_ms - now
    return (now - end_ms) * OVERDUE_SHARE
