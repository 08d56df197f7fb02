"""Spending of teams as reported by ingress instances."""

from hornbeamdeck.ownership.spending import SpendingLog, SpendingReports
from hornbeamdeck.wire import Spending


def test_spending_log_drops_what_is_outside_the_window() -> None:
    log = SpendingLog(8000)
    log.add('guides', 100, 0)
    log.add('guides', 50, 5000)
    assert log.report(6000) == [
        Spending(team='guides', by_age=[0, 50, 0, 0, 0, 0, 100])
    ]
    assert log.report(9000) == [
        Spending(team='guides', by_age=[0, 0, 0, 0, 50])
    ]
    assert not log.report(20_000)


def test_reports_add_up_and_are_replaced_per_instance() -> None:
    reports = SpendingReports(8000)
    reports.record('a', [Spending(team='guides', by_age=[100])], 9000, 0)
    reports.record('a', [Spending(team='guides', by_age=[120])], 9300, 300)
    reports.record('b', [Spending(team='guides', by_age=[7])], 100, 400)
    assert sum(reports.spent_by_age('guides', 500)) == 127
    reports.drop('a')
    assert sum(reports.spent_by_age('guides', 500)) == 7


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
    reports.record('a', [Spending(team='guides', by_age=[100])], 9000, 0)
    reports.record('a', [Spending(team='guides', by_age=[5])], 10, 500)
    assert sum(reports.spent_by_age('guides', 600)) == 105
    assert sum(reports.spent_by_age('guides', 8001)) == 5


def test_report_of_an_instance_that_is_gone_expires() -> None:
    """Guards against tokens that count as spent for ever."""
    reports = SpendingReports(8000)
    reports.record('a', [Spending(team='guides', by_age=[100])], 9000, 0)
    assert sum(reports.spent_by_age('guides', 7999)) == 100
    assert not sum(reports.spent_by_age('guides', 8001))
