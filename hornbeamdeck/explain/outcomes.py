"""What became of each request, and the cause that its log lines name."""

import enum
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from hornbeamdeck.explain.lines import (
    INSTANCE_ID,
    LogLine,
    LogLines,
    second_of,
)

__all__ = ('Explained', 'Outcome', 'explain_all')

ANSWERED: Final = 'request: request answered'
FAILED: Final = 'request: request failed'
LEFT: Final = 'request: caller left'
AT_THE_EDGE: Final = 'edge: request refused at the edge'
REFUSED: Final = 'scheduler: request refused'
HELD: Final = 'scheduler: request was held back'
TRY_ENDED: Final = 'request: try ended'
_LAST: Final = frozenset((ANSWERED, FAILED, LEFT, AT_THE_EDGE))
# Codes of failures after which an engine may have run the request.
TIME_RAN_OUT: Final = 'deadline_passed'
_BROKEN: Final = frozenset(('engine_broken', TIME_RAN_OUT))
# Numbers of a refusal that it was decided on.
_INPUTS: Final = (
    'waiting',
    'places',
    'engines',
    'fastest_ms',
    'objective_ms',
    'retry_after_ms',
    'proof_age_ms',
)
_LATE_INPUTS: Final = ('waited_ms', 'first_ms', 'longest_gap_ms', 'begun_ms')


class Outcome(enum.StrEnum):
    """What became of a request, as its caller saw it."""

    ON_TIME = 'on time'
    LATE = 'late'
    REFUSED = 'refused'
    BROKEN = 'broken'
    LEFT = 'caller left'


class Explained(NamedTuple):
    """One request explained.

    :param cause: in a few words, the same for all of one cause.
    :param instance: ID of the instance that logged its last line.
    :param zone: availability zone of that instance; empty if not logged.
    :param second: since the first line of the log.
    :param inputs: numbers that it was decided on, by their names in the log.
    """

    request_id: str
    outcome: Outcome
    cause: str
    kind: str
    route: str
    team: str
    engine: str
    instance: str
    zone: str
    second: int
    inputs: dict[str, float]


def explain_all(logs: LogLines) -> Iterator[Explained]:
    """Explain each request that has its last line in the log."""
    for request_id, lines in logs.by_request.items():
        last = _last_of(lines, _LAST)
        if last is not None:
            yield _explain(request_id, last, lines, logs)


def _explain(
    request_id: str,
    last: LogLine,
    lines: list[LogLine],
    logs: LogLines,
) -> Explained:
    outcome, cause, inputs = _judge(last, lines)
    instance = str(last.get(INSTANCE_ID, ''))
    return Explained(
        request_id=request_id,
        outcome=outcome,
        cause=cause,
        kind=str(last.get('kind', '')),
        route=str(last.get('route', '')),
        team=str(last.get('team', '')),
        engine=str(last.get('engine', '')),
        instance=instance,
        zone=logs.zones.get(instance, ''),
        second=int(max(second_of(last) - logs.first_s, 0)),
        inputs=inputs,
    )


def _judge(
    last: LogLine,
    lines: list[LogLine],
) -> tuple[Outcome, str, dict[str, float]]:
    """Tell outcome, cause and what decided it, from a request's last line."""
    event = last['event']
    if event == ANSWERED:
        late = _why_late(last, lines)
        outcome = Outcome.LATE if late else Outcome.ON_TIME
        return (outcome, late, _numbers(last, _LATE_INPUTS))
    if event == LEFT:
        where = 'after its first byte' if _begun(last) else 'while waiting'
        return (Outcome.LEFT, where, _numbers(last, _LATE_INPUTS))
    if event == AT_THE_EDGE:
        code = str(last.get('code'))
        return (Outcome.REFUSED, code, _numbers(last, _INPUTS))
    return _why_failed(last, lines)


def _why_late(last: LogLine, lines: list[LogLine]) -> str:
    """Name what made an answer late; empty where it was on time."""
    objective_ms = _number(last, 'objective_ms')
    if objective_ms and _begun(last) > objective_ms:
        return _why_begun_late(last, lines)
    gap_ms = _number(last, 'gap_ms')
    if gap_ms and _number(last, 'longest_gap_ms') > gap_ms:
        return 'a pause between events'
    return ''


def _why_begun_late(last: LogLine, lines: list[LogLine]) -> str:
    if _last_of(lines, {TRY_ENDED}) is not None:
        return 'another engine had failed before'
    if _number(last, 'waited_ms') < _number(last, 'first_ms'):
        return 'its engine took long to the first byte'
    held = _last_of(lines, {HELD})
    if held is not None:
        return f'held back: {held.get("held_for")}'
    return 'waited for a place'


def _why_failed(
    last: LogLine,
    lines: list[LogLine],
) -> tuple[Outcome, str, dict[str, float]]:
    code = str(last.get('code'))
    refusal = _last_of(lines, {REFUSED})
    tried = _last_of(lines, {TRY_ENDED})
    if code in _BROKEN and tried is not None:
        cause = f'{code}: {tried.get("end")}'
        return (Outcome.BROKEN, cause, _numbers(last, _LATE_INPUTS))
    if code == TIME_RAN_OUT and last.get('engine'):
        # It had been sent, and its engine said nothing to the end.
        cause = f'{code}: no answer'
        return (Outcome.BROKEN, cause, _numbers(last, _LATE_INPUTS))
    if refusal is None:
        return (Outcome.REFUSED, code, _numbers(last, _LATE_INPUTS))
    cause = str(refusal.get('reason'))
    if refusal.get('held_for'):
        cause = f'{cause}, held back: {refusal["held_for"]}'
    elif _number(refusal, 'places'):
        cause = f'{cause} with places free'
    return (Outcome.REFUSED, cause, _numbers(refusal, _INPUTS))


def _last_of(lines: list[LogLine], events: Iterable[str]) -> LogLine | None:
    wanted = frozenset(events)
    found = [line for line in lines if line['event'] in wanted]
    return found[-1] if found else None


def _begun(line: LogLine) -> float:
    return _number(line, 'begun_ms')


def _number(line: LogLine, name: str) -> float:
    found: Any = line.get(name)
    return float(found) if isinstance(found, int | float) else 0.0


def _numbers(line: LogLine, names: Iterable[str]) -> dict[str, float]:
    return {name: _number(line, name) for name in names if name in line}
