"""State of one engine as seen by the owner of its cell.

Load pattern: the engines of a service differ several times in speed and don't
report it. Long prompts are prefilled in chunks between the tokens of all other
streams. So a free slot can be judged only together with the time that the
prompt would take there and the gap that it would cause in the other streams.
"""

from typing import Final, NamedTuple, Self

from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_conditions import EngineCondition
from hornbeamdeck.scheduling.engine_health import EngineHealth
from hornbeamdeck.scheduling.engine_run import EngineRun, record_prefill_overlap
from hornbeamdeck.scheduling.engine_slowness import learned_slowness
from hornbeamdeck.scheduling.gap_estimate import GapEstimate, prefill_ms
from hornbeamdeck.scheduling.output_estimate import OutputEstimate
from hornbeamdeck.scheduling.queued_request import QueuedRequest, instance_of
from hornbeamdeck.scheduling.request_rank import value_of
from hornbeamdeck.scheduling.request_rate import EngineRate
from hornbeamdeck.version.gateway import EngineProperties
from hornbeamdeck.wire import Register, RunEnd

__all__ = (
    'EngineLoad',
    'ServiceEstimates',
    'base_first_token_ms',
    'record_reach',
    'start_granted',
)

# Time from a request's first byte to its first token, without prefilling its
# prompt.
FIRST_TOKEN_OVERHEAD_MS: Final = 12.0
# More than any engine has. Something is held for each slot.
MAX_SLOTS: Final = 10_000

# Ends of a run that show whether the network path to its engine is sound.
_REACHED: Final = frozenset(
    (RunEnd.ANSWERED, RunEnd.ERRORED, RunEnd.REJECTED),
)
_UNREACHED: Final = frozenset((RunEnd.NOT_DISPATCHED, RunEnd.UNREACHABLE))


def base_first_token_ms(prompt_tokens: int) -> float:
    """Return the time to first token on an idle engine of slowness 1."""
    return FIRST_TOKEN_OVERHEAD_MS + prefill_ms(prompt_tokens)


class ServiceEstimates(NamedTuple):
    """Estimates that all engines of a service share, at slowness 1."""

    gaps: GapEstimate
    output: OutputEstimate

    @classmethod
    def initial(cls) -> Self:
        """Create the estimates of the model, before any observation."""
        return cls(GapEstimate(), OutputEstimate())


