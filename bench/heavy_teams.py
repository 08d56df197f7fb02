"""Compares what light teams get beside heavy teams with what they get alone.

python -m bench.heavy_teams --seeds 6 --json

Replays a load with teams twice for each seed: as it is, and without the teams
that some burst makes heavier than usual. A team counts as light while no burst
of its own is active or has been.
"""

import json as json_codec
import math
import statistics
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

import fire

from bench.replay import Outcome
from bench.replay_load import LoadPlan, TeamLoad
from bench.replay_owners import OwnersReplay
from bench.replay_statements import MS_PER_S

__all__ = ('LightShare', 'measure_light_teams')

LOAD: Final = 'heavy_team'
ANSWERED: Final = frozenset(('on_time', 'late'))


class LightShare(NamedTuple):
    """What a light team gets beside heavy teams, by what it gets without.

    :param value: ratio of the value that it earns.
    :param answers: ratio of the number of its answers.
    """

    team: str
    value: float
    answers: float


class _Got(NamedTuple):
    """What a team gets in a time."""

    value: float
    answers: int


def measure_light_teams(
    plan: LoadPlan, seed: int, owner_changes_s: tuple[float, ...] = ()
) -> list[LightShare]:
    """Replay a load with and without its heavy teams; compare the others.

    :param owner_changes_s: when another instance becomes the owner.
    """
    begin_s = min(burst.at_s for burst in plan.bursts)
    end_s = max(burst.at_s + burst.for_s for burst in plan.bursts)
    until_s = {team.name: end_s for team in plan.teams}
    until_s |= {burst.team: burst.at_s for burst in plan.bursts}
    beside = OwnersReplay(plan, seed, owner_changes_s).run()
    shares = []
    for stage_end_s in sorted(set(until_s.values()) - {begin_s}):
        light = [
            team for team in plan.teams if until_s[team.name] >= stage_end_s
        ]
        of_light = _only(plan, light, stage_end_s)
        alone = OwnersReplay(of_light, seed, owner_changes_s).run()
        shares += [
            _ratio(
                team,
                _got(beside, team, begin_s, stage_end_s),
                _got(alone, team, begin_s, stage_end_s),
            )
            for team in light
            if until_s[team.name] == stage_end_s
        ]
    return shares


def _only(plan: LoadPlan, teams: Iterable[TeamLoad], end_s: float) -> LoadPlan:
    """Return the load of some teams, without bursts of single teams."""
    bursts = tuple(burst for burst in plan.bursts if not burst.team)
    return plan._replace(
        teams=tuple(teams),
        bursts=bursts,
        duration_s=min(end_s, plan.duration_s),
    )


def _got(
    outcomes: Iterable[Outcome], team: TeamLoad, begin_s: float, end_s: float
) -> _Got:
    """Return the value and the answers that a team gets in a time."""
    of_team = (each for each in outcomes if each.arrival.team == team.name)
    answers = (each for each in of_team if each.result in ANSWERED)
    begin_ms, end_ms = begin_s * MS_PER_S, end_s * MS_PER_S
    values = [
        each.earned_value
        for each in answers
        if begin_ms <= each.arrival.at_ms < end_ms
    ]
    return _Got(sum(values), len(values))


def _ratio(team: TeamLoad, beside: _Got, alone: _Got) -> LightShare:
    value = beside.value / alone.value
    return LightShare(team.name, value, beside.answers / alone.answers)


def summarize_light_teams(shares: list[LightShare]) -> dict[str, Any]:
    """Return the mean and the smallest ratios."""
    smallest: dict[str, float] = defaultdict(lambda: math.inf)
    for share in shares:
        smallest['value'] = min(smallest['value'], share.value)
        smallest['answers'] = min(smallest['answers'], share.answers)
    return {
        'value': round(statistics.mean(each.value for each in shares), 3),
        'answers': round(statistics.mean(each.answers for each in shares), 3),
        'smallest_value': round(smallest['value'], 3),
        'smallest_answers': round(smallest['answers'], 3),
    }


def main(
    load: str = LOAD,
    seeds: int = 6,
    owner_changes_s: tuple[float, ...] = (),
    *,
    json: bool = False,
) -> None:
    """Compare with seeds 1 to `seeds` and print the ratios."""
    plan = LoadPlan.from_name(load)
    rows = [
        {
            'seed': seed,
            **summarize_light_teams(
                measure_light_teams(plan, seed, owner_changes_s)
            ),
        }
        for seed in range(1, seeds + 1)
    ]
    if json:
        print(json_codec.dumps({'load': load, 'rows': rows}, indent=2))
        return
    for row in rows:
        print(row)


if __name__ == '__main__':
    fire.Fire(main)
