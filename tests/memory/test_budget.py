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


def test_one_purpose_does_not_use_the_share_of_another() -> None:
    """Guards against unread responses that keep new requests out."""
    budget = MemoryBudget(1000)
    budget.hold(Purpose.UNREAD_RESPONSES, 900)
    assert not budget.has_room(Purpose.UNREAD_RESPONSES)
    assert budget.has_room(Purpose.REQUEST_BODIES, 250)
    budget.drop(Purpose.UNREAD_RESPONSES, 900)
    assert budget.has_room(Purpose.UNREAD_RESPONSES, 500)
