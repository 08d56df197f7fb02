"""How long reading a prompt makes the streams beside it pause, learned.

Load pattern: long prompts arrive among streams. An engine reads a prompt in
chunks, one in each step between the tokens of all its streams, and says nothing
of their size. Taken too large, prompts wait for an engine without streams until
they are late, with places free all the while; too small, they break streams.
"""

from typing import Final

__all__ = ('PauseEstimate', 'prefill_ms')

# The model of an engine of slowness 1; what an engine really takes is learned
# as a factor on it. The figures are those of a current 70b model's engine.
PREFILL_TOKENS_PER_MS: Final = 60.0
# Attention makes a prompt's cost grow with its square, ms a million pairs.
PAIRS_MS_PER_MILLION: Final = 0.32
MILLION: Final = 1_000_000.0
STEP_MS: Final = 3.5
# Where learning starts: the chunk that common engines read by default, tokens.
FIRST_CHUNK_TOKENS: Final = 2048
# A pause counts for so much of what is known: three long prompts read beside a
# stream move the estimate more than half of the way.
LEARNED_SHARE: Final = 0.3
# A prompt must have taken so many times the pause to be read, or the pause
# shows the end of the prompt and not of a chunk. The margin is for the way of
# the first token, by which reading seems longer.
WHOLE_CHUNKS: Final = 1.25
# A longer pause than reading can explain comes from elsewhere: a lost packet, a
# machine that stood still.
EXPLAINED: Final = 0.8
# Events that arrive together show no step at all; no engine's is shorter.
MIN_STEP_MS: Final = 1.0


def prefill_ms(tokens: int) -> float:
    """Time that an engine of slowness 1 takes to read a prompt."""
    pairs = tokens * tokens / 2 / MILLION
    return tokens / PREFILL_TOKENS_PER_MS + pairs * PAIRS_MS_PER_MILLION


class PauseEstimate:
    """The time of a step that reads, for the engines of one service."""

    def __init__(self) -> None:
        """Start with the step of a common engine."""
        self.step_ms = prefill_ms(FIRST_CHUNK_TOKENS) + STEP_MS

    def pause_ms(self, reading_ms: float, tokens_per_event: int) -> float:
        """Expect a pause in a stream; times at slowness 1.

        :param reading_ms: of all prompts that are to be read beside it.
        """
        return min(reading_ms, tokens_per_event * self.step_ms)

    def learn(
        self,
        pause_ms: float,
        reading_ms: float,
        tokens_per_event: int,
    ) -> None:
        """Take in the longest pause of a stream; times at slowness 1.

        :param reading_ms: of the longest prompt that was read beside it.
        """
        step_ms = max(pause_ms / max(tokens_per_event, 1), MIN_STEP_MS)
        is_whole = reading_ms >= pause_ms * WHOLE_CHUNKS
        is_longer = step_ms > self.step_ms
        if is_whole or (is_longer and reading_ms >= pause_ms * EXPLAINED):
            self.step_ms += LEARNED_SHARE * (step_ms - self.step_ms)
