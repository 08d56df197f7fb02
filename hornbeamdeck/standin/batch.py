"""Continuous batching of the engine stand-in.

Each step prefills prompt tokens of the oldest requests and generates one token
for each running response. A step takes longer the more it processes. The time
to first token therefore grows with the number of queued prompt tokens, and the
time between tokens with the batch size.
"""

from typing import Final, NamedTuple, Self

from curio import Event, Queue, sleep

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('Batch', 'EngineTiming', 'EngineCounters', 'Sequence')

END_OF_OUTPUT: Final = -1
COUNTER_NAMES: Final = (
    'prefilled_tokens',
    'wasted_prefill_tokens',
    'output',
    'breaks',
)


class EngineTiming(NamedTuple):
    """Durations and limits of a simulated engine.

    :param speed: divisor of every duration; 1 is the reference engine.
    :param max_batch_size: maximum number of responses generated at the same
        time, as limited by the engine's memory. Further admitted requests
        wait in the engine in order of arrival.
    """

    speed: float = 1
    step_ms: float = 8
    step_per_sequence_ms: float = 0.5
    prefill_token_ms: float = 0.05
    prefill_chunk_tokens: int = 512
    cache_blocks: int = 256
    max_batch_size: int = 16

    @classmethod
    def from_config(cls, raw: dict[str, float]) -> Self:
        """Build from a settings object; missing keys keep their defaults."""
        return cls(**raw)  # type: ignore[arg-type]


class EngineCounters(NamedTuple):
    """Counters of an engine.

    :param runs: number of runs by request id.
    :param counts: the other counters by name.
    """

    runs: dict[str, int]
    counts: dict[str, int]


class Sequence:
    """A request in the batch."""

    def __init__(self, *, prompt_tokens: int, output_tokens: int) -> None:
        """Create a request with no prompt token prefilled."""
        self.prefill_tokens_left = prompt_tokens
        self.prefilled_tokens = 0
        self.output_tokens_left = output_tokens
        self.output: Queue = Queue()


class Batch:
    """The requests that an engine has admitted."""

    def __init__(self, timing: EngineTiming) -> None:
        """Create an empty batch."""
        self.timing = timing
        self.counters = EngineCounters(
            {},
            dict.fromkeys(COUNTER_NAMES, 0),
        )
        self.peak_running = 0
        self._sequences: list[Sequence] = []
        self._has_sequences = Event()

    @property
    def running_requests(self) -> int:
        """Number of requests in the batch."""
        return len(self._sequences)

    @property
    def queued_prompt_tokens(self) -> int:
        """Number of prompt tokens that are not prefilled yet."""
        return sum(each.prefill_tokens_left for each in self._sequences)

    async def async_admit(self, sequence: Sequence) -> None:
        """Add a request; like real engines, admit it at any load."""
        self._sequences.append(sequence)
        self.peak_running = max(self.peak_running, self.running_requests)
        await self._has_sequences.set()

    def cancel(self, sequence: Sequence) -> None:
        """Remove a request and count its prefilled tokens as wasted."""
        if sequence not in self._sequences:
            return
        self._sequences.remove(sequence)
        wasted = sequence.prefilled_tokens
        self.counters.counts['wasted_prefill_tokens'] += wasted

    async def async_run(self) -> None:
        """Run steps until cancelled; wait while the batch is empty."""
        while True:
            if not self._sequences:
                self._has_sequences.clear()
                await self._has_sequences.wait()
            await self._async_step()

    async def _async_step(self) -> None:
        active = self._sequences[: self.timing.max_batch_size]
        decoding = [each for each in active if not each.prefill_tokens_left]
        prefilled = self._prefill(active)
        timing = self.timing
        step_ms = timing.step_ms + timing.step_per_sequence_ms * len(decoding)
        step_ms += timing.prefill_token_ms * prefilled
        await sleep(step_ms / timing.speed / MILLIS_PER_SECOND)
        for sequence in decoding:
            await self._async_decode(sequence)

    def _prefill(self, active: list[Sequence]) -> int:
        tokens_left = self.timing.prefill_chunk_tokens
        for sequence in active:
            tokens = min(tokens_left, sequence.prefill_tokens_left)
            sequence.prefill_tokens_left -= tokens
            sequence.prefilled_tokens += tokens
            tokens_left -= tokens
        prefilled_tokens = self.timing.prefill_chunk_tokens - tokens_left
        self.counters.counts['prefilled_tokens'] += prefilled_tokens
        return prefilled_tokens

    async def _async_decode(self, sequence: Sequence) -> None:
        if sequence not in self._sequences:
            return
        self.counters.counts['output'] += 1
        sequence.output_tokens_left -= 1
        await sequence.output.put(sequence.output_tokens_left)
        if sequence.output_tokens_left <= 0:
            self._sequences.remove(sequence)
            await sequence.output.put(END_OF_OUTPUT)
