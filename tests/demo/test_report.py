"""Tests that the demo reports each stated outcome that is not met."""

from typing import Any

from hornbeamdeck.demo.client import CallResult
from hornbeamdeck.demo.report import (
    format_table,
    percentile,
    summarize_by_tier,
    unmet_outcomes,
)
from tests.support import completion_entry


def _record(**changes: Any) -> CallResult:
    record = CallResult(
        entry=completion_entry(),
        status=200,
        outcome='ran',
        code='',
        request_id='r1',
        is_complete=True,
        first_token_ms=20,
        total_ms=100,
        retry_after_s=0,
    )
    return record._replace(**changes)


def test_no_failure_without_unmet_outcome() -> None:
    assert unmet_outcomes([_record()], {'r1': 1}, {'k': 1}) == []


def test_each_unmet_outcome_is_reported() -> None:
    """New users judge the system by the demo. It must not print `every stated
    outcome was met` when an outcome was not met.
    """
    refused = _record(status=503, outcome='not_run', is_complete=False)
    truncated = _record(is_complete=False)
    late = _record(total_ms=11_000)
    successful = [_record()] * 100
    cases = [
        ([_record()], {'r1': 2}, {}, 'request r1 ran 2 times'),
        ([_record()], {}, {'k': 2}, 'idempotency key k ran 2 times'),
        ([*successful, refused], {'r1': 1}, {}, 'said not to run, and ran'),
        ([*successful, truncated], {'r1': 1}, {}, 'wrong or cut answer'),
        ([late], {'r1': 1}, {}, 'only 0 came in time'),
    ]
    for records, runs, keys, expected in cases:
        failures = unmet_outcomes(records, runs, keys)
        assert len(failures) == 1
        assert expected in failures[0]


def test_table_counts_results_by_tier() -> None:
    long = completion_entry(tier='long')
    rows = summarize_by_tier([_record(), _record(entry=long, status=503)])
    assert [(row.tier, row.asked, row.shed) for row in rows] == [
        ('long', 1, 1),
        ('urgent', 1, 0),
    ]
    assert len(format_table(rows).splitlines()) == 3


def test_percentile_uses_nearest_rank() -> None:
    numbers = [float(each) for each in range(1, 101)]
    assert percentile(numbers, 0.95) == 95
    assert percentile([], 0.5) == 0
