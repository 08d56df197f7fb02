"""How many sockets a process may open, by system and deployment."""

import resource
from unittest.mock import patch

import pytest

from hornbeamdeck.process.descriptors import read_socket_limits

UNLIMITED = resource.RLIM_INFINITY


@pytest.mark.parametrize(
    ('system', 'stated', 'files', 'most_sockets'),
    [
        (1365, None, 0, 1333),
        (1365, 1535, 200, 1333),
        (65_536, 1535, 200, 1335),
        (UNLIMITED, 1535, 200, 1335),
    ],
)
def test_the_lesser_limit_holds(
    system: int, stated: int | None, files: int, most_sockets: int
) -> None:
    """Guards against sockets that the system or the deployment refuses."""
    with patch.object(resource, 'getrlimit', return_value=(system, system)):
        limits = read_socket_limits(stated, files)
    assert limits.most_sockets == most_sockets


def test_system_without_a_limit_allows_many_sockets() -> None:
    """Guards against an instance that takes no limit for a limit of none."""
    unlimited = (UNLIMITED, UNLIMITED)
    with patch.object(resource, 'getrlimit', return_value=unlimited):
        assert read_socket_limits().most_callers(0, 0) > 100_000
