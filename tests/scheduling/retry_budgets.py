"""Retry budgets for tests."""

from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.served_share import ServedShare

RECORD_INTERVAL_MS = 250


def make_owner(
    ratio: float,
    slack: float,
    window_ms: float,
    *,
    started_ms: float = 0,
    is_first_start: bool = True,
) -> RetryBudget:
    """Make the budget of a process that records its ownership all the time."""
    share = ServedShare(window_ms, started_ms, is_first_start=is_first_start)
    due_ms = [started_ms]

    def _served_share(now: float) -> float:
        while due_ms[-1] <= now:
            share.record(1, due_ms[-1])
            due_ms.append(due_ms[-1] + RECORD_INTERVAL_MS)
        return share.lowest(now)

    rules = RetryRules(ratio, slack, window_ms)
    return RetryBudget(rules, _served_share)


def try_spend(budget: RetryBudget, now: float) -> bool:
    """Start a retry at once, and return whether the budget allows it."""
    if not budget.try_reserve(now):
        return False
    budget.spend(now)
    budget.cancel_reserved()
    return True
