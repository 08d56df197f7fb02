"""Comparison of paired plays, and the parsing of their results."""

from bench.pairs import (
    Play,
    PlayResult,
    compare,
    format_summary,
    pair_up,
    parse_result,
)


def _play(side: str, seed: int = 1) -> Play:
    return Play(side, 'checkout', 'sites/one.toml', 'quiet-1', seed)


def test_consistent_gain_is_distinguished_from_noise() -> None:
    gains = [(0.71, 0.75), (0.81, 0.85), (0.61, 0.66), (0.75, 0.79)]
    assert compare(gains).verdict == 'better'
    losses = [(after, before) for before, after in gains]
    assert compare(losses).verdict == 'worse'


def test_gain_within_noise_is_inconclusive() -> None:
    assert compare([(0.7, 0.8), (0.8, 0.7), (0.6, 0.65)]).verdict == (
        'not told apart'
    )


def test_few_pairs_need_stronger_agreement_than_many() -> None:
    """Guards against a verdict from three pairs that agree by chance."""
    three = [(0.7, 0.71), (0.7, 0.72), (0.7, 0.73)]
    assert compare(three).verdict == 'not told apart'
    assert compare(three * 4).verdict == 'better'


def test_one_pair_is_inconclusive() -> None:
    assert compare([(0.1, 0.9)]).verdict == 'not told apart'


def test_failed_play_is_reported_and_its_pair_excluded() -> None:
    """Guards against failed plays that are left out without being reported. A
    change that makes every third day fail could then look like an improvement.
    """
    failed = parse_result(_play('after', 2), '', 'gave up: machine too busy')
    assert failed.worth is None
    assert failed.note == 'gave up: machine too busy'
    rows = [
        PlayResult(_play('before'), 0.7, ''),
        PlayResult(_play('after'), 0.8, ''),
        PlayResult(_play('before', 2), 0.7, ''),
        failed,
    ]
    assert pair_up(rows) == [(0.7, 0.8)]
    line = format_summary(compare(pair_up(rows)), failed=1)
    assert '1 pairs, 1 plays failed' in line


def test_violated_rule_is_noted_with_the_value() -> None:
    report = '{"G": 0.75, "fault": null, "breaks": {"TWICE": 1}}'
    assert parse_result(_play('after'), report, '') == PlayResult(
        _play('after'), 0.75, 'TWICE'
    )
