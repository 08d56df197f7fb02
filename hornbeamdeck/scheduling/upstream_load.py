"""State of one upstream as seen by the cell's owner: runs, limits, speed."""

from typing import Final, NamedTuple

from hornbeamdeck.scheduling.speed_estimate import SpeedEstimate
from hornbeamdeck.version.entities import Upstream
from hornbeamdeck.wire import Register, RunEnd

__all__ = ('Run', 'UpstreamLoad')

HEADROOM_DIVISOR: Final = 8
INITIAL_BACKOFF_MS: Final = 500
MAX_BACKOFF_MS: Final = 8000
FULL_CONFIDENCE_MS: Final = 2000
CONFIDENCE_HALF_LIFE_MS: Final = 5000
HALF: Final = 0.5


class Run(NamedTuple):
    """A run as the owner accounts for it.

    :param queued_tokens: prompt tokens to prefill before its first token, its
        own included.
    :param first_token_ms: time to its first token; 0: not yet reported.
    """

    sender: str
    fingerprint: str
    prompt_tokens: int
    output_tokens: int
    queued_tokens: int
    first_token_ms: float
    is_prefilling: bool


class UpstreamLoad:
    """Running requests and outstanding prompt tokens of one upstream."""

    def __init__(self, upstream: Upstream) -> None:
        """Start idle."""
        self.upstream = upstream
        self.speed = SpeedEstimate()
        self.runs: dict[str, Run] = {}
        self.prompt_tokens = 0
        self.is_draining = False
        self._last_sample_ms = 0.0
        self._backoff_until_ms = 0.0
        self._backoff_ms = 0

    def can_accept(
        self,
        prompt_tokens: int,
        *,
        is_top_tier: bool,
        now: float,
    ) -> bool:
        """Return whether a request fits now.

        Requests below the top tier leave a share of the capacity free.
        Otherwise an urgent request that arrives while long responses hold every
        slot would wait for one of them to end.
        """
        if self.is_draining or now < self._backoff_until_ms:
            return False
        max_running = self.upstream.max_running
        max_prompt_tokens = self.upstream.max_prompt_tokens
        if not is_top_tier:
            max_running = _below_headroom(max_running)
            max_prompt_tokens = _below_headroom(max_prompt_tokens)
        if len(self.runs) >= max_running:
            return False
        if not self.prompt_tokens:
            return True
        return self.prompt_tokens + prompt_tokens <= max_prompt_tokens

    def confidence(self, now: float) -> float:
        """Return how reliable the estimates are, from 1 down as they age.

        Estimates are multiplied by this before a request is refused. If no
        request runs because none seems possible, nothing new is learned, and
        requests would be refused for ever because the upstream was slow once.
        """
        age_ms = max(now - self._last_sample_ms - FULL_CONFIDENCE_MS, 0)
        return float(HALF ** (age_ms / CONFIDENCE_HALF_LIFE_MS))

    def service_ms(self, prompt_tokens: int, output_tokens: int) -> float:
        """Estimate a run's duration, including prompts prefilled before it."""
        return self.speed.service_ms(
            self.prompt_tokens + prompt_tokens,
            output_tokens,
        )

    def add(self, run: Register, sender: str) -> None:
        """Account for a run that was granted or registered again."""
        self.remove(run.request_id)
        if run.is_prefilling:
            self.prompt_tokens += run.prompt_tokens
        self.runs[run.request_id] = Run(
            sender=sender,
            fingerprint=run.fingerprint,
            prompt_tokens=run.prompt_tokens,
            output_tokens=run.output_tokens,
            queued_tokens=self.prompt_tokens,
            first_token_ms=0,
            is_prefilling=run.is_prefilling,
        )

    def first_token(
        self,
        request_id: str,
        first_token_ms: float,
        now: float,
    ) -> None:
        """Update the estimates from a first token, which ends the prefill."""
        run = self.runs.get(request_id)
        if run is None or not run.is_prefilling:
            return
        self._last_sample_ms = now
        self.speed.learn_first_token(first_token_ms, run.queued_tokens)
        self.prompt_tokens -= run.prompt_tokens
        self.runs[request_id] = run._replace(
            is_prefilling=False,
            first_token_ms=first_token_ms,
        )

    def fingerprints(self) -> list[str]:
        """List the fingerprints of all runs."""
        return [run.fingerprint for run in self.runs.values()]

    def release(
        self,
        request_id: str,
        end: RunEnd,
        total_ms: float,
        now: float,
    ) -> Run:
        """Remove a run and update the estimates by how it ended.

        :raises KeyError: if there is no such run.
        """
        run = self.runs[request_id]
        self.remove(request_id)
        if end != RunEnd.ANSWERED:
            return run
        self._backoff_ms = 0
        self._last_sample_ms = now
        until_output_ms = run.first_token_ms
        if not until_output_ms:
            until_output_ms = self.speed.first_token_ms(run.queued_tokens)
        self.speed.learn_output(total_ms - until_output_ms, run.output_tokens)
        return run

    def start_backoff(self, now: float) -> None:
        """Accept no requests for a while, twice as long after each failure.

        Without this, every waiting request would try a dead upstream in turn
        and spend a connect timeout of its deadline on it.
        """
        if now < self._backoff_until_ms:
            return
        self._backoff_ms = min(
            max(self._backoff_ms * 2, INITIAL_BACKOFF_MS), MAX_BACKOFF_MS
        )
        self._backoff_until_ms = now + self._backoff_ms

    def remove(self, request_id: str) -> None:
        """Remove a run, if present, without updating the estimates."""
        run = self.runs.pop(request_id, None)
        if run is not None and run.is_prefilling:
            self.prompt_tokens -= run.prompt_tokens

    def remove_sender(self, sender: str) -> None:
        """Remove the runs of a closed connection."""
        for request_id, run in tuple(self.runs.items()):
            if run.sender == sender:
                self.remove(request_id)


def _below_headroom(limit: int) -> int:
    return max(limit - max(limit // HEADROOM_DIVISOR, 1), 1)
