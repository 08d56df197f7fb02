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


def _light_share() -> float:
    shares = measure_light_teams(LOAD, SEED)
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
