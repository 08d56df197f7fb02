"""A run on an engine, as the owner of its cell accounts for it."""

from typing import NamedTuple

from hornbeamdeck.scheduling.engine_crash_tracker import TrackedRun
from hornbeamdeck.scheduling.gap_estimate import prefill_ms

__all__ = ('EngineRun', 'record_prefill_overlap')


class EngineRun(NamedTuple):
    """One run.

    :param sender: the connection of the ingress that holds it.
    :param zone: the availability zone of that ingress.
    :param expected_first_token_ms: expected time to its first token, scaled to
        slowness 1.
    :param max_gap_ms: longest gap between events that its stream may show; 0:
        it is not a stream.
    :param route: name of its request's route.
    :param team: that is charged for it; empty: none.
    :param cost_ms: slot time that its team was charged when it started.
    :param quota_tokens: counted against its team's limit when it started.
    :param part_ids: the parts of its prompt that others may have, too.
    :param stream_value: value of its stream, compared with other requests.
    :param first_token_at_ms: when its first token was reported; 0: not yet.
    :param output_tokens: number of tokens that it is expected to generate.
    :param expected_end_ms: when it is expected to end; 0: unknown.
    :param overlapping_prefill_ms: longest prefill, at slowness 1, that started
        and ended while its stream ran.
    """

    sender: str
    zone: str
    fingerprint: str
    prompt_tokens: int
    expected_first_token_ms: float
    max_gap_ms: int
    is_prefilling: bool
    stream_value: float = 0.0
    started_ms: float = 0.0
    first_token_at_ms: float = 0.0
    output_tokens: int = 0
    expected_end_ms: float = 0.0
    overlapping_prefill_ms: float = 0.0
    route: str = ''
    part_ids: tuple[str, ...] = ()
    team: str = ''
    cost_ms: float = 0.0
    quota_tokens: int = 0

    @property
    def is_streaming(self) -> bool:
        """Whether a gap would be visible in its response now."""
        return self.max_gap_ms > 0 and not self.is_prefilling

    @property
    def tracked(self) -> TrackedRun:
        """What it has in common with other runs."""
        return TrackedRun(
            self.fingerprint,
            self.started_ms,
            self.first_token_at_ms,
            self.part_ids,
        )


def record_prefill_overlap(
    runs: dict[str, EngineRun], prefilled: EngineRun
) -> None:
    """Record a completed prefill on the streams that ran during all of it."""
    prefill_work_ms = prefill_ms(prefilled.prompt_tokens)
    for request_id, run in runs.items():
        was_overlapping = (
            run.is_streaming and run.first_token_at_ms < prefilled.started_ms
        )
        if was_overlapping and prefill_work_ms > run.overlapping_prefill_ms:
            runs[request_id] = run._replace(
                overlapping_prefill_ms=prefill_work_ms
            )
