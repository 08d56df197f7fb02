"""Parses log lines as collectors store them, including damaged ones."""

import datetime
import json
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Final, NamedTuple, TypeAlias

__all__ = ('INSTANCE_ID', 'LogLine', 'LogLines', 'read_lines')

LogLine: TypeAlias = dict[str, Any]

REQUEST_ID: Final = 'request_id'
EVENT: Final = 'event'
INSTANCE_ID: Final = 'instance_id'
ZONE: Final = 'availability_zone'
TIMESTAMP: Final = 'timestamp'
ROLLOUT_PREFIX: Final = 'rollout: '
# Logged each second during a roll-out; the steps between tell its course.
ROLLOUT_PROGRESS: Final = 'rollout: progress'


class LogLines(NamedTuple):
    """The parsed lines of a log.

    :param by_request: the lines of each request, in the order of the file.
    :param lines: number of valid lines.
    :param damaged: number of invalid lines: truncated, garbled, or not a JSON
        object with an event.
    :param first_s: Unix seconds of the first line with a readable timestamp; 0
        if no line has one.
    :param zones: availability zone by instance ID, as each instance logged it
        at its start.
    :param rollouts: the steps of all roll-outs, in the order of the file.
    """

    by_request: dict[str, list[LogLine]]
    lines: int
    damaged: int
    first_s: float
    zones: dict[str, str]
    rollouts: list[LogLine]


def read_lines(raw: Iterable[str]) -> LogLines:
    """Parse lines of JSON and ignore any prefix that a collector added.

    A process that is killed can leave a truncated line. Damaged lines are
    counted and skipped, so that operators can still read the others.
    """
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    zones: dict[str, str] = {}
    rollouts: list[LogLine] = []
    lines = 0
    damaged = 0
    first_s = 0.0
    for text in raw:
        if '{' not in text:
            continue
        line = _parse(text[text.index('{') :])
        if line is None:
            damaged += 1
            continue
        lines += 1
        first_s = first_s or unix_seconds(line)
        _record_zone(line, zones)
        rollouts += _rollout_steps(line)
        if line.get(REQUEST_ID):
            by_request[str(line[REQUEST_ID])].append(line)
    return LogLines(dict(by_request), lines, damaged, first_s, zones, rollouts)


def unix_seconds(line: LogLine) -> float:
    """Return the Unix seconds of a line.

    :returns: 0 if the line has no readable timestamp.
    """
    try:
        written = datetime.datetime.fromisoformat(str(line.get(TIMESTAMP)))
    except ValueError:
        return 0.0
    return written.timestamp()


def _record_zone(line: LogLine, zones: dict[str, str]) -> None:
    if line.get(ZONE):
        zones[str(line.get(INSTANCE_ID))] = str(line[ZONE])


def _rollout_steps(line: LogLine) -> list[LogLine]:
    event: str = line[EVENT]
    if event.startswith(ROLLOUT_PREFIX) and event != ROLLOUT_PROGRESS:
        return [line]
    return []


def _parse(text: str) -> LogLine | None:
    try:
        line = json.loads(text)
    except ValueError:
        return None
    if isinstance(line, dict) and isinstance(line.get(EVENT), str):
        return line
    return None
