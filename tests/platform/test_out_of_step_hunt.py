"""Short runs of the hunt for streams that are joined.

Longer ones: python -m tests.platform.out_of_step_hunt links --seeds 50
"""

import pytest

from tests.platform.out_of_step_hunt import (
    HuntResult,
    hunt_links,
    hunt_stops,
)


def _check(seen: HuntResult) -> None:
    assert not seen.faults
    # A fleet that refuses all streams would break no other rule.
    assert seen.counts['begun']
    assert seen.counts['went on'] + seen.counts['went on (calm)']


@pytest.mark.parametrize('seed', [109, 133])
def test_no_stream_is_joined_while_links_are_cut(seed: int) -> None:
    """Guards against streams of two versions, with gaps or repeated events."""
    _check(hunt_links(seed))


def test_no_stream_is_joined_while_processes_stand_still() -> None:
    """Guards against the same at processes that go on after a stop."""
    _check(hunt_stops(1))
