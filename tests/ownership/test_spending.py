"""Spending of teams as reported by ingress instances."""

from hornbeamdeck.ownership.spending import SpendingLog, SpendingReports
from hornbeamdeck.wire import Spending


def test_spending_log_drops_what_is_outside_the_window() -> None:
    log = SpendingLog(8000)
    log.add('guides', 100, 0)
    log.add('guides', 50, 5000)
    assert log.report(6000) == [Spending(team='guides', tokens=150)]
    assert log.report(9000) == [Spending(team='guides', tokens=50)]
    assert not log.report(20_000)


def test_reports_add_up_and_are_replaced_per_instance() -> None:
    reports = SpendingReports(8000)
    reports.record('a', [Spending(team='guides', tokens=100)], 9000, 0)
    reports.record('a', [Spending(team='guides', tokens=120)], 9300, 300)
    reports.record('b', [Spending(team='guides', tokens=7)], 100, 400)
    assert reports.tokens_spent('guides', 500) == 127
    reports.drop('a')
    assert reports.tokens_spent('guides', 500) == 7


def test_reports_are_incomplete_while_most_instances_are_new() -> None:
    reports = SpendingReports(8000)
    assert not reports.is_complete()
    reports.record('a', [], 100, 0)
    reports.record('b', [], 9000, 0)
    reports.record('c', [], 200, 0)
    assert not reports.is_complete()
    reports.record('c', [], 9000, 0)
    assert reports.is_complete()


def test_spending_of_a_restarted_instance_counts_for_a_window() -> None:
    """Guards against tokens that a new owner grants a second time."""
    reports = SpendingReports(8000)
    reports.record('a', [Spending(team='guides', tokens=100)], 9000, 0)
    reports.record('a', [Spending(team='guides', tokens=5)], 10, 500)
    assert reports.tokens_spent('guides', 600) == 105
    assert reports.tokens_spent('guides', 8001) == 5


def test_report_of_an_instance_that_is_gone_expires() -> None:
    """Guards against tokens that count as spent for ever."""
    reports = SpendingReports(8000)
    reports.record('a', [Spending(team='guides', tokens=100)], 9000, 0)
    assert reports.tokens_spent('guides', 7999) == 100
    assert not reports.tokens_spent('guides', 8001)
