"""Spending of teams as reported by ingress instances."""

from hornbeamdeck.process.spending import SpendingLog, SpendingReports
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
    reports.record('a', [Spending(team='guides', tokens=100)], 9000)
    reports.record('a', [Spending(team='guides', tokens=120)], 9300)
    reports.record('b', [Spending(team='guides', tokens=7)], 100)
    assert reports.tokens_spent('guides') == 127
    reports.drop('a')
    assert reports.tokens_spent('guides') == 7


def test_reports_are_incomplete_while_most_instances_are_new() -> None:
    reports = SpendingReports(8000)
    assert not reports.is_complete()
    reports.record('a', [], 100)
    reports.record('b', [], 9000)
    reports.record('c', [], 200)
    assert not reports.is_complete()
    reports.record('c', [], 9000)
    assert reports.is_complete()
