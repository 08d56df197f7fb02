"""Derives the outcome and cause of each request from its log lines."""

import enum
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

from hornbeamdeck.explain.log_lines import (
    INSTANCE_ID,
    LogLine,
    LogLines,
    unix_seconds,
)

__all__ = ('Explained', 'Outcome', 'explain_all')

ANSWERED: Final = 'request: request answered'
FAILED: Final = 'request: request failed'
CALLER_LEFT: Final = 'request: caller left'
CUT_OFF: Final = 'request: request cut off'
REFUSED_AT_EDGE: Final = 'edge: request refused at the edge'
REFUSED: Final = 'scheduler: request refused'
HELD_BACK: Final = 'scheduler: request was held back'
ATTEMPT_ENDED: Final = 'request: try ended'
_FINAL_EVENTS: Final = frozenset(
    (ANSWERED, FAILED, CALLER_LEFT, CUT_OFF, REFUSED_AT_EDGE)
)
DEADLINE_PASSED: Final = 'deadline_passed'
CALLER_TOO_SLOW: Final = 'caller_too_slow'
# Failure codes after which an engine may have run the request.
_BROKEN_CODES: Final = frozenset(
    ('engine_broken', 'uncertain_version', DEADLINE_PASSED)
)
# Numeric log fields on which a refusal was decided.
_REFUSAL_FIELDS: Final = (
    'waiting',
    'places',
    'engines',
    'fastest_ms',
    'objective_ms',
    'retry_after_ms',
    'proof_age_ms',
)
# Numeric log fields that show where a request spent its time.
_TIMING_FIELDS: Final = ('waited_ms', 'first_ms', 'longest_gap_ms', 'begun_ms')


class Outcome(enum.StrEnum):
    """The outcome of a request, as its caller saw it."""

    ON_TIME = 'on time'
    LATE = 'late'
    REFUSED = 'refused'
    BROKEN = 'broken'
    CALLER_LEFT = 'caller left'


class Explained(NamedTuple):
    """The outcome of one request and its cause.

    :param cause: short text that is equal for all requests with this cause;
        empty if the request was on time.
    :param instance: ID of the instance that logged the final line.
    :param zone: availability zone of that instance; empty if not logged.
    :param second: seconds from the first line of the log to the final line.
    :param inputs: the numbers behind the outcome, by log field.
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
    """Explain each request whose final line is in the log."""
    for request_id, lines in logs.by_request.items():
        last = _last_with_event(lines, _FINAL_EVENTS)
        if last is not None:
            yield _explain(request_id, last, lines, logs)


def _explain(
    request_id: str,
    last: LogLine,
    lines: list[LogLine],
    logs: LogLines,
) -> Explained:
    outcome, cause, inputs = _classify(last, lines)
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
        second=int(max(unix_seconds(last) - logs.first_s, 0)),
        inputs=inputs,
    )


def _classify(
    last: LogLine,
    lines: list[LogLine],
) -> tuple[Outcome, str, dict[str, float]]:
    """Determine a request's outcome, its cause and the numbers behind it.

    :param last: the final line of the request.
    :param lines: all lines of the request.
    """
    event = last['event']
    if event == ANSWERED:
        late = _late_cause(last, lines)
        outcome = Outcome.LATE if late else Outcome.ON_TIME
        return (outcome, late, _numbers(last, _TIMING_FIELDS))
    if last.get('code') == CALLER_TOO_SLOW:
        cause = 'did not read its response'
        return (Outcome.CALLER_LEFT, cause, _numbers(last, _TIMING_FIELDS))
    if event == CALLER_LEFT or last.get('code') == 'caller_left':
        cause = 'after its first byte' if _begun_ms(last) else 'while waiting'
        return (Outcome.CALLER_LEFT, cause, _numbers(last, _TIMING_FIELDS))
    if event == CUT_OFF:
        ran = 'may have run' if last.get('may_have_run') else 'not sent'
        cause = f'cut off by a planned stop, {ran}'
        return (Outcome.BROKEN, cause, _numbers(last, _TIMING_FIELDS))
    if event == REFUSED_AT_EDGE:
        code = str(last.get('code'))
        return (Outcome.REFUSED, code, _numbers(last, _REFUSAL_FIELDS))
    return _classify_failure(last, lines)


def _late_cause(last: LogLine, lines: list[LogLine]) -> str:
    """Return the cause of a late response.

    :returns: an empty text if the response was on time.
    """
    objective_ms = _number(last, 'objective_ms')
    if objective_ms and _begun_ms(last) > objective_ms:
        return _late_start_cause(last, lines)
    gap_ms = _number(last, 'gap_ms')
    if gap_ms and _number(last, 'longest_gap_ms') > gap_ms:
        return 'a pause between events'
    return ''


def _late_start_cause(last: LogLine, lines: list[LogLine]) -> str:
    if _last_with_event(lines, {ATTEMPT_ENDED}) is not None:
        return 'another engine had failed before'
    if _number(last, 'waited_ms') < _number(last, 'first_ms'):
        return 'its engine took long to the first byte'
    held_back = _last_with_event(lines, {HELD_BACK})
    if held_back is not None:
        return f'held back: {held_back.get("held_for")}'
    return 'waited for a place'


def _classify_failure(
    last: LogLine,
    lines: list[LogLine],
) -> tuple[Outcome, str, dict[str, float]]:
    code = str(last.get('code'))
    refusal = _last_with_event(lines, {REFUSED})
    attempt_ended = _last_with_event(lines, {ATTEMPT_ENDED})
    if code in _BROKEN_CODES and attempt_ended is not None:
        cause = f'{code}: {attempt_ended.get("end")}'
        return (Outcome.BROKEN, cause, _numbers(last, _TIMING_FIELDS))
    if code == DEADLINE_PASSED and last.get('engine'):
        # The request was sent, but its engine sent no response in time.
        cause = f'{code}: no answer'
        return (Outcome.BROKEN, cause, _numbers(last, _TIMING_FIELDS))
    if refusal is None:
        return (Outcome.REFUSED, code, _numbers(last, _TIMING_FIELDS))
    cause = str(refusal.get('reason'))
    if refusal.get('held_for'):
        cause = f'{cause}, held back: {refusal["held_for"]}'
    elif _number(refusal, 'places'):
        cause = f'{cause} with places free'
    return (Outcome.REFUSED, cause, _numbers(refusal, _REFUSAL_FIELDS))


def _last_with_event(
    lines: list[LogLine], events: Iterable[str]
) -> LogLine | None:
    wanted = frozenset(events)
    found = [line for line in lines if line['event'] in wanted]
    return found[-1] if found else None


def _begun_ms(line: LogLine) -> float:
    return _number(line, 'begun_ms')


def _number(line: LogLine, name: str) -> float:
    found: Any = line.get(name)
    return float(found) if isinstance(found, int | float) else 0.0


def _numbers(line: LogLine, names: Iterable[str]) -> dict[str, float]:
    return {name: _number(line, name) for name in names if name in line}
