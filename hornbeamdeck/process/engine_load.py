"""What a cell's owner knows of one engine: runs, speed, health.

Load pattern: engines of one service differ several times in speed and say
nothing of it; long prompts are prefilled in chunks between the tokens of all
streams beside them. So a place is worth something only together with the time
that the prompt would take there and the pause that it would cause.
"""

from typing import Final, NamedTuple

from hornbeamdeck.process.engine_directory import Engine
from hornbeamdeck.process.pause_estimate import PauseEstimate, prefill_ms
from hornbeamdeck.version.routed import EngineTraits
from hornbeamdeck.wire import Register, RunEnd

__all__ = ('EngineLoad', 'EngineRun')

# From a request's first byte to its first token, besides reading its prompt.
FIRST_TOKEN_MS: Final = 12.0

# A sample counts by the time that the model expects for it: the longer that
# is, the less of what was observed is the way there and back.
LEARN_MS: Final = 150.0
MIN_SLOWNESS: Final = 0.2
MAX_SLOWNESS: Final = 30.0

# An engine that could not be reached rests this long, then twice as long.
FIRST_REST_MS: Final = 300.0
MAX_REST_MS: Final = 4000.0
# One that turned a request away is full by other work for a moment.
FULL_REST_MS: Final = 40.0
# An engine at the address of another is gone; the list will say so soon.
GONE_REST_MS: Final = 3000.0

# Share of failures: a failure weighs as an eighth, and half is forgotten in
# this time, so that an engine that has recovered is tried again.
FAILURE_WEIGHT: Final = 0.125
FORGET_MS: Final = 3000.0
HALF: Final = 0.5

_FAULTS: Final = frozenset(
    (RunEnd.FAILED, RunEnd.REJECTED, RunEnd.ERRORED, RunEnd.NOT_DISPATCHED),
)


class EngineRun(NamedTuple):
    """A run as the owner accounts for it.

    :param unit_ms: expected time to its first token at slowness 1.
    :param gap_ms: longest pause that its stream may show; 0: no stream.
    :param stake: what its stream is worth, against other requests.
    :param first_ms: when its first token was heard of; 0: not yet.
    :param beside_ms: longest time, at slowness 1, of reading a prompt that was
        read while its stream ran.
    """

    sender: str
    zone: str
    fingerprint: str
    prompt_tokens: int
    unit_ms: float
    gap_ms: int
    is_prefilling: bool
    stake: float = 0.0
    started_ms: float = 0.0
    first_ms: float = 0.0
    beside_ms: float = 0.0

    @property
    def is_streaming(self) -> bool:
        """Whether a pause would show in its answer now."""
        return self.gap_ms > 0 and not self.is_prefilling


class _Health:
    """Failures of one engine as seen from one availability zone."""

    def __init__(self) -> None:
        self.failing = 0.0
        self.updated_ms = 0.0
        self.rest_until_ms = 0.0
        self.rest_ms = 0.0

    def share(self, now: float) -> float:
        """Tell the recent share of failures, forgotten with time."""
        age_ms = max(now - self.updated_ms, 0)
        return float(self.failing * HALF ** (age_ms / FORGET_MS))

    def note(self, outcome: float, now: float) -> None:
        kept = self.share(now)
        self.failing = kept + FAILURE_WEIGHT * (outcome - kept)
        self.updated_ms = now

    def rest(self, first_ms: float, now: float) -> None:
        if now < self.rest_until_ms:
            return
        self.rest_ms = min(max(self.rest_ms * 2, first_ms), MAX_REST_MS)
        self.rest_until_ms = now + self.rest_ms


