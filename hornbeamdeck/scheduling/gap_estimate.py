"""Estimate of the gaps that prefilling a prompt causes in other streams.

Load pattern: long prompts arrive among streams. An engine prefills a prompt in
chunks, one in each step between the tokens of all its streams, and does not
report the chunk size. If the estimate is too large, prompts wait for an engine
without streams until they are late although slots are free. If it is too small,
they interrupt streams.
"""

from typing import Final

__all__ = ('GapEstimate', 'prefill_ms')

# Model of an engine of slowness 1. The actual speed of an engine is learned as
# a factor on it. The values are those of a current 70b model's engine.
PREFILL_TOKENS_PER_MS: Final = 60.0
# Attention makes a prompt's cost grow with the square of its length;
# milliseconds for a million pairs of tokens.
MS_PER_MILLION_PAIRS: Final = 0.32
MILLION: Final = 1_000_000.0
BASE_STEP_MS: Final = 3.5
# Initial chunk size: the default of common engines, in tokens.
INITIAL_CHUNK_TOKENS: Final = 2048
# Weight of one gap in the estimate: three long prompts that are prefilled next
# to a stream move the estimate more than half of the way.
LEARNING_RATE: Final = 0.3
# A gap shows a full chunk only if the prefill took this many times as long.
# Otherwise the prompt may have ended within the chunk. The margin covers the
# network time of the first token, which makes the prefill seem longer.
FULL_CHUNK_RATIO: Final = 1.25
# A gap that is too long to be explained by the prefill has another cause: a
# lost packet or a machine that stalled.
EXPLAINED_SHARE: Final = 0.8
# Lower bound of a step, since events that arrive together show no gap. No
# engine's step is shorter.
MIN_STEP_MS: Final = 1.0


def prefill_ms(tokens: int) -> float:
    """Return the time in which an engine of slowness 1 prefills a prompt."""
    pairs = tokens * tokens / 2 / MILLION
    return tokens / PREFILL_TOKENS_PER_MS + pairs * MS_PER_MILLION_PAIRS


class GapEstimate:
    """Duration of an engine step that prefills, for one service."""

    def __init__(self) -> None:
        """Start with the step of a common engine."""
        self.step_ms = prefill_ms(INITIAL_CHUNK_TOKENS) + BASE_STEP_MS

    def gap_ms(self, prefill_work_ms: float, tokens_per_event: int) -> float:
        """Estimate the gap in a stream; times at slowness 1.

        :param prefill_work_ms: for all prompts that are prefilled next to it.
        """
        return min(prefill_work_ms, tokens_per_event * self.step_ms)

    def learn(
        self,
        gap_ms: float,
        prefill_work_ms: float,
        tokens_per_event: int,
    ) -> None:
        """Add the longest gap of a stream; times at slowness 1.

        :param prefill_work_ms: for the longest prompt that was prefilled next
            to it.
        """
        step_ms = max(gap_ms / max(tokens_per_event, 1), MIN_STEP_MS)
        is_full_chunk = prefill_work_ms >= gap_ms * FULL_CHUNK_RATIO
        is_longer = step_ms > self.step_ms
        if is_full_chunk or (
            is_longer and prefill_work_ms >= gap_ms * EXPLAINED_SHARE
        ):
            self.step_ms += LEARNING_RATE * (step_ms - self.step_ms)
