"""Tests of the budget for what is held for peers."""

import pytest

from hornbeamdeck.const import MEBIBYTE
from hornbeamdeck.memory.budget import MemoryBudget, Purpose


@pytest.mark.parametrize(
    ('memory_mb', 'budget_mb'), [(None, 128), (152, 44), (65, 16), (20, 16)]
)
def test_budget_follows_the_memory_of_the_process(
    memory_mb: float | None, budget_mb: int
) -> None:
    budget = MemoryBudget.from_settings(memory_mb)
    assert budget.budget_bytes == budget_mb * MEBIBYTE
    shares = sum(map(budget.share_bytes, Purpose))
    assert shares <= budget.budget_bytes


def test_single_connection_may_hold_more_than_the_share() -> None:
    """Guards against a body that is allowed and yet never has room."""
    budget = MemoryBudget(1000)
    account = budget.open_account(Purpose.REQUEST_BODIES)
    other = budget.open_account(Purpose.REQUEST_BODIES)
    assert account.has_room(900)
    account.hold(400)
    assert account.has_room(500)
    assert not other.has_room(1)
    account.drop()
    assert other.has_room(1)
    assert budget.times_without_room == {Purpose.REQUEST_BODIES: 1}


def test_one_purpose_does_not_use_the_share_of_another() -> None:
    """Guards against unread responses that keep new requests out."""
    budget = MemoryBudget(1000)
    budget.hold(Purpose.UNREAD_RESPONSES, 900)
    assert not budget.has_room(Purpose.UNREAD_RESPONSES)
    assert budget.has_room(Purpose.REQUEST_BODIES, 250)
    budget.drop(Purpose.UNREAD_RESPONSES, 900)
    assert budget.has_room(Purpose.UNREAD_RESPONSES, 500)
