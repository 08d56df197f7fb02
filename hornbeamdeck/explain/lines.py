"""Reads log lines as collectors keep them, damaged ones included."""

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


class LogLines(NamedTuple):
    """What was read.

    :param by_request: the lines of each request, in the order of the file.
    :param lines: how many lines could be read.
    :param damaged: how many could not: cut, garbled, or no object.
    :param first_s: Unix seconds of the first line; 0: none has a time.
    :param zones: availability zone by instance ID, as logged at its start.
    """

    by_request: dict[str, list[LogLine]]
    lines: int
    damaged: int
    first_s: float
    zones: dict[str, str]


def read_lines(raw: Iterable[str]) -> LogLines:
    """Read lines of JSON; what a collector wrote before each is passed over.

    A process that is killed leaves half a line. One such line must not keep
    whoever is on call from reading the others, so it is counted.
    """
    by_request: dict[str, list[LogLine]] = defaultdict(list)
    zones: dict[str, str] = {}
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
        first_s = first_s or second_of(line)
        _record_zone(line, zones)
        if line.get(REQUEST_ID):
            by_request[str(line[REQUEST_ID])].append(line)
    return LogLines(dict(by_request), lines, damaged, first_s, zones)


def second_of(line: LogLine) -> float:
    """Tell the Unix seconds of a line; 0 where it has no readable time."""
    try:
        written = datetime.datetime.fromisoformat(str(line.get(TIMESTAMP)))
    except ValueError:
        return 0.0
    return written.timestamp()


def _record_zone(line: LogLine, zones: dict[str, str]) -> None:
    if line.get(ZONE):
        zones[str(line.get(INSTANCE_ID))] = str(line[ZONE])


def _parse(text: str) -> LogLine | None:
    try:
        line = json.loads(text)
    except ValueError:
        return None
    if isinstance(line, dict) and isinstance(line.get(EVENT), str):
        return line
    return None
