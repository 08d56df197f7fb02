"""How long answers take once they have begun, learned for each service.

Load pattern: short answers run beside long ones, and callers' guesses of their
lengths are off several times. The mean of many is good, and it tells when
places come free.
"""

from typing import Final

__all__ = ('OutputEstimate',)

# Where learning starts: a step of a common engine and what prompts that are
# read beside add to it, milliseconds at slowness 1.
FIRST_TOKEN_TIME_MS: Final = 5.0
# The same for a call to a service that makes no tokens: what users' sheets give
# for such services, 20 to 45 ms.
FIRST_CALL_MS: Final = 30.0
# One answer counts for so much of what is known: the guesses of callers are off
# several times, only the mean of many is good.
LEARNED_SHARE: Final = 0.03
# An answer that went on for ten times its caller's guess counts as this much.
MAX_TOKEN_TIME_MS: Final = 50.0


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
