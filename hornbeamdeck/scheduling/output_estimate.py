"""Estimate of how long responses take, by service.

Load pattern: short responses run next to long ones, and the output lengths that
callers expect are off by several times. The mean of many responses is accurate,
and it is needed to forecast when slots become free.

A call to a service without a model takes an engine about as long as it takes
the owner to hear of its end and an ingress to open a connection. If the owner
granted as many calls as an engine has slots, half of these would stay empty.
"""

from typing import Final

__all__ = ('INITIAL_CALL_MS', 'INITIAL_TOKEN_MS', 'OutputEstimate')

# Initial time per output token: a step of a common engine and the share of
# concurrent prefills in it, in milliseconds at slowness 1.
INITIAL_TOKEN_MS: Final = 5.0
# Initial time of a call to a service that generates no tokens. The users' data
# sheets list 20 to 45 ms for such services.
INITIAL_CALL_MS: Final = 30.0
# Weight of one response in the estimate. It is small because the lengths that
# callers expect are off by several times and only the mean of many is accurate.
LEARNING_RATE: Final = 0.03
# Upper bound of one sample, for a response ten times as long as its caller
# expected.
MAX_TOKEN_MS: Final = 50.0
# Upper bound of the calls that are granted for one slot. An engine that has
# become slow looks the same as one that is far away.
MAX_CALLS_PER_SLOT: Final = 2.0


class OutputEstimate:
    """How long runs of one service continue after their first token."""

    def __init__(self) -> None:
        """Start with the speed of a common engine."""
        self.token_ms = INITIAL_TOKEN_MS
        self.call_ms = INITIAL_CALL_MS
        self._engine_call_ms = INITIAL_CALL_MS

    @property
    def calls_per_slot(self) -> float:
        """How many calls to grant at once for each slot of an engine.

        One of them runs while the others are on their way.
        """
        return min(self.call_ms / self._engine_call_ms, MAX_CALLS_PER_SLOT)

    def learn_tokens(self, elapsed_ms: float, expected_tokens: int) -> None:
        """Add the observed output time of a response, at slowness 1."""
        observed_ms = min(elapsed_ms / max(expected_tokens, 1), MAX_TOKEN_MS)
        self.token_ms += LEARNING_RATE * (observed_ms - self.token_ms)

    def learn_call(self, elapsed_ms: float, engine_ms: float) -> None:
        """Add the observed duration of a call without tokens.

        :param elapsed_ms: from its grant until the owner has heard of its end.
        :param engine_ms: from sending the request to its response.
        """
        self.call_ms += LEARNING_RATE * (elapsed_ms - self.call_ms)
        change_ms = max(engine_ms, 1.0) - self._engine_call_ms
        self._engine_call_ms += LEARNING_RATE * change_ms
