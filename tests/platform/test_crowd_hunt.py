"""Short runs of the hunt for crowds that a process does not bear.

Longer ones: python -m tests.platform.crowd_hunt --seeds 50
"""

import pytest

from tests.platform.crowd_hunt import hunt


@pytest.mark.parametrize('seed', range(1, 6))
def test_process_bears_crowds_at_several_listeners(seed: int) -> None:
    """Guards against crowds that are borne alone but not together."""
    hunt(seed)
