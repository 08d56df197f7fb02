"""A run on an engine, as the owner of its cell accounts for it."""

from typing import NamedTuple

from hornbeamdeck.scheduling.pause_estimate import prefill_ms

__all__ = ('EngineRun', 'note_read')


class EngineRun(NamedTuple):
    """One run.

    :param sender: the connection of the ingress that holds it.
    :param zone: that ingress's availability zone.
    :param unit_ms: expected time to its first token at slowness 1.
    :param gap_ms: longest pause that its stream may show; 0: no stream.
    :param stake: what its stream is worth, against other requests.
    :param first_ms: when its first token was heard of; 0: not yet.
    :param output_tokens: that it is expected to make.
    :param end_ms: when it is expected to end; 0: not known.
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
    output_tokens: int = 0
    end_ms: float = 0.0
    beside_ms: float = 0.0

    @property
    def is_streaming(self) -> bool:
        """Whether a pause would show in its answer now."""
        return self.gap_ms > 0 and not self.is_prefilling


def note_read(runs: dict[str, EngineRun], read: EngineRun) -> None:
    """Note beside which streams a prompt was read from its start to its end."""
    reading_ms = prefill_ms(read.prompt_tokens)
    for request_id, run in runs.items():
        was_beside = run.is_streaming and run.first_ms < read.started_ms
        if was_beside and reading_ms > run.beside_ms:
            runs[request_id] = run._replace(beside_ms=reading_ms)
