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
LOAD: Final = 'scheduler: load'
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
    :param loads: lines in which owners log the load of a service.
    """

    by_request: dict[str, list[LogLine]]
    lines: int
    damaged: int
    first_s: float
    zones: dict[str, str]
    rollouts: list[LogLine]
    loads: list[LogLine]


def read_lines(raw: Iterable[str]) -> LogLines:
    """Parse lines of JSON and ignore any prefix that a collector added.

    A process that is killed can leave a truncated line. Damaged lines are
    counted and skipped, so that operators can still read the others.
    """
    parsed = [_parse(text[text.index('{') :]) for text in raw if '{' in text]
    valid = [line for line in parsed if line is not None]
    return LogLines(
        by_request=_by_request(valid),
        lines=len(valid),
        damaged=len(parsed) - len(valid),
        first_s=next(filter(None, map(unix_seconds, valid)), 0.0),
        zones=_zones(valid),
        rollouts=list(filter(_is_rollout_step, valid)),
        loads=[line for line in valid if line[EVENT] == LOAD],
    )


def unix_seconds(line: LogLine) -> float:
    """Return the Unix seconds of a line.

    :returns: 0 if the line has no readable timestamp.
    """
    try:
        written = datetime.datetime.fromisoformat(str(line.get(TIMESTAMP)))
    except ValueError:
        return 0.0
    return written.timestamp()


def _by_request(lines: Iterable[LogLine]) -> dict[str, list[LogLine]]:
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.get(REQUEST_ID):
            by_request[str(line[REQUEST_ID])].append(line)
    return dict(by_request)


def _zones(lines: Iterable[LogLine]) -> dict[str, str]:
    return {
        str(line.get(INSTANCE_ID)): str(line[ZONE])
        for line in lines
        if line.get(ZONE)
    }


def _is_rollout_step(line: LogLine) -> bool:
    event: str = line[EVENT]
    return event.startswith(ROLLOUT_PREFIX) and event != ROLLOUT_PROGRESS


def _parse(text: str) -> LogLine | None:
    try:
        line = json.loads(text)
    except ValueError:
        return None
    if isinstance(line, dict) and isinstance(line.get(EVENT), str):
        return line
    return None
