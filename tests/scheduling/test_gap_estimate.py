"""Estimate of the gaps that a prefill causes in other streams."""

from hornbeamdeck.scheduling.gap_estimate import GapEstimate, prefill_ms

PER_EVENT = 5
LONG_MS = prefill_ms(60_000)


def _learned_step_ms(gaps: int, true_step_ms: float) -> float:
    estimate = GapEstimate()
    for _ in range(gaps):
        estimate.learn(true_step_ms * PER_EVENT, LONG_MS, PER_EVENT)
    return estimate.step_ms


def test_chunks_four_times_as_large_are_learned() -> None:
    """If the estimate stayed too small, long prompts would interrupt one stream
    after another.
    """
    true_ms = GapEstimate().step_ms * 4
    assert abs(_learned_step_ms(12, true_ms) - true_ms) < true_ms / 10


def test_chunks_a_quarter_as_large_are_learned() -> None:
    """If the estimate stayed too large, long prompts would wait for an engine
    without streams until they are late.
    """
    true_ms = GapEstimate().step_ms / 4
    assert abs(_learned_step_ms(12, true_ms) - true_ms) < true_ms / 10


def test_a_gap_that_no_prefill_explains_is_ignored() -> None:
    """A lost packet stops a stream for a second while a prompt of a few words
    is prefilled. The gap must not change the estimate.
    """
    estimate = GapEstimate()
    before_ms = estimate.step_ms
    estimate.learn(1000, prefill_ms(100), PER_EVENT)
    assert estimate.step_ms == before_ms


def test_a_gap_shorter_than_a_chunk_is_ignored() -> None:
    """The gap ends with the short prompt. If it counted as a chunk, longer
    prompts would be admitted that interrupt every stream on the engine.
    """
    estimate = GapEstimate()
    before_ms = estimate.step_ms
    prefill_work_ms = before_ms * PER_EVENT / 3
    estimate.learn(prefill_work_ms, prefill_work_ms, PER_EVENT)
    assert estimate.step_ms == before_ms


def test_a_gap_is_no_longer_than_the_prefill() -> None:
    estimate = GapEstimate()
    assert estimate.gap_ms(10, PER_EVENT) == 10
    assert estimate.gap_ms(1e6, PER_EVENT) == estimate.step_ms * PER_EVENT
