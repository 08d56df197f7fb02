"""Tests of the verdict on a new version, by simulated answers."""

import random
from collections.abc import Callable

import pytest

from hornbeamdeck.scheduling.version_comparison import (
    Answer,
    Verdict,
    VersionComparison,
)

NEW_ENGINES = [f'n{number}' for number in range(9)]
OLD_ENGINES = [f'o{number}' for number in range(56)]
SLOWNESS = (0.68, 0.68, 3.0)
ROUTES = ('write_up', 'question', 'check')
ANSWERS_PER_S = 100
NEW_SHARE = 0.1
MANY_ANSWERS = 80

Fails = Callable[[random.Random, str, bool, float], bool]


def _is_sound(
    _rng: random.Random, _engine: str, _is_new: bool, _at_s: float
) -> bool:
    return False


def _compare(
    fails: Fails, *, seconds: int = 8, slow_factor: float = 1.0, seed: int = 1
) -> Verdict:
    """Compare versions whose engines differ in speed in the same way."""
    rng = random.Random(seed)
    comparison = VersionComparison()
    for number in range(seconds * ANSWERS_PER_S):
        at_s = number / ANSWERS_PER_S
        is_new = rng.random() < NEW_SHARE
        engines = NEW_ENGINES if is_new else OLD_ENGINES
        index = rng.randrange(len(engines))
        pace = SLOWNESS[index % 3] * rng.uniform(0.8, 1.4)
        comparison.record(
            Answer(
                engine=engines[index],
                route=rng.choice(ROUTES),
                is_new=is_new,
                is_failure=fails(rng, engines[index], is_new, at_s),
                pace=pace * (slow_factor if is_new else 1),
            ),
            at_s * 1000,
        )
    return comparison.verdict(seconds * 1000)


def test_sound_version_is_proved_good() -> None:
    verdict = _compare(_is_sound)
    assert verdict.is_proved_good
    assert not verdict.doubted


def test_few_answers_prove_nothing() -> None:
    """Guards against trusting a version that was hardly tried."""
    verdict = _compare(_is_sound, seconds=1)
    assert not verdict.reason
    assert not verdict.is_proved_good


def test_version_that_fails_a_part_is_bad() -> None:
    verdict = _compare(
        lambda rng, _engine, is_new, _at_s: is_new and rng.random() < 0.3
    )
    assert verdict.reason == 'failures'


def test_version_that_turns_bad_is_not_proved_by_its_past() -> None:
    """Guards against good answers of the past that hide a bad version."""
    verdict = _compare(
        lambda rng, _engine, is_new, at_s: (
            is_new and at_s > 12 and rng.random() < 0.4
        ),
        seconds=17,
    )
    assert verdict.reason
    assert not verdict.is_proved_good


@pytest.mark.parametrize('seed', range(5))
def test_slower_version_is_bad(seed: int) -> None:
    """Guards against taking a slow version for engines of slow hardware."""
    verdict = _compare(_is_sound, slow_factor=3, seed=seed)
    assert verdict.reason == 'slow engines'


@pytest.mark.parametrize('seed', range(20))
def test_crash_of_engines_is_no_fault_of_the_version(seed: int) -> None:
    """Guards against a roll-back because of a trouble of single engines.

    A quarter of all engines fails everything for three seconds. By chance more
    of them have the new version than its share.
    """
    crashed = set(
        random.Random(seed).sample(NEW_ENGINES, 4)
        + random.Random(seed).sample(OLD_ENGINES, 12)
    )
    verdict = _compare(
        lambda _rng, engine, _is_new, at_s: engine in crashed and 4 < at_s < 7,
        seed=seed,
    )
    assert not verdict.reason


@pytest.mark.parametrize('seed', range(20))
def test_trouble_of_both_versions_is_no_fault_of_one(seed: int) -> None:
    """Guards against a roll-back while all engines fail requests."""
    verdict = _compare(
        lambda rng, _engine, _is_new, at_s: (
            3 < at_s < 6 and rng.random() < 0.45
        ),
        seed=seed,
    )
    assert not verdict.reason


@pytest.mark.parametrize(
    ('slow_factor', 'is_good'), [(1.0, True), (3.0, False)]
)
def test_engines_that_are_passed_over_do_not_hold_a_version_up(
    slow_factor: float, *, is_good: bool
) -> None:
    """Guards against a proof that waits for engines without requests."""
    comparison = VersionComparison()
    for number in range(MANY_ANSWERS):
        for engine in ('n0', 'n1', 'n2', 'n3', 'o0', 'o1', 'o2', 'o3'):
            is_new = engine.startswith('n')
            pace = slow_factor if is_new else 1.0
            answer = Answer(engine, ROUTES[0], is_new, False, pace)
            comparison.record(answer, number * 100)
    for passed_over in ('n4', 'n5'):
        answer = Answer(passed_over, ROUTES[0], True, False, slow_factor)
        comparison.record(answer, MANY_ANSWERS * 100)
    verdict = comparison.verdict(MANY_ANSWERS * 100)
    assert verdict.is_proved_good == is_good
