"""What is learned of the pauses that reading a prompt makes."""

from hornbeamdeck.scheduling.pause_estimate import GapEstimate, prefill_ms

PER_EVENT = 5
LONG_MS = prefill_ms(60_000)


def _after(pauses: int, true_step_ms: float) -> float:
    estimate = GapEstimate()
    for _ in range(pauses):
        estimate.learn(true_step_ms * PER_EVENT, LONG_MS, PER_EVENT)
    return estimate.step_ms


def test_an_engine_that_reads_four_times_as_much_at_once_is_learned() -> None:
    """Streams beside a long prompt would break, one after another."""
    true_ms = GapEstimate().step_ms * 4
    assert abs(_after(12, true_ms) - true_ms) < true_ms / 10


def test_an_engine_that_reads_a_quarter_at_once_is_learned() -> None:
    """Long prompts would wait for an engine without streams until they are
    late.
    """
    true_ms = GapEstimate().step_ms / 4
    assert abs(_after(12, true_ms) - true_ms) < true_ms / 10


def test_a_pause_that_no_prompt_explains_teaches_nothing() -> None:
    """A packet is lost, and a stream stands still for a second beside a prompt
    of a few words.
    """
    estimate = GapEstimate()
    before_ms = estimate.step_ms
    estimate.learn(1000, prefill_ms(100), PER_EVENT)
    assert estimate.step_ms == before_ms


def test_a_short_prompt_does_not_show_a_whole_chunk() -> None:
    """The pause ends with the prompt; taken for a chunk, it would let longer
    prompts in that break every stream beside them.
    """
    estimate = GapEstimate()
    before_ms = estimate.step_ms
    reading_ms = before_ms * PER_EVENT / 3
    estimate.learn(reading_ms, reading_ms, PER_EVENT)
    assert estimate.step_ms == before_ms


def test_a_prompt_pauses_a_stream_no_longer_than_it_takes() -> None:
    estimate = GapEstimate()
    assert estimate.gap_ms(10, PER_EVENT) == 10
    assert estimate.gap_ms(1e6, PER_EVENT) == estimate.step_ms * PER_EVENT
