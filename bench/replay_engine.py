"""A model of one engine: steps, chunked prefill, a batch that shares both."""

from collections import deque
from collections.abc import Iterator
from typing import Final, NamedTuple

__all__ = ('EngineModel', 'RunPlan', 'Token')

# An engine of slowness 1: a step, what each run adds to it, and prefill, as
# the sheets of the deployments give them.
STEP_MS: Final = 3.37
STEP_MS_PER_RUN: Final = 0.0109
PREFILL_TOKENS_PER_MS: Final = 61.2
PAIRS_MS_PER_MILLION: Final = 0.324
FIRST_MS: Final = 6.0
MILLION: Final = 1_000_000


class RunPlan(NamedTuple):
    """What one request costs an engine.

    :param output_tokens: tokens that it makes, not what it was allowed to.
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int


class Token(NamedTuple):
    """A token that was made.

    :param made: how many its run has made with it.
    """

    request_id: str
    at_ms: float
    made: int
    is_last: bool


class _Run:
    """A run in the batch."""

    def __init__(self, plan: RunPlan) -> None:
        self.plan = plan
        self.read = 0
        self.made = 0


class EngineModel:
    """Runs a batch step by step; time is its own and given from outside."""

    def __init__(self, slowness: float, slots: int, chunk_tokens: int) -> None:
        """Start idle.

        :param chunk_tokens: of prompts, read in one step at most.
        """
        self._slowness = slowness
        self._slots = slots
        self._chunk_tokens = chunk_tokens
        self._runs: dict[str, _Run] = {}
        self._queue: deque[RunPlan] = deque()

    @property
    def is_idle(self) -> bool:
        """Whether a step would do nothing."""
        return not self._runs and not self._queue

    def accept(self, plan: RunPlan) -> None:
        """Take a request into the batch, or behind it."""
        self._queue.append(plan)

    def crash(self) -> None:
        """Lose everything."""
        self._runs.clear()
        self._queue.clear()

    def step(self, now: float) -> tuple[float, list[Token]]:
        """Do one step.

        :returns: when it ends, and the tokens made by then.
        """
        while self._queue and len(self._runs) < self._slots:
            plan = self._queue.popleft()
            self._runs[plan.request_id] = _Run(plan)
        ready = [run for run in self._runs.values() if _is_read(run)]
        took_ms = STEP_MS + STEP_MS_PER_RUN * len(self._runs)
        took_ms += self._prefill_chunk()
        end_ms = now + took_ms * self._slowness
        # A prompt's last chunk makes its first token.
        ready += [
            run
            for run in self._runs.values()
            if _is_read(run) and run not in ready
        ]
        return end_ms, list(self._make(ready, end_ms))

    def _prefill_chunk(self) -> float:
        budget = self._chunk_tokens
        took_ms = 0.0
        for run in self._runs.values():
            if _is_read(run) or not budget:
                continue
            if not run.read:
                took_ms += FIRST_MS
            chunk = min(budget, run.plan.prompt_tokens - run.read)
            pairs = chunk * (run.read + chunk / 2) / MILLION
            took_ms += chunk / PREFILL_TOKENS_PER_MS
            took_ms += pairs * PAIRS_MS_PER_MILLION
            run.read += chunk
            budget -= chunk
        return took_ms

    def _make(self, ready: list[_Run], end_ms: float) -> Iterator[Token]:
        for run in ready:
            run.made += 1
            is_last = run.made >= run.plan.output_tokens
            if is_last:
                self._runs.pop(run.plan.request_id)
            yield Token(run.plan.request_id, end_ms, run.made, is_last)


def _is_read(run: _Run) -> bool:
    return run.read >= run.plan.prompt_tokens
