"""Plays the same days before and after a change, and says which is better.

python -m bench.pairs --player PATH --plan plan.json --why "what is tried"

The plan is JSON: `before` and `after` name two checkouts; `sites`, `days` and
`seeds` are lists, of which each combination is a pair, played once by each
checkout; with `"charged": true` processor time counts. The player is the
users' program; its path is given, as the repository holds none of it.
"""

import itertools
import json as json_codec
import math
import pathlib
import shutil
import statistics
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from tempfile import TemporaryDirectory
from typing import Final, NamedTuple, Self

import fire
import voluptuous as vol

# Beyond so many standard errors of the mean a difference counts: Student's
# t for one false verdict in twenty, for 3, 4, 5 ... pairs; the last for more.
ERRORS: Final = (4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
LEAST_PAIRS: Final = 3
DIGITS: Final = 4
JOURNAL: Final = 'journal'
REPORT: Final = 'report.json'
BETTER: Final = 'better'
WORSE: Final = 'worse'
NOT_TOLD: Final = 'not told apart'
SIDES: Final = ('before', 'after')


_PLAN: Final = vol.Schema(
    {
        vol.Required('before'): str,
        vol.Required('after'): str,
        vol.Required('sites'): [str],
        vol.Required('days'): [str],
        vol.Required('seeds'): [int],
        vol.Optional('charged', default=False): bool,
    },
)


class Play(NamedTuple):
    """One day to be played by one checkout."""

    side: str
    checkout: str
    site: str
    day: str
    seed: int

    @property
    def pair(self) -> tuple[str, str, int]:
        """What the two plays of a pair have in common."""
        return (pathlib.Path(self.site).stem, self.day, self.seed)


class Played(NamedTuple):
    """What came of a play.

    :param worth: `None` where it failed to give one.
    :param note: broken rules, or why there is no worth.
    """

    play: Play
    worth: float | None
    note: str


class Comparison(NamedTuple):
    """Differences of worth over all whole pairs, after less before.

    :param error: standard error of the mean; infinite below two pairs.
    """

    pairs: int
    mean_before: float
    mean_after: float
    difference: float
    spread: float
    error: float
    verdict: str


def compare(differences: list[tuple[float, float]]) -> Comparison:
    """Judge pairs of worth, before and after."""
    changes = [after - before for before, after in differences]
    count = len(changes)
    spread = statistics.stdev(changes) if count > 1 else math.inf
    mean = statistics.fmean(changes) if changes else 0.0
    error = spread / math.sqrt(count) if count > 1 else math.inf
    verdict = NOT_TOLD
    if count >= LEAST_PAIRS and abs(mean) > _errors_for(count) * error:
        verdict = BETTER if mean > 0 else WORSE
    return Comparison(
        pairs=count,
        mean_before=_mean(before for before, _ in differences),
        mean_after=_mean(after for _, after in differences),
        difference=mean,
        spread=spread,
        error=error,
        verdict=verdict,
    )


def _errors_for(count: int) -> float:
    return ERRORS[min(count - LEAST_PAIRS, len(ERRORS) - 1)]


def pair_up(results: Iterable[Played]) -> list[tuple[float, float]]:
    """Match the plays of each pair; one without both is left out."""
    sides: dict[tuple[str, str, int], dict[str, float]] = {}
    for played in results:
        if played.worth is not None:
            pair = sides.setdefault(played.play.pair, {})
            pair[played.play.side] = played.worth
    return [
        (pair['before'], pair['after'])
        for pair in sides.values()
        if len(pair) == len(SIDES)
    ]


def _mean(figures: Iterable[float]) -> float:
    known = list(figures)
    return statistics.fmean(known) if known else 0.0


def play_options(why: str, *, charged: bool) -> tuple[str, ...]:
    """Make the options that all plays of one run share."""
    if charged:
        return ('--why', why)
    return ('--why', why, '--no-cpu')


def play_one(player: str, play: Play, options: tuple[str, ...]) -> Played:
    """Let the player play one day."""
    command = [player, 'run', play.site, play.day, '--seed', str(play.seed)]
    with TemporaryDirectory() as folder:
        report = pathlib.Path(folder, REPORT)
        finished = subprocess.run(
            [*command, '--report', str(report), *options],
            cwd=play.checkout,
            capture_output=True,
            text=True,
            check=False,
        )
        text = report.read_text() if report.exists() else ''
    played = read_play(play, text, finished.stdout + finished.stderr)
    # What is ended before its table leaves at least these lines.
    print(*play.pair, play.side, played.worth, played.note, file=sys.stderr)
    return played


def read_play(play: Play, report: str, output: str) -> Played:
    """Read the player's report.

    A play without one is kept with its last line of output, so that a run
    that failed shows in the table and is not taken for one that never was.
    """
    if not report:
        lines = output.strip().splitlines() or ['no output']
        return Played(play, None, lines[-1])
    seen = json_codec.loads(report)
    broken = ' '.join(seen['breaks'])
    return Played(play, float(seen['G']), seen['fault'] or broken)


def keep_journals(checkouts: Iterable[str], into: str) -> None:
    """Copy the journals of checkouts to that of one of them."""
    target = pathlib.Path(into, JOURNAL).resolve()
    for checkout in checkouts:
        source = pathlib.Path(checkout, JOURNAL).resolve()
        if source == target:
            continue
        shutil.copytree(source, target, dirs_exist_ok=True)


class Plan(NamedTuple):
    """What is to be played."""

    before: str
    after: str
    sites: list[str]
    days: list[str]
    seeds: list[int]
    charged: bool

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read a plan, checked."""
        raw = json_codec.loads(pathlib.Path(path).read_text())
        return cls(**_PLAN(raw))

    def plays(self) -> list[Play]:
        """List all plays, the two of a pair one after the other."""
        pairs = itertools.product(self.sites, self.days, self.seeds)
        return [
            Play(side, checkout, *pair)
            for pair in pairs
            for side, checkout in zip(
                SIDES, (self.before, self.after), strict=True
            )
        ]


def main(
    player: str,
    plan: str,
    why: str = 'pairs',
    *,
    jobs: int = 4,
    keep: str = '.',
    json: bool = False,
) -> None:
    """Play all pairs and print each play, the mean and a verdict.

    :param keep: the checkout whose journal gets the entries of both.
    """
    planned = Plan.from_file(plan)
    options = play_options(why, charged=planned.charged)
    with ThreadPoolExecutor(jobs) as pool:
        results = list(
            pool.map(
                lambda play: play_one(player, play, options),
                planned.plays(),
            ),
        )
    keep_journals((planned.before, planned.after), keep)
    _report(results, as_json=json)


def _report(results: list[Played], *, as_json: bool) -> None:
    comparison = compare(pair_up(results))
    if as_json:
        rows = [
            {**each.play._asdict(), 'worth': each.worth, 'note': each.note}
            for each in results
        ]
        whole = {'comparison': comparison._asdict(), 'plays': rows}
        print(json_codec.dumps(whole, indent=2))
        return
    for row in results:
        print(*row.play.pair, row.play.side, row.worth, row.note, sep='\t')
    print(summary(comparison, failed=_failures(results)))


def _failures(results: list[Played]) -> int:
    return sum(each.worth is None for each in results)


def summary(comparison: Comparison, *, failed: int) -> str:
    """Say in a line what came of the pairs, failed plays included."""
    return (
        f'{comparison.pairs} pairs, {failed} plays failed: '
        f'{comparison.mean_before:.{DIGITS}f} to '
        f'{comparison.mean_after:.{DIGITS}f}, '
        f'difference {comparison.difference:+.{DIGITS}f} '
        f'with an error of {comparison.error:.{DIGITS}f}: '
        f'{comparison.verdict}'
    )


if __name__ == '__main__':
    fire.Fire(main)
