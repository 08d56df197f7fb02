"""Tables by tier, and the outcomes that a replay must show."""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from http import HTTPStatus
from typing import Final, NamedTuple

from hornbeamdeck.demo.caller import CallRecord

__all__ = (
    'TierRow',
    'failed_outcomes',
    'format_table',
    'percentile',
    'tier_rows',
)

P50: Final = 0.5
P95: Final = 0.95
TOP_TIER: Final = 'urgent'
TOP_TIER_IN_TIME: Final = 0.95


class TierRow(NamedTuple):
    """What became of one tier's calls; times in milliseconds."""

    tier: str
    asked: int
    whole: int
    in_time: int
    shed: int
    not_run: int
    unknown: int
    p50_first_token_ms: float
    p95_first_token_ms: float


def tier_rows(records: Sequence[CallRecord]) -> list[TierRow]:
    """Count by tier, in the order in which the tiers first come."""
    tiers = dict.fromkeys(record.entry.tier for record in records)
    return [
        _row(tier, [each for each in records if each.entry.tier == tier])
        for tier in sorted(tiers)
    ]


def format_table(rows: Iterable[TierRow]) -> str:
    """Write rows as a table."""
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


def failed_outcomes(
    records: Sequence[CallRecord],
    runs_by_request: Mapping[str, int],
    runs_by_key: Mapping[str, int],
) -> list[str]:
    """Name the stated outcomes that a replay did not meet.

    :param runs_by_request: counted by the engines, by request id.
    :param runs_by_key: counted by the booking service.
    """
    return [
        *_run_twice(runs_by_request, 'request'),
        *_run_twice(runs_by_key, 'idempotency key'),
        *_wrong_words(records, runs_by_request),
        *_cut_answers(records),
        *_late_top_tier(records),
    ]


def _row(tier: str, records: Sequence[CallRecord]) -> TierRow:
    first = sorted(
        record.first_token_ms for record in records if record.is_whole
    )
    return TierRow(
        tier=tier,
        asked=len(records),
        whole=sum(record.is_whole for record in records),
        in_time=sum(record.in_time for record in records),
        shed=sum(
            record.status == HTTPStatus.SERVICE_UNAVAILABLE
            for record in records
        ),
        not_run=sum(record.outcome == 'not_run' for record in records),
        unknown=sum(record.outcome == 'unknown' for record in records),
        p50_first_token_ms=percentile(first, P50),
        p95_first_token_ms=percentile(first, P95),
    )


def percentile(ordered: Sequence[float], share: float) -> float:
    """Pick the nearest-rank percentile of sorted numbers; 0 of none."""
    if not ordered:
        return 0.0
    return float(ordered[max(math.ceil(share * len(ordered)) - 1, 0)])


def _run_twice(runs: Mapping[str, int], kind: str) -> Iterator[str]:
    for name, count in runs.items():
        if count > 1:
            yield f'{kind} {name} ran {count} times'


def _wrong_words(
    records: Iterable[CallRecord],
    runs_by_request: Mapping[str, int],
) -> Iterator[str]:
    for record in records:
        if record.outcome == 'not_run' and record.request_id in runs_by_request:
            yield f'request {record.request_id} was said not to run, and ran'


def _cut_answers(records: Iterable[CallRecord]) -> Iterator[str]:
    for record in records:
        if record.outcome == 'ran' and not record.is_whole:
            yield f'request {record.request_id} got a wrong or cut answer'


def _late_top_tier(records: Sequence[CallRecord]) -> Iterator[str]:
    top = [each for each in records if each.entry.tier == TOP_TIER]
    in_time = sum(each.in_time for each in top)
    if in_time < TOP_TIER_IN_TIME * len(top):
        yield f'of {len(top)} {TOP_TIER} calls only {in_time} came in time'
