"""Counts explained requests by cause and by shared properties."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from hornbeamdeck.explain.load import (
    SlotUse,
    TeamOutcomes,
    slots_in_use,
    teams_by_requests,
)
from hornbeamdeck.explain.log_lines import LogLine, LogLines
from hornbeamdeck.explain.outcomes import Explained, Outcome

__all__ = ('Report', 'describe_lines', 'make_report')

# Fields of `Explained` by which the requests of one cause are counted.
_DIMENSIONS: Final = (
    'kind',
    'route',
    'team',
    'engine',
    'instance',
    'zone',
    'second',
)
# Limit of values in one row of the text report. The JSON lists all.
MAX_ROW_VALUES: Final = 12
_HIDDEN_FIELDS: Final = frozenset(
    ('event', 'request_id', 'level', 'timestamp', 'instance_id'),
)


class Cause(NamedTuple):
    """One cause of one outcome.

    :param decided_on: medians of the numbers behind the outcome, by log field.
    :param by: request counts per value, for each of `_DIMENSIONS`.
    """

    outcome: str
    cause: str
    requests: int
    decided_on: dict[str, float]
    by: dict[str, dict[str, int]]


class Report(NamedTuple):
    """Summary of all requests in a log.

    :param rollouts: the steps of roll-outs, one text line each.
    :param teams: how the requests of each team ended.
    :param slots: slots in use at the times at which requests waited.
    """

    lines: int
    damaged: int
    outcomes: dict[str, int]
    causes: list[Cause]
    rollouts: list[str]
    teams: list[TeamOutcomes]
    slots: list[SlotUse]

    def to_dict(self) -> dict[str, Any]:
        """Return the report as plain values for JSON."""
        causes = [cause._asdict() for cause in self.causes]
        teams = [team._asdict() for team in self.teams]
        slots = [use._asdict() for use in self.slots]
        return {
            **self._asdict(),
            'causes': causes,
            'teams': teams,
            'slots': slots,
        }

    def to_text(self) -> Iterator[str]:
        """Return the lines of the text report, most frequent cause first."""
        yield f'{self.lines} lines read, {self.damaged} damaged'
        for outcome, count in self.outcomes.items():
            yield f'{count:6} {outcome}'
        for cause in self.causes:
            yield ''
            yield f'{cause.requests:6} {cause.outcome}: {cause.cause}'
            if cause.decided_on:
                yield f'       decided on (medians): {_row(cause.decided_on)}'
            for dimension, counts in cause.by.items():
                yield f'       by {dimension}: {_row(counts) or "not told"}'
        yield from _section('Roll-outs:', self.rollouts)
        if len(self.teams) > 1:
            teams = [team.to_text() for team in self.teams]
            yield from _section('Teams:', teams)
        yield from _section(
            'Slots in use while requests waited:',
            [use.to_text() for use in self.slots],
        )


def make_report(logs: LogLines, explained: Iterable[Explained]) -> Report:
    """Count explained requests. Those that were on time have no cause."""
    outcomes: Counter[str] = Counter()
    groups: dict[tuple[str, str], list[Explained]] = defaultdict(list)
    told = list(explained)
    for each in told:
        outcomes[each.outcome] += 1
        if each.outcome != Outcome.ON_TIME:
            groups[each.outcome, each.cause].append(each)
    ordered = sorted(groups.items(), key=lambda group: -len(group[1]))
    return Report(
        lines=logs.lines,
        damaged=logs.damaged,
        outcomes=dict(outcomes.most_common()),
        causes=[_to_cause(*key, members) for key, members in ordered],
        rollouts=list(describe_lines(logs.rollouts)),
        teams=teams_by_requests(told),
        slots=list(slots_in_use(logs.loads, logs.first_s)),
    )


def describe_lines(lines: list[LogLine]) -> Iterator[str]:
    """Return one text line per log line, ordered by time."""
    ordered = sorted(lines, key=lambda line: str(line.get('timestamp')))
    for line in ordered:
        fields = ' '.join(
            f'{name}={text}'
            for name, text in line.items()
            if name not in _HIDDEN_FIELDS
        )
        where = line.get('instance_id', '')
        yield f'{line.get("timestamp", "")} {where} {line["event"]}: {fields}'


def _section(title: str, lines: list[str]) -> Iterator[str]:
    """Return the lines of a part of the report, none if it is empty."""
    if lines:
        yield ''
        yield title
        yield from lines


def _to_cause(outcome: str, cause: str, members: list[Explained]) -> Cause:
    return Cause(
        outcome=str(outcome),
        cause=cause,
        requests=len(members),
        decided_on=_medians(members),
        by={name: _count(members, name) for name in _DIMENSIONS},
    )


def _medians(members: list[Explained]) -> dict[str, float]:
    numbers: dict[str, list[float]] = defaultdict(list)
    for each in members:
        for name, number in each.inputs.items():
            numbers[name].append(number)
    medians = map(statistics.median, numbers.values())
    return dict(zip(numbers, medians, strict=True))


def _count(members: list[Explained], name: str) -> dict[str, int]:
    counts = Counter(str(getattr(each, name)) for each in members)
    return {text: count for text, count in counts.most_common() if text}


def _row(counts: dict[str, float] | dict[str, int]) -> str:
    shown = list(counts.items())[:MAX_ROW_VALUES]
    row = ', '.join(f'{name} {number:g}' for name, number in shown)
    hidden = len(counts) - len(shown)
    return f'{row}, {hidden} more' if hidden else row
