"""How many sockets are left for a process when callers keep connections."""

import pytest

from hornbeamdeck.scheduling.socket_limits import SocketLimits

# Two instances of three get all callers; each holds a connection for good.
CALLERS_AFTER_A_LOSS = 1612


def _connect_callers(limits: SocketLimits, wanted: int, own: int) -> int:
    """Let callers connect one by one; return how many connections stay."""
    callers = 0
    for _ in range(wanted):
        callers = min(callers + 1, limits.most_callers(callers, callers + own))
    return callers


@pytest.mark.parametrize('most_sockets', [1333, 188, 64])
def test_callers_of_a_lost_instance_leave_sockets_for_the_process(
    most_sockets: int,
) -> None:
    """Guards against callers that take every descriptor of an instance."""
    limits = SocketLimits(most_sockets)
    own = most_sockets // 4
    callers = _connect_callers(limits, CALLERS_AFTER_A_LOSS, own)
    assert callers + own <= 0.9 * most_sockets + 1
    assert callers >= most_sockets // 2


def test_callers_give_back_what_the_process_needs() -> None:
    """Guards against engines that can't be reached since callers stay idle."""
    limits = SocketLimits(1333)
    callers = _connect_callers(limits, CALLERS_AFTER_A_LOSS, own=60)
    more_engines = 300
    allowed = limits.most_callers(callers, callers + 60 + more_engines)
    assert allowed == callers - more_engines


def test_some_callers_are_served_however_much_the_process_uses() -> None:
    """Guards against an instance that serves nobody."""
    assert SocketLimits(64).most_callers(0, 64) > 0