class EngineLoad:
    """One engine's runs and what was learned of it."""

    def __init__(
        self,
        engine: Engine,
        traits: EngineTraits,
        pauses: PauseEstimate,
    ) -> None:
        """Start idle, at the modelled speed.

        :param pauses: what is known of all engines of the service.
        """
        self.engine = engine
        self.traits = traits
        self.pauses = pauses
        self.slowness = 1.0
        self.runs: dict[str, EngineRun] = {}
        self._health: dict[str, _Health] = {}
        self._prefilled_ms = 0.0

    @property
    def slots(self) -> int:
        """How many requests it works on at once."""
        return self.engine.slots or self.traits.slots or 1

    def has_place(self) -> bool:
        """Whether a request would start at once."""
        return not self.engine.is_leaving and len(self.runs) < self.slots

    def is_resting(self, zone: str, now: float) -> bool:
        """Whether requests from a zone are to pass it over for now."""
        health = self._health.get(zone)
        return health is not None and now < health.rest_until_ms

    def failing(self, zone: str, now: float) -> float:
        """Tell the share of requests from a zone that failed lately."""
        health = self._health.get(zone)
        return health.share(now) if health else 0.0

    def first_token_ms(self, prompt_tokens: int, now: float) -> float:
        """Expect the time to the first token of a request sent now."""
        unit_ms = FIRST_TOKEN_MS + prefill_ms(prompt_tokens)
        return self.backlog_ms(now) + unit_ms * self.slowness

    def backlog_ms(self, now: float) -> float:
        """Tell how long the prompts take that are being read."""
        return max(self._prefilled_ms - now, 0.0)

    def pause_ms(self, prompt_tokens: int, now: float) -> float:
        """Expect the pause that reading a prompt puts into streams here.

        An event holds several tokens, and each step between them carries a
        chunk of the prompt as long as there is some left.
        """
        reading_ms = self.backlog_ms(now) / self.slowness
        reading_ms += prefill_ms(prompt_tokens)
        per_event = self.traits.tokens_per_event
        return self.pauses.pause_ms(reading_ms, per_event) * self.slowness

    def broken_stake(self, pause_ms: float) -> float:
        """Tell what the streams here are worth that a pause would break."""
        return sum(
            run.stake
            for run in self.runs.values()
            if run.is_streaming and pause_ms > run.gap_ms
        )

    def add(
        self,
        run: Register,
        sender: str,
        zone: str = '',
        gap_ms: int = 0,
        *,
        stake: float = 0.0,
    ) -> None:
        """Account for a run that was granted or registered again."""
        self.runs.pop(run.request_id, None)
        self.runs[run.request_id] = EngineRun(
            sender=sender,
            zone=zone,
            fingerprint=run.fingerprint,
            prompt_tokens=run.prompt_tokens,
            unit_ms=0,
            gap_ms=gap_ms,
            is_prefilling=run.is_prefilling,
            stake=stake,
        )

    def start(self, request_id: str, now: float) -> None:
        """Expect a run's first token, since it was granted now."""
        run = self.runs[request_id]
        expected_ms = self.first_token_ms(run.prompt_tokens, now)
        self.runs[request_id] = run._replace(
            unit_ms=expected_ms / self.slowness,
            started_ms=now,
        )
        reading_ms = prefill_ms(run.prompt_tokens) * self.slowness
        self._prefilled_ms = max(self._prefilled_ms, now) + reading_ms

    def first_token(self, request_id: str, took_ms: float, now: float) -> None:
        """Learn from a first token; the run's prompt has been read."""
        run = self.runs.get(request_id)
        if run is None or not run.is_prefilling:
            return
        self._note_read(run)
        self.runs[request_id] = run._replace(is_prefilling=False, first_ms=now)
        if run.unit_ms and self.traits.is_model:
            weight = run.unit_ms / (run.unit_ms + LEARN_MS)
            seen = took_ms / run.unit_ms
            learned = self.slowness + weight * (seen - self.slowness)
            self.slowness = min(max(learned, MIN_SLOWNESS), MAX_SLOWNESS)
        self._recount(now)

    def end(self, request_id: str, end: RunEnd, now: float) -> EngineRun | None:
        """Take a run off and judge the engine by how it ended."""
        run = self.runs.pop(request_id, None)
        if run is None:
            return None
        if run.is_prefilling:
            self._recount(now)
        health = self._health.setdefault(run.zone, _Health())
        if end == RunEnd.ANSWERED:
            health.rest_ms = 0.0
            health.note(0, now)
        if end in _FAULTS:
            health.note(1, now)
        if end == RunEnd.NOT_DISPATCHED:
            health.rest(FIRST_REST_MS, now)
        if end == RunEnd.REJECTED:
            health.rest_until_ms = max(health.rest_until_ms, now + FULL_REST_MS)
        if end == RunEnd.MISDIRECTED:
            health.rest(GONE_REST_MS, now)
        return run

    def learn_pause(self, run: EngineRun, longest_gap_ms: float) -> None:
        """Learn from the longest pause in an answer that is whole."""
        if run.beside_ms and longest_gap_ms and self.traits.is_model:
            self.pauses.learn(
                longest_gap_ms / self.slowness,
                run.beside_ms,
                self.traits.tokens_per_event,
            )

    def drop_sender(self, sender: str) -> None:
        """Forget the runs that came by a connection that has gone."""
        gone = [key for key, run in self.runs.items() if run.sender == sender]
        for request_id in gone:
            run = self.runs.pop(request_id)
            if run.is_prefilling:
                reading_ms = prefill_ms(run.prompt_tokens) * self.slowness
                self._prefilled_ms -= reading_ms

    def _note_read(self, read: EngineRun) -> None:
        reading_ms = prefill_ms(read.prompt_tokens)
        for request_id, run in self.runs.items():
            was_beside = run.is_streaming and run.first_ms < read.started_ms
            if was_beside and reading_ms > run.beside_ms:
                self.runs[request_id] = run._replace(beside_ms=reading_ms)

    def _recount(self, now: float) -> None:
        # The engine may be ahead of what was expected of it, or behind: what
        # is left to read follows from the runs without a first token.
        left_ms = sum(
            prefill_ms(run.prompt_tokens) * self.slowness
            for run in self.runs.values()
            if run.is_prefilling
        )
        self._prefilled_ms = min(self._prefilled_ms, now + left_ms)
