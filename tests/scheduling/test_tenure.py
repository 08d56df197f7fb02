"""Tests of how long a process has been the only owner."""

import math

import pytest

from hornbeamdeck.scheduling.tenure import Tenure


def _recorded(*records: tuple[float, float], is_first_start: bool) -> Tenure:
    """Record shares of the fleet at times."""
    tenure = Tenure(is_first_start=is_first_start)
    for share, now in records:
        tenure.record(share, now)
    return tenure


def test_first_owner_of_a_fleet_has_no_predecessor() -> None:
    tenure = _recorded((1.0, 5000), (1.0, 5250), is_first_start=True)
    assert tenure.since_ms(5300) == -math.inf


def test_process_that_was_never_the_owner_is_no_first_owner() -> None:
    """Guards against a successor that vouches for its predecessor's time."""
    records = ((0.0, 0), (1.0, 250), (1.0, 500))
    tenure = _recorded(*records, is_first_start=True)
    assert tenure.since_ms(500) == 250


@pytest.mark.parametrize(
    'interruption',
    [(0.0, 750), (0.5, 750), (1.0, 1600)],
    ids=['another owner', 'no majority', 'standing still'],
)
def test_interruption_begins_a_new_tenure(
    interruption: tuple[float, float],
) -> None:
    """Guards against a claim to have seen what another owner has granted."""
    records = ((1.0, 250), (1.0, 500), interruption, (1.0, 1700))
    tenure = _recorded(*records, is_first_start=True)
    assert tenure.since_ms(1700) >= 1600


def test_process_that_runs_again_has_no_tenure_before_it_knows_more() -> None:
    """Guards against a claim that is made before the gap is recorded."""
    tenure = _recorded((1.0, 250), is_first_start=True)
    assert tenure.since_ms(5000) == math.inf
