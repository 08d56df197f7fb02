"""What a cell's owner knows of one engine: runs, speed, health.

Load pattern: engines of one service differ several times in speed and say
nothing of it; long prompts are prefilled in chunks between the tokens of all
streams beside them. So a place is worth something only together with the time
that the prompt would take there and the pause that it would cause.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple, Self

from hornbeamdeck.process.engine_directory import Engine
from hornbeamdeck.scheduling.engine_health import EngineHealth
from hornbeamdeck.scheduling.engine_run import EngineRun, note_read
from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.output_estimate import OutputEstimate
from hornbeamdeck.scheduling.pause_estimate import PauseEstimate, prefill_ms
from hornbeamdeck.version.routed import EngineTraits
from hornbeamdeck.wire import Register, RunEnd

__all__ = ('EngineLoad', 'Learned', 'forecast_places', 'unit_ms')

# From a request's first byte to its first token, besides reading its prompt.
FIRST_TOKEN_MS: Final = 12.0

# A sample counts by the time that the model expects for it: the longer that
# is, the less of what was observed is the way there and back.
LEARN_MS: Final = 150.0
MIN_SLOWNESS: Final = 0.2
MAX_SLOWNESS: Final = 30.0


def unit_ms(prompt_tokens: int) -> float:
    """Tell the time to a first token on an idle engine of slowness 1."""
    return FIRST_TOKEN_MS + prefill_ms(prompt_tokens)


class Learned(NamedTuple):
    """What the engines of one service have in common, at slowness 1."""

    pauses: PauseEstimate
    output: OutputEstimate

    @classmethod
    def initial(cls) -> Self:
        """Make the estimates of the model, before any observation."""
        return cls(PauseEstimate(), OutputEstimate())


class EngineLoad:
    """One engine's runs and what was learned of it."""

    def __init__(
        self,
        engine: Engine,
        traits: EngineTraits,
        learned: Learned,
    ) -> None:
        """Start idle, at the modelled speed.

        :param learned: what is known of all engines of the service.
        """
        self.update(engine, traits)
        self.learned = learned
        self.slowness = 1.0
        self.runs: dict[str, EngineRun] = {}
        self.health = EngineHealth()
        self._prefilled_ms = 0.0

    def update(self, engine: Engine, traits: EngineTraits) -> None:
        """Apply the engine's current entry in the list of engines."""
        self.engine = engine
        self.traits = traits
        # Number of requests that it processes concurrently.
        self.slots = engine.slots or traits.slots or 1

    def has_place(self) -> bool:
        """Whether a request would start at once."""
        return len(self.runs) < self.slots and not self.engine.is_leaving

    def free_places(self) -> int:
        """Count the requests that would start at once."""
        return max(self.slots - len(self.runs), 0)

    def first_token_ms(self, work_ms: float, now: float) -> float:
        """Expect the time to the first token of a request sent now.

        :param work_ms: what it takes at slowness 1, see `unit_ms`.
        """
        return self.backlog_ms(now) + work_ms * self.slowness

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
        return (
            self.learned.pauses.pause_ms(reading_ms, per_event) * self.slowness
        )

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
            output_tokens=run.output_tokens,
        )

    def start(self, request_id: str, now: float) -> None:
        """Expect a run's first token, since it was granted now."""
        run = self.runs[request_id]
        expected_ms = self.first_token_ms(unit_ms(run.prompt_tokens), now)
        self.runs[request_id] = run._replace(
            unit_ms=expected_ms / self.slowness,
            started_ms=now,
            end_ms=now + expected_ms + self._making_ms(run),
        )
        reading_ms = prefill_ms(run.prompt_tokens) * self.slowness
        self._prefilled_ms = max(self._prefilled_ms, now) + reading_ms

    def first_token(self, request_id: str, took_ms: float, now: float) -> None:
        """Learn from a first token; the run's prompt has been read."""
        run = self.runs.get(request_id)
        if run is None or not run.is_prefilling:
            return
        note_read(self.runs, run)
        self.runs[request_id] = run._replace(
            is_prefilling=False,
            first_ms=now,
            end_ms=now + self._making_ms(run),
        )
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
        if end == RunEnd.ANSWERED:
            self._learn_output(run, now)
        self.health.note_end(run.zone, end, now)
        return run

    def learn_pause(self, run: EngineRun, longest_gap_ms: float) -> None:
        """Learn from the longest pause in an answer that is whole."""
        if run.beside_ms and longest_gap_ms and self.traits.is_model:
            self.learned.pauses.learn(
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

    def _making_ms(self, run: EngineRun) -> float:
        """Expect how long a run goes on after its first token."""
        output = self.learned.output
        if not self.traits.is_model:
            return output.call_ms
        return run.output_tokens * output.token_ms * self.slowness

    def _learn_output(self, run: EngineRun, now: float) -> None:
        output = self.learned.output
        if not self.traits.is_model:
            output.learn_call(now - run.started_ms)
        elif run.first_ms:
            took_ms = (now - run.first_ms) / self.slowness
            output.learn_tokens(took_ms, run.output_tokens)

    def _recount(self, now: float) -> None:
        # The engine may be ahead of what was expected of it, or behind: what
        # is left to read follows from the runs without a first token.
        left_ms = sum(
            prefill_ms(run.prompt_tokens) * self.slowness
            for run in self.runs.values()
            if run.is_prefilling
        )
        self._prefilled_ms = min(self._prefilled_ms, now + left_ms)


def forecast_places(
    loads: Sequence[EngineLoad],
    waiting: int,
    interval_ms: float,
    now: float,
) -> Forecast:
    """Forecast when places become free.

    Runs granted by another owner have no expected end before their first token
    and are left out; counted as overdue, they would cause every request to be
    refused.

    :param loads: engines that are not leaving.
    :param waiting: number of waiting requests; the ends of runs are collected
        only if there are not more free places than this.
    :param interval_ms: mean time between grants.
    """
    places = sum(load.free_places() for load in loads)
    ends_ms: list[float] = []
    if places <= waiting:
        ends_ms = [
            run.end_ms
            for load in loads
            for run in load.runs.values()
            if run.end_ms
        ]
    return Forecast.from_ends(places, ends_ms, interval_ms, now)