class EngineLoad:
    """Runs, estimated speed and health of one engine."""

    def __init__(
        self,
        engine: Engine,
        properties: EngineProperties,
        estimates: ServiceEstimates,
        condition: EngineCondition,
    ) -> None:
        """Start idle, at the modelled speed.

        :param estimates: shared by all engines of the service.
        """
        self.condition = condition
        self.update(engine, properties)
        self.estimates = estimates
        self.slowness = 1.0
        self.runs: dict[str, EngineRun] = {}
        self.health = EngineHealth()
        self._prefill_done_ms = 0.0

    def update(self, engine: Engine, properties: EngineProperties) -> None:
        """Apply the engine's current entry and condition."""
        self.engine = engine
        # Whether its entry or one of its responses says so.
        self.is_leaving = engine.is_draining or self.condition.is_leaving
        self.properties = properties
        # Number of requests that the engine processes concurrently.
        stated = engine.slots or properties.slots or 1
        self.slots = min(max(stated, 1), MAX_SLOTS)

    @property
    def rate(self) -> EngineRate:
        """Recent grants, and the limit that the engine states."""
        return self.condition.rate

    def has_free_slot(self, now: float) -> bool:
        """Return whether a request may start now and would start at once."""
        return (
            _open_slots(self, now) > 0
            and not self.is_leaving
            and self.condition.rate.may_start(now)
        )

    def free_slots(self, now: float) -> int:
        """Return the number of requests that may start now."""
        return self.condition.rate.starts_left(_open_slots(self, now), now)

    def idle_slots(self) -> int:
        """Return the number of requests that would start at once."""
        capacity = self.slots
        is_brittle = self.condition.rejections.per_s is not None
        if not self.properties.is_model and not is_brittle:
            capacity = int(self.slots * self.estimates.output.calls_per_slot)
        return max(capacity - len(self.runs), 0)

    def first_token_ms(self, work_ms: float, now: float) -> float:
        """Estimate the time to first token of a request sent now.

        :param work_ms: time that it takes at slowness 1, see
            `base_first_token_ms`.
        """
        return self.backlog_ms(now) + work_ms * self.slowness

    def backlog_ms(self, now: float) -> float:
        """Estimate the time until all current prompts are prefilled."""
        return max(self._prefill_done_ms - now, 0.0)

    def gap_ms(self, prompt_tokens: int, now: float) -> float:
        """Estimate the gap that a new prompt's prefill causes in streams here.

        An event holds several tokens, and each engine step between them
        prefills one chunk of the prompt until it is complete.
        """
        prefill_work_ms = self.backlog_ms(now) / self.slowness
        prefill_work_ms += prefill_ms(prompt_tokens)
        per_event = self.properties.tokens_per_event
        return (
            self.estimates.gaps.gap_ms(prefill_work_ms, per_event)
            * self.slowness
        )

    def add(
        self,
        run: Register,
        sender: str,
        zone: str = '',
        max_gap_ms: int = 0,
        *,
        stream_value: float = 0.0,
        route: str = '',
        quota_tokens: int = 0,
    ) -> None:
        """Account for a run that was granted or registered again."""
        self.runs.pop(run.request_id, None)
        self.runs[run.request_id] = EngineRun(
            sender=sender,
            zone=zone,
            fingerprint=run.fingerprint,
            prompt_tokens=run.prompt_tokens,
            expected_first_token_ms=0,
            max_gap_ms=max_gap_ms,
            is_prefilling=run.is_prefilling,
            stream_value=stream_value,
            output_tokens=run.output_tokens,
            route=route,
            part_ids=tuple(run.shared_parts or ()),
            quota_tokens=quota_tokens,
        )

    def start(self, request_id: str, now: float) -> None:
        """Estimate the first token and the end of a run that is granted now."""
        self.condition.rate.record_grant(now)
        run = self.runs[request_id]
        expected_ms = self.first_token_ms(
            base_first_token_ms(run.prompt_tokens), now
        )
        self.runs[request_id] = run._replace(
            expected_first_token_ms=expected_ms / self.slowness,
            started_ms=now,
            expected_end_ms=now
            + expected_ms
            + self.output_ms(run.output_tokens),
        )
        prefill_work_ms = prefill_ms(run.prompt_tokens) * self.slowness
        self._prefill_done_ms = (
            max(self._prefill_done_ms, now) + prefill_work_ms
        )

    def first_token(
        self, request_id: str, elapsed_ms: float, now: float
    ) -> None:
        """Update the estimates from a first token, which ends the prefill."""
        run = self.runs.get(request_id)
        if run is None or not run.is_prefilling:
            return
        record_prefill_overlap(self.runs, run)
        self.health.record_first_token(run.zone)
        self.runs[request_id] = run._replace(
            is_prefilling=False,
            first_token_at_ms=now,
            expected_end_ms=now + self.output_ms(run.output_tokens),
        )
        if run.expected_first_token_ms and self.properties.is_model:
            self.slowness = learned_slowness(
                self.slowness, run.expected_first_token_ms, elapsed_ms
            )
        self._cap_backlog(now)

    def end(
        self,
        request_id: str,
        end: RunEnd,
        now: float,
        first_byte_ms: float = 0,
    ) -> EngineRun | None:
        """Remove a run and update the engine's health by how it ended.

        :param first_byte_ms: from sending the request to the first byte of its
            response; 0: not known.
        """
        run = self.runs.pop(request_id, None)
        if run is None:
            return None
        if run.is_prefilling:
            self._cap_backlog(now)
        if end == RunEnd.ANSWERED:
            self._learn_output(run, now, first_byte_ms)
        if end == RunEnd.REJECTED:
            self.condition.rejections.record_rejection(len(self.runs), now)
        self.health.record_run_end(run.zone, end, now)
        return run

    def learn_gap(self, run: EngineRun, longest_gap_ms: float) -> None:
        """Update the gap estimate from the longest gap of a complete stream."""
        if (
            run.overlapping_prefill_ms
            and longest_gap_ms
            and self.properties.is_model
        ):
            self.estimates.gaps.learn(
                longest_gap_ms / self.slowness,
                run.overlapping_prefill_ms,
                self.properties.tokens_per_event,
            )

    def remove_sender(self, sender: str) -> None:
        """Remove the runs of a closed connection."""
        removed = [
            key for key, run in self.runs.items() if run.sender == sender
        ]
        for request_id in removed:
            run = self.runs.pop(request_id)
            if run.is_prefilling:
                prefill_work_ms = prefill_ms(run.prompt_tokens) * self.slowness
                self._prefill_done_ms -= prefill_work_ms

    def output_ms(self, output_tokens: int) -> float:
        """Estimate how long a run continues after its first token."""
        output = self.estimates.output
        if not self.properties.is_model:
            return output.call_ms
        return output_tokens * output.token_ms * self.slowness

    def _learn_output(
        self, run: EngineRun, now: float, first_byte_ms: float
    ) -> None:
        output = self.estimates.output
        if not self.properties.is_model:
            if first_byte_ms and run.started_ms:
                output.learn_call(now - run.started_ms, first_byte_ms)
        elif run.first_token_at_ms:
            elapsed_ms = (now - run.first_token_at_ms) / self.slowness
            output.learn_tokens(elapsed_ms, run.output_tokens)

    def _cap_backlog(self, now: float) -> None:
        # The engine may be faster or slower than estimated. The remaining
        # prefill work is at most that of the runs without a first token.
        remaining_ms = sum(
            prefill_ms(run.prompt_tokens) * self.slowness
            for run in self.runs.values()
            if run.is_prefilling
        )
        self._prefill_done_ms = min(self._prefill_done_ms, now + remaining_ms)


