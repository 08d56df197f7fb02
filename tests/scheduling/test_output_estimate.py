"""Estimate of the output time of responses."""

from hornbeamdeck.scheduling.output_estimate import OutputEstimate


def test_token_times_four_times_as_long_are_learned() -> None:
    output = OutputEstimate()
    true_ms = output.token_ms * 4
    for _ in range(200):
        output.learn_tokens(true_ms * 50, 50)
    assert abs(output.token_ms - true_ms) < true_ms / 10


def test_one_response_of_another_length_changes_little() -> None:
    output = OutputEstimate()
    before_ms = output.token_ms
    output.learn_tokens(before_ms * 500, 1)
    assert output.token_ms < before_ms * 2


def test_a_call_four_times_as_long_is_learned() -> None:
    output = OutputEstimate()
    true_ms = output.call_ms * 4
    for _ in range(200):
        output.learn_call(true_ms, true_ms)
    assert abs(output.call_ms - true_ms) < true_ms / 10


def test_calls_on_their_way_do_not_take_up_slots() -> None:
    """Guards against engines that idle while their calls are in transit."""
    output = OutputEstimate()
    assert output.calls_per_slot == 1
    for _ in range(200):
        output.learn_call(45, 30)
    assert 1.4 < output.calls_per_slot < 1.6


def test_calls_per_slot_are_bounded() -> None:
    """Guards against a queue at an engine whose calls are slow to be ended."""
    output = OutputEstimate()
    for _ in range(500):
        output.learn_call(5000, 0)
    assert output.calls_per_slot == 2
