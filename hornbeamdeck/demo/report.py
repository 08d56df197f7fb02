"""Result tables by tier and checks of the outcomes of a replay."""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from http import HTTPStatus
from typing import Final, NamedTuple

from hornbeamdeck.demo.client import CallResult

__all__ = (
    'TierRow',
    'unmet_outcomes',
    'format_table',
    'percentile',
    'summarize_by_tier',
)

P50: Final = 0.5
P95: Final = 0.95
TOP_TIER: Final = 'urgent'
MIN_IN_TIME_SHARE: Final = 0.95


class TierRow(NamedTuple):
    """Results of the calls of a tier; times in milliseconds."""

    tier: str
    asked: int
    whole: int
    in_time: int
    shed: int
    not_run: int
    unknown: int
    p50_first_token_ms: float
    p95_first_token_ms: float


def summarize_by_tier(records: Sequence[CallResult]) -> list[TierRow]:
    """Count the results by tier, sorted by tier name."""
    tiers = dict.fromkeys(record.entry.tier for record in records)
    return [
        _tier_row(tier, [each for each in records if each.entry.tier == tier])
        for tier in sorted(tiers)
    ]


def format_table(rows: Iterable[TierRow]) -> str:
    """Format rows as a text table."""
    titles = [name.replace('_ms', ' ms') for name in TierRow._fields]
    lines = [[title.replace('_', ' ') for title in titles]]
    for row in rows:
        cells = [
            f'{cell:.0f}' if isinstance(cell, float) else str(cell)
            for cell in row
        ]
        lines.append(cells)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.rjust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    )


def unmet_outcomes(
    records: Sequence[CallResult],
    runs_by_request: Mapping[str, int],
    runs_by_key: Mapping[str, int],
) -> list[str]:
    """Describe the stated outcomes that a replay did not meet.

    :param runs_by_request: runs by request id, as counted by the engines.
    :param runs_by_key: runs by idempotency key, as counted by the booking
        service.
    :returns: one line for each failure; empty if all outcomes were met.
    """
    return [
        *_repeated_runs(runs_by_request, 'request'),
        *_repeated_runs(runs_by_key, 'idempotency key'),
        *_false_not_run(records, runs_by_request),
        *_wrong_responses(records),
        *_late_top_tier_calls(records),
    ]


def _tier_row(tier: str, records: Sequence[CallResult]) -> TierRow:
    first_token_times_ms = sorted(
        record.first_token_ms for record in records if record.is_complete
    )
    return TierRow(
        tier=tier,
        asked=len(records),
        whole=sum(record.is_complete for record in records),
        in_time=sum(record.is_in_time for record in records),
        shed=sum(
            record.status == HTTPStatus.SERVICE_UNAVAILABLE
            for record in records
        ),
        not_run=sum(record.outcome == 'not_run' for record in records),
        unknown=sum(record.outcome == 'unknown' for record in records),
        p50_first_token_ms=percentile(first_token_times_ms, P50),
        p95_first_token_ms=percentile(first_token_times_ms, P95),
    )


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile of numbers.

    :param ordered: the numbers in ascending order.
    :param share: the percentile as a fraction.
    :returns: 0 for an empty sequence.
    """
    if not ordered:
        return 0.0
    return float(ordered[max(math.ceil(share * len(ordered)) - 1, 0)])


def _repeated_runs(runs: Mapping[str, int], kind: str) -> Iterator[str]:
    for name, count in runs.items():
        if count > 1:
            yield f'{kind} {name} ran {count} times'


def _false_not_run(
    records: Iterable[CallResult],
    runs_by_request: Mapping[str, int],
) -> Iterator[str]:
    for record in records:
        if record.outcome == 'not_run' and record.request_id in runs_by_request:
            yield f'request {record.request_id} was said not to run, and ran'


def _wrong_responses(records: Iterable[CallResult]) -> Iterator[str]:
    for record in records:
        if record.outcome == 'ran' and not record.is_complete:
            yield f'request {record.request_id} got a wrong or cut answer'


def _late_top_tier_calls(records: Sequence[CallResult]) -> Iterator[str]:
    calls = [each for each in records if each.entry.tier == TOP_TIER]
    in_time = sum(each.is_in_time for each in calls)
    if in_time < MIN_IN_TIME_SHARE * len(calls):
        yield f'of {len(calls)} {TOP_TIER} calls only {in_time} came in time'
