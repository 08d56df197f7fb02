"""Takes one mechanism out of a copy of the product, to see what it is worth.

python -m bench.ablate --name "kept connections" --checkout ../without-kept
python -m bench.ablate --player PATH --plan plan.json --copies ../ablations

The product has no switches for this: `ablations.json` names for each mechanism
the one place where it is put in, and what stands there without it. With a plan
(see `bench.pairs`; `before` is the checkout, `after` lists names separated by
commas) each day is played with all mechanisms and without each.
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
    Plan,
    Play,
    Played,
    keep_journals,
    play_one,
    play_options,
)

ABLATIONS: Final = pathlib.Path(__file__).with_name('ablations.json')
PACKAGE: Final = 'hornbeamdeck'
WHOLE: Final = 'everything'


class Ablation(NamedTuple):
    """One mechanism and how it is taken out.

    :param file: below the package.
    :param old: the text that puts the mechanism in; it stands there once.
    :param new: what stands there without it.
    """

    name: str
    file: str
    old: str
    new: str


def load_ablations() -> dict[str, Ablation]:
    """Read all, by name."""
    raw = json.loads(ABLATIONS.read_text())
    return {each['name']: Ablation(**each) for each in raw}


def take_out(ablation: Ablation, checkout: pathlib.Path) -> None:
    """Change a checkout.

    :raises ValueError: where the text does not stand there just once.
    """
    path = checkout / PACKAGE / ablation.file
    text = path.read_text()
    if text.count(ablation.old) != 1:
        raise ValueError(f'{ablation.name}: not found once in {path}')
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
    """Take out one mechanism, play without several, or list them all."""
    ablations = load_ablations()
    if name:
        take_out(ablations[name], pathlib.Path(checkout))
    elif plan:
        play_without(Plan.from_file(plan), player, pathlib.Path(copies), jobs)
    else:
        print('\n'.join(ablations))


def play_without(
    plan: Plan,
    player: str,
    copies: pathlib.Path,
    jobs: int,
) -> None:
    """Play the days of a plan with everything and without each mechanism."""
    sides = {WHOLE: pathlib.Path(plan.before)}
    for number, name in enumerate(plan.after.split(',')):
        sides[name] = copies / f'without-{number}'
        shutil.copytree(plan.before, sides[name], symlinks=True)
        take_out(load_ablations()[name], sides[name])
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
    keep_journals(map(str, sides.values()), plan.before)
    for each in results:
        print(*each.play.pair, each.play.side, each.worth, each.note, sep='\t')
    whole = _worths(results, WHOLE)
    for name in plan.after.split(','):
        print(name, _gains(results, name, whole), sep='\t')


def _worths(
    results: list[Played],
    side: str,
) -> dict[tuple[str, str, int], float]:
    """Give the worth of each day that was played whole by one side."""
    return {
        played.play.pair: played.worth
        for played in results
        if played.play.side == side and played.worth is not None
    }


def _gains(
    results: list[Played],
    name: str,
    whole: dict[tuple[str, str, int], float],
) -> str:
    """Tell what a mechanism gains on each day, and on their mean."""
    without = _worths(results, name)
    gains = [whole[pair] - without[pair] for pair in whole if pair in without]
    shown = ' '.join(f'{gain:+.3f}' for gain in gains)
    mean = statistics.fmean(gains) if gains else 0.0
    return f'{mean:+.3f} of {shown or "no whole pair"}'


if __name__ == '__main__':
    fire.Fire(main)
