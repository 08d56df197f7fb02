"""Removes single mechanisms from copies of the product to measure their value.

python -m bench.ablate --name "kept connections" --checkout ../without-kept
python -m bench.ablate --player PATH --plan plan.json --copies ../ablations

The product has no switches for this. For each mechanism, `ablations.json` holds
the text in the source code that activates it, which occurs only once, and the
text that replaces it to remove the mechanism. With a plan, each day is played
with all mechanisms and without each of them. The plan's format is that of
`bench.pairs`, except that `before` is the checkout and `after` lists names of
mechanisms, separated by commas.
"""

import itertools
import json
import pathlib
import shutil
import statistics
from concurrent.futures import ThreadPoolExecutor
from typing import Final, NamedTuple

import fire

from bench.pairs import (
    PairPlan,
    Play,
    PlayResult,
    merge_journals,
    play_one,
    play_options,
)

ABLATIONS: Final = pathlib.Path(__file__).with_name('ablations.json')
PACKAGE: Final = 'hornbeamdeck'
ALL_MECHANISMS: Final = 'everything'


class Ablation(NamedTuple):
    """One mechanism and the text replacement that removes it.

    :param file: path of the source file, relative to the package.
    :param old: the text that activates the mechanism; it occurs once in the
        file.
    :param new: the text that replaces it.
    """

    name: str
    file: str
    old: str
    new: str


def load_ablations() -> dict[str, Ablation]:
    """Read all ablations, by name."""
    raw = json.loads(ABLATIONS.read_text())
    return {each['name']: Ablation(**each) for each in raw}


def remove_mechanism(ablation: Ablation, checkout: pathlib.Path) -> None:
    """Remove a mechanism from a checkout.

    :raises ValueError: if the text to replace does not occur exactly once.
    """
    path = checkout / PACKAGE / ablation.file
    text = path.read_text()
    if text.count(ablation.old) != 1:
        raise ValueError(
            f'{ablation.name}: text does not occur exactly once in {path}'
        )
    path.write_text(text.replace(ablation.old, ablation.new))


def main(
    name: str = '',
    checkout: str = '',
    *,
    player: str = '',
    plan: str = '',
    copies: str = '',
    jobs: int = 4,
) -> None:
    """Remove one mechanism, play a plan of ablations, or list mechanisms."""
    ablations = load_ablations()
    if name:
        remove_mechanism(ablations[name], pathlib.Path(checkout))
    elif plan:
        play_ablations(
            PairPlan.from_file(plan), player, pathlib.Path(copies), jobs
        )
    else:
        print('\n'.join(ablations))


def play_ablations(
    plan: PairPlan,
    player: str,
    copies: pathlib.Path,
    jobs: int,
) -> None:
    """Play a plan's days with all mechanisms and without each of them."""
    sides = {ALL_MECHANISMS: pathlib.Path(plan.before)}
    for number, name in enumerate(plan.after.split(',')):
        sides[name] = copies / f'without-{number}'
        shutil.copytree(plan.before, sides[name], symlinks=True)
        remove_mechanism(load_ablations()[name], sides[name])
    days = tuple(itertools.product(plan.sites, plan.days, plan.seeds))
    plays = [
        Play(side, str(path), *day)
        for side, path in sides.items()
        for day in days
    ]
    options = play_options('ablation', charged=plan.charged)
    with ThreadPoolExecutor(jobs) as pool:
        results = list(
            pool.map(lambda each: play_one(player, each, options), plays),
        )
    merge_journals(map(str, sides.values()), plan.before)
    for each in results:
        print(*each.play.pair, each.play.side, each.worth, each.note, sep='\t')
    complete = _values_by_pair(results, ALL_MECHANISMS)
    for name in plan.after.split(','):
        print(name, _format_gains(results, name, complete), sep='\t')


def _values_by_pair(
    results: list[PlayResult],
    side: str,
) -> dict[tuple[str, str, int], float]:
    """Return the value of each play of one side that has a value."""
    return {
        played.play.pair: played.worth
        for played in results
        if played.play.side == side and played.worth is not None
    }


def _format_gains(
    results: list[PlayResult],
    name: str,
    complete: dict[tuple[str, str, int], float],
) -> str:
    """Format the mean gain of a mechanism and its gain on each day."""
    without = _values_by_pair(results, name)
    gains = [
        complete[pair] - without[pair] for pair in complete if pair in without
    ]
    gains_text = ' '.join(f'{gain:+.3f}' for gain in gains)
    mean = statistics.fmean(gains) if gains else 0.0
    return f'{mean:+.3f} of {gains_text or "no whole pair"}'


if __name__ == '__main__':
    fire.Fire(main)
