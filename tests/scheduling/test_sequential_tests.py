"""Tests of the sequential tests that compare two versions."""

import math
import random

from hornbeamdeck.scheduling.sequential_tests import (
    AnswerCounts,
    ExcessTest,
    OddsTest,
    tail_probability,
)


def _second(
    rng: random.Random, *, new_rate: float, old_rate: float
) -> AnswerCounts:
    return AnswerCounts(
        new=20,
        new_bad=sum(rng.random() < new_rate for _ in range(20)),
        old=180,
        old_bad=sum(rng.random() < old_rate for _ in range(180)),
    )


def test_tail_probability_is_that_of_fishers_exact_test() -> None:
    # The lady tasting tea: three of four cups guessed right.
    counts = AnswerCounts(new=4, new_bad=3, old=4, old_bad=1)
    assert math.isclose(tail_probability(counts), 17 / 70)


def test_equal_versions_rarely_seem_to_differ() -> None:
    """Guards against false alarms while both versions fail equally often."""
    rng = random.Random(1)
    alarms = 0
    for _ in range(300):
        test = OddsTest()
        for _ in range(15):
            test.add(_second(rng, new_rate=0.2, old_rate=0.2))
            alarms += test.log_evidence > math.log(1000)
    assert alarms / (300 * 15) < 0.002


def test_trouble_while_the_new_version_serves_more_is_no_evidence() -> None:
    """Guards against comparing seconds with a trouble to seconds without."""
    rng = random.Random(2)
    test = OddsTest()
    for _ in range(10):
        trouble = _second(rng, new_rate=0.5, old_rate=0.5)
        test.add(trouble)
        test.add(AnswerCounts(new=1, old=200))
    assert test.log_evidence < math.log(100)


def test_version_that_turns_bad_late_is_detected_as_fast() -> None:
    """Guards against good answers of the past that hide a bad version."""
    rng = random.Random(3)
    test = OddsTest()
    for _ in range(500):
        test.add(_second(rng, new_rate=0.01, old_rate=0.01))
    for _ in range(5):
        test.add(_second(rng, new_rate=0.3, old_rate=0.01))
    assert test.log_evidence > math.log(100_000)


def test_version_without_failures_is_proved_in_a_known_number() -> None:
    test = ExcessTest(0.01)
    for _ in range(3):
        test.add(AnswerCounts(new=15, old=100))
    assert test.is_proved


def test_version_with_more_failures_is_not_proved() -> None:
    """Guards against trusting a version that fails one request in five."""
    rng = random.Random(4)
    proved = 0
    for _ in range(300):
        test = ExcessTest(0.01)
        for _ in range(12):
            test.add(_second(rng, new_rate=0.2, old_rate=0.02))
            proved += test.is_proved
    assert proved <= 3


def test_proof_lapses_with_the_next_failures() -> None:
    """Guards against trusting a version that has just turned bad."""
    test = ExcessTest(0.01)
    for _ in range(50):
        test.add(AnswerCounts(new=15, old=100))
    test.add(AnswerCounts(new=15, new_bad=3, old=100))
    assert not test.is_proved
