"""What light teams get beside heavy ones, in simulated time."""

import statistics

import pytest

from bench.heavy_teams import measure_light_teams
from bench.replay_load import LoadPlan
from hornbeamdeck.scheduling.fair_shares import FairShares

LOAD = LoadPlan.from_name('heavy_team')
SEED = 1
# Share of the value that light teams get without the heavy ones that they are
# to get beside them.
LIGHT_SHARE = 0.9
# By how much a series of owners may reduce it.
OWNER_CHANGES_COST = 0.1
OWNER_CHANGES_S = (2.5, 4.0, 5.5, 7.5, 9.0, 10.5)


def _light_share(owner_changes_s: tuple[float, ...] = ()) -> float:
    shares = measure_light_teams(LOAD, SEED, owner_changes_s)
    return statistics.mean(share.value for share in shares)


def test_light_teams_keep_their_service_beside_heavy_ones() -> None:
    """One team sends six times its usual load, then three send five times
    theirs: twice what the engines can serve. By urgency alone, every team would
    have the same part of its requests refused.
    """
    assert _light_share() >= LIGHT_SHARE


def test_without_shares_light_teams_lose_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(FairShares, 'beyond', lambda *_asked: frozenset())
    assert _light_share() < LIGHT_SHARE


def test_light_teams_keep_their_service_over_a_series_of_owners() -> None:
    """Six owners follow one another in ten seconds, and none knows what the
    teams have used before. A heavy team would fill the slots anew at each.
    """
    light_share = _light_share(OWNER_CHANGES_S)
    assert light_share >= LIGHT_SHARE - OWNER_CHANGES_COST
