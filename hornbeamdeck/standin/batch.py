"""The engine stand-in's continuous batching.

Each step takes prompt tokens of the oldest prompts and gives one token to each
answer under way; a step lasts longer the more it does. So the time to first
token grows with the prompt tokens queued, and the time between tokens with the
batch.
"""

from typing import Final, NamedTuple, Self

from curio import Event, Queue, sleep

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('Batch', 'EngineModel', 'EngineRecords', 'Sequence')

END_OF_ANSWER: Final = -1
COUNTED: Final = (
    'prefilled_tokens',
    'wasted_prefill_tokens',
    'output',
    'breaks',
)


class EngineModel(NamedTuple):
    """How an engine spends its time.

    :param speed: divides every duration; 1 is the reference engine.
    :param max_batch: answers that its memory holds; the rest of what it has
        admitted waits inside it, first come, first served.
    """

    speed: float = 1
    step_ms: float = 8
    step_per_answer_ms: float = 0.5
    prefill_token_ms: float = 0.05
    prefill_chunk_tokens: int = 512
    cache_blocks: int = 256
    max_batch: int = 16

    @classmethod
    def from_config(cls, raw: dict[str, float]) -> Self:
        """Take what a settings object gives; the rest stays as it is."""
        return cls(**raw)  # type: ignore[arg-type]


class EngineRecords(NamedTuple):
    """What an engine counted.

    :param runs: runs by request id.
    """

    runs: dict[str, int]
    counts: dict[str, int]


class Sequence:
    """One request in the batch."""

    def __init__(self, *, prompt_tokens: int, output_tokens: int) -> None:
        """Start with nothing prefilled."""
        self.prefill_left = prompt_tokens
        self.prefilled_tokens = 0
        self.output_left = output_tokens
        self.output: Queue = Queue()


class Batch:
    """All requests that one engine has admitted."""

    def __init__(self, model: EngineModel) -> None:
        """Start empty."""
        self.model = model
        self.records = EngineRecords(
            {},
            dict.fromkeys(COUNTED, 0),
        )
        self.most_running = 0
        self._sequences: list[Sequence] = []
        self._arrived = Event()

    @property
    def running(self) -> int:
        """How many requests are in the batch."""
        return len(self._sequences)

    @property
    def queued_prompt_tokens(self) -> int:
        """Prompt tokens not yet prefilled."""
        return sum(each.prefill_left for each in self._sequences)

    async def async_admit(self, sequence: Sequence) -> None:
        """Take a request in, as engines do, whatever the load."""
        self._sequences.append(sequence)
        self.most_running = max(self.most_running, self.running)
        await self._arrived.set()

    def cancel(self, sequence: Sequence) -> None:
        """Drop a request; prefill done for it was wasted."""
        if sequence not in self._sequences:
            return
        self._sequences.remove(sequence)
        wasted = sequence.prefilled_tokens
        self.records.counts['wasted_prefill_tokens'] += wasted

    async def async_run(self) -> None:
        """Step for ever."""
        while True:
            if not self._sequences:
                self._arrived.clear()
                await self._arrived.wait()
            await self._async_step()

    async def _async_step(self) -> None:
        active = self._sequences[: self.model.max_batch]
        decoding = [each for each in active if not each.prefill_left]
        prefilled = self._prefill(active)
        model = self.model
        step_ms = model.step_ms + model.step_per_answer_ms * len(decoding)
        step_ms += model.prefill_token_ms * prefilled
        await sleep(step_ms / model.speed / MILLIS_PER_SECOND)
        for sequence in decoding:
            await self._async_decode(sequence)

    def _prefill(self, active: list[Sequence]) -> int:
        budget = self.model.prefill_chunk_tokens
        for sequence in active:
            taken = min(budget, sequence.prefill_left)
            sequence.prefill_left -= taken
            sequence.prefilled_tokens += taken
            budget -= taken
        done = self.model.prefill_chunk_tokens - budget
        self.records.counts['prefilled_tokens'] += done
        return done

    async def _async_decode(self, sequence: Sequence) -> None:
        if sequence not in self._sequences:
            return
        self.records.counts['output'] += 1
        sequence.output_left -= 1
        await sequence.output.put(sequence.output_left)
        if sequence.output_left <= 0:
            self._sequences.remove(sequence)
            await sequence.output.put(END_OF_ANSWER)
