"""Lowest share of the fleet that a process has granted for."""

from hornbeamdeck.scheduling.served_share import ServedShare

WINDOW_MS = 2000


def _record(share: ServedShare, served: float, start: int, end: int) -> None:
    for now in range(start, end + 1, 250):
        share.record(served, now)


def test_new_owner_has_served_nobody_for_a_window() -> None:
    """Guards against the whole limit for an owner that has just started."""
    share = ServedShare(WINDOW_MS, 0, is_first_start=False)
    _record(share, 1, 0, 3000)
    assert share.lowest(WINDOW_MS) == 0
    assert share.lowest(WINDOW_MS + 1) == 1


def test_first_owner_of_a_fleet_has_served_all() -> None:
    """Guards against a fleet that grants no retries after its first start."""
    share = ServedShare(WINDOW_MS, 0, is_first_start=True)
    _record(share, 1, 0, 250)
    assert share.lowest(250) == 1


def test_lost_ownership_counts_until_a_window_after_its_end() -> None:
    """Guards against an owner that returns and forgets its successor."""
    share = ServedShare(WINDOW_MS, 0, is_first_start=True)
    _record(share, 1, 0, 1000)
    _record(share, 0, 1250, 1500)
    _record(share, 1, 1750, 4000)
    assert share.lowest(1750 + WINDOW_MS) == 0
    assert share.lowest(1751 + WINDOW_MS) == 1


def test_smaller_share_holds_at_once() -> None:
    """Guards against the whole limit in each part of a partitioned fleet."""
    share = ServedShare(WINDOW_MS, 0, is_first_start=True)
    _record(share, 1, 0, 1000)
    share.record(0.4, 1250)
    assert share.lowest(1250) == 0.4


def test_frozen_process_counts_as_replaced() -> None:
    """Guards against an owner that does not know that it was replaced."""
    share = ServedShare(WINDOW_MS, 0, is_first_start=True)
    _record(share, 1, 0, 1000)
    assert share.lowest(2500) == 0
    _record(share, 1, 2500, 4500)
    assert share.lowest(2500 + WINDOW_MS) == 0