def _open_slots(load: EngineLoad, now: float) -> int:
    """Return the number of requests that an engine has room for."""
    rejections = load.condition.rejections
    if rejections.per_s is None:
        return load.idle_slots()
    unanswered = sum(run.is_prefilling for run in load.runs.values())
    return rejections.starts_left(load.slots, len(load.runs), unanswered, now)


def start_granted(
    load: EngineLoad, queued: QueuedRequest, now: float, quota_tokens: int = 0
) -> None:
    """Account for a request that is granted an engine now.

    :param quota_tokens: counted against its team's limit.
    """
    request = queued.request
    run = Register(
        request_id=request.request_id,
        cell=request.cell,
        upstream=load.engine.name,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        is_prefilling=True,
        fingerprint=request.fingerprint,
        shared_parts=request.shared_parts,
    )
    zone = request.zone or ''
    load.add(
        run,
        queued.sender,
        zone,
        request.gap_ms or 0,
        stream_value=value_of(request),
        route=request.route or '',
        quota_tokens=quota_tokens,
    )
    load.start(request.request_id, now)


def record_reach(
    load: EngineLoad,
    request_id: str,
    relay: str | None,
    end: RunEnd,
    now: float,
) -> None:
    """Record which instance has reached an engine, or could not.

    :param relay: the instance that a request went through; empty: none.
    :param end: how its run ended, or `ANSWERED` if a response has begun.
    """
    run = load.runs.get(request_id)
    if run is None:
        return
    ingress = instance_of(run.sender)
    if relay or end in _UNREACHED:
        load.health.witnesses.record_unreached(ingress)
    if end in _REACHED:
        load.health.witnesses.record_reached(relay or ingress, now)
