"""What pairs of plays are taken to show."""

from bench.pairs import Play, Played, compare, pair_up, read_play, summary


def _play(side: str, seed: int = 1) -> Play:
    return Play(side, 'checkout', 'sites/one.toml', 'quiet-1', seed)


def test_a_steady_gain_is_told_from_noise() -> None:
    gains = [(0.71, 0.75), (0.81, 0.85), (0.61, 0.66), (0.75, 0.79)]
    assert compare(gains).verdict == 'better'
    losses = [(after, before) for before, after in gains]
    assert compare(losses).verdict == 'worse'


def test_a_gain_within_the_noise_is_called_so() -> None:
    assert compare([(0.7, 0.8), (0.8, 0.7), (0.6, 0.65)]).verdict == (
        'not told apart'
    )


def test_few_pairs_must_agree_more_than_many() -> None:
    """Three pairs that happen to agree are no proof yet."""
    three = [(0.7, 0.71), (0.7, 0.72), (0.7, 0.73)]
    assert compare(three).verdict == 'not told apart'
    assert compare(three * 4).verdict == 'better'


def test_one_pair_proves_nothing() -> None:
    assert compare([(0.1, 0.9)]).verdict == 'not told apart'


def test_a_play_that_failed_is_shown_and_leaves_its_pair_out() -> None:
    """A play ends without a figure. Left out in silence, a change that ends
    every third day would look better for it.
    """
    failed = read_play(_play('after', 2), '', 'gave up: machine too busy')
    assert failed.worth is None
    assert failed.note == 'gave up: machine too busy'
    rows = [
        Played(_play('before'), 0.7, ''),
        Played(_play('after'), 0.8, ''),
        Played(_play('before', 2), 0.7, ''),
        failed,
    ]
    assert pair_up(rows) == [(0.7, 0.8)]
    line = summary(compare(pair_up(rows)), failed=1)
    assert '1 pairs, 1 plays failed' in line


def test_a_broken_rule_is_noted_beside_the_figure() -> None:
    report = '{"G": 0.75, "fault": null, "breaks": {"TWICE": 1}}'
    assert read_play(_play('after'), report, '') == Played(
        _play('after'), 0.75, 'TWICE'
    )
