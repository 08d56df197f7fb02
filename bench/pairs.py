"""Plays the same days before and after a change and compares the results.

python -m bench.pairs --player PATH --plan plan.json --why "what is tested"

The plan is a JSON file. `before` and `after` are the paths of two checkouts.
`sites`, `days` and `seeds` are lists; each combination of their entries is a
pair, which each checkout plays once. With `"charged": true`, processor time is
charged. The player is the users' program; its path must be given because it is
not part of this repository.
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

# A difference counts when its mean exceeds this number of standard errors:
# Student's t for one false verdict in twenty, for 3, 4, 5 ... pairs. The last
# number is used for all larger numbers of pairs.
CRITICAL_T: Final = (4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23)
MIN_PAIRS: Final = 3
DECIMALS: Final = 4
JOURNAL_FOLDER: Final = 'journal'
REPORT_NAME: Final = 'report.json'
BETTER: Final = 'better'
WORSE: Final = 'worse'
INCONCLUSIVE: Final = 'not told apart'
SIDES: Final = ('before', 'after')


_PLAN_SCHEMA: Final = vol.Schema(
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
    """One day that one checkout plays."""

    side: str
    checkout: str
    site: str
    day: str
    seed: int

    @property
    def pair(self) -> tuple[str, str, int]:
        """The key that the two plays of a pair share."""
        return (pathlib.Path(self.site).stem, self.day, self.seed)


class PlayResult(NamedTuple):
    """The result of a play.

    :param worth: the value of the play; `None` if it failed.
    :param note: violated rules, or why the play has no value.
    """

    play: Play
    worth: float | None
    note: str


class Comparison(NamedTuple):
    """Differences in value, after minus before, over all complete pairs.

    :param error: standard error of the mean; infinite for fewer than two pairs.
    """

    pairs: int
    mean_before: float
    mean_after: float
    difference: float
    spread: float
    error: float
    verdict: str


def compare(pairs: list[tuple[float, float]]) -> Comparison:
    """Compare pairs of values, before and after."""
    differences = [after - before for before, after in pairs]
    count = len(differences)
    spread = statistics.stdev(differences) if count > 1 else math.inf
    mean = statistics.fmean(differences) if differences else 0.0
    error = spread / math.sqrt(count) if count > 1 else math.inf
    verdict = INCONCLUSIVE
    if count >= MIN_PAIRS and abs(mean) > _critical_t(count) * error:
        verdict = BETTER if mean > 0 else WORSE
    return Comparison(
        pairs=count,
        mean_before=_mean(before for before, _ in pairs),
        mean_after=_mean(after for _, after in pairs),
        difference=mean,
        spread=spread,
        error=error,
        verdict=verdict,
    )


def _critical_t(count: int) -> float:
    return CRITICAL_T[min(count - MIN_PAIRS, len(CRITICAL_T) - 1)]


def pair_up(results: Iterable[PlayResult]) -> list[tuple[float, float]]:
    """Match the two plays of each pair; leave out incomplete pairs."""
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
    numbers = list(figures)
    return statistics.fmean(numbers) if numbers else 0.0


def play_options(why: str, *, charged: bool) -> tuple[str, ...]:
    """Build the player options that all plays of one run share."""
    if charged:
        return ('--why', why)
    return ('--why', why, '--no-cpu')


def play_one(player: str, play: Play, options: tuple[str, ...]) -> PlayResult:
    """Run the player for one day."""
    command = [player, 'run', play.site, play.day, '--seed', str(play.seed)]
    with TemporaryDirectory() as folder:
        report = pathlib.Path(folder, REPORT_NAME)
        finished = subprocess.run(
            [*command, '--report', str(report), *options],
            cwd=play.checkout,
            capture_output=True,
            text=True,
            check=False,
        )
        text = report.read_text() if report.exists() else ''
    played = parse_result(play, text, finished.stdout + finished.stderr)
    # If this program is stopped before it prints its table, these lines still
    # show the plays that ended.
    print(*play.pair, play.side, played.worth, played.note, file=sys.stderr)
    return played


def parse_result(play: Play, report: str, output: str) -> PlayResult:
    """Parse the player's report.

    A play without a report is kept with its last line of output, so that a
    failed run appears in the table and does not look as if it had not been
    started.
    """
    if not report:
        lines = output.strip().splitlines() or ['no output']
        return PlayResult(play, None, lines[-1])
    parsed = json_codec.loads(report)
    violated_rules = ' '.join(parsed['breaks'])
    return PlayResult(
        play, float(parsed['G']), parsed['fault'] or violated_rules
    )


def merge_journals(checkouts: Iterable[str], target_checkout: str) -> None:
    """Copy the journals of all checkouts into the journal of one checkout."""
    target = pathlib.Path(target_checkout, JOURNAL_FOLDER).resolve()
    for checkout in checkouts:
        source = pathlib.Path(checkout, JOURNAL_FOLDER).resolve()
        if source == target:
            continue
        shutil.copytree(source, target, dirs_exist_ok=True)


class PairPlan(NamedTuple):
    """The days to play and the checkouts that play them."""

    before: str
    after: str
    sites: list[str]
    days: list[str]
    seeds: list[int]
    charged: bool

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read a plan and validate it."""
        raw = json_codec.loads(pathlib.Path(path).read_text())
        return cls(**_PLAN_SCHEMA(raw))

    def plays(self) -> list[Play]:
        """List all plays, with the two plays of a pair next to each other."""
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

    :param keep: the checkout whose journal receives the entries of both.
    """
    planned = PairPlan.from_file(plan)
    options = play_options(why, charged=planned.charged)
    with ThreadPoolExecutor(jobs) as pool:
        results = list(
            pool.map(
                lambda play: play_one(player, play, options),
                planned.plays(),
            ),
        )
    merge_journals((planned.before, planned.after), keep)
    _print_report(results, as_json=json)


def _print_report(results: list[PlayResult], *, as_json: bool) -> None:
    comparison = compare(pair_up(results))
    if as_json:
        rows = [
            {**each.play._asdict(), 'worth': each.worth, 'note': each.note}
            for each in results
        ]
        report = {'comparison': comparison._asdict(), 'plays': rows}
        print(json_codec.dumps(report, indent=2))
        return
    for row in results:
        print(*row.play.pair, row.play.side, row.worth, row.note, sep='\t')
    print(format_summary(comparison, failed=_count_failures(results)))


def _count_failures(results: list[PlayResult]) -> int:
    return sum(each.worth is None for each in results)


def format_summary(comparison: Comparison, *, failed: int) -> str:
    """Summarize the comparison and the number of failed plays in one line."""
    return (
        f'{comparison.pairs} pairs, {failed} plays failed: '
        f'{comparison.mean_before:.{DECIMALS}f} to '
        f'{comparison.mean_after:.{DECIMALS}f}, '
        f'difference {comparison.difference:+.{DECIMALS}f} '
        f'with an error of {comparison.error:.{DECIMALS}f}: '
        f'{comparison.verdict}'
    )


if __name__ == '__main__':
    fire.Fire(main)
