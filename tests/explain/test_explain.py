"""Tests of causes and reports derived from log lines."""

import json
from typing import Any

import pytest

from hornbeamdeck.cli import explain
from hornbeamdeck.explain import (
    describe_lines,
    explain_all,
    make_report,
    read_lines,
)

ANSWERED = 'request: request answered'
FAILED = 'request: request failed'


def _line(event: str, request_id: str = 'r1', **fields: Any) -> str:
    second = fields.pop('second', 0)
    return json.dumps(
        {
            'event': event,
            'request_id': request_id,
            'timestamp': f'2026-01-01T00:00:{second:02}Z',
            'instance_id': 'front-1',
            **fields,
        },
    )


def _answered(**fields: Any) -> str:
    defaults = {
        'kind': 'streaming',
        'route': 'notes',
        'team': 'guides',
        'engine': 'e1',
        'objective_ms': 500,
        'gap_ms': 300,
        'begun_ms': 100,
        'waited_ms': 0,
        'first_ms': 100,
        'longest_gap_ms': 20,
    }
    return _line(ANSWERED, **{**defaults, **fields})


def _explain_single(*lines: str) -> tuple[str, str]:
    explained = list(explain_all(read_lines(lines)))
    assert len(explained) == 1
    return (explained[0].outcome, explained[0].cause)


def _held_back(reason: str) -> str:
    return _line('scheduler: request was held back', held_for=reason)


def test_course_of_a_rollout_is_told() -> None:
    lines = [
        _line('rollout: order taken', '', target='v2'),
        _line('rollout: progress', '', granted_new=3),
        _line('rollout: phase changed', '', phase='rolled_back', second=4),
    ]
    logs = read_lines(lines)
    report = list(make_report(logs, explain_all(logs)).to_text())
    assert 'target=v2' in report[-2]
    assert 'phase=rolled_back' in report[-1]


def _refused(**fields: Any) -> str:
    return _line('scheduler: request refused', reason='overloaded', **fields)


@pytest.mark.parametrize(
    ('lines', 'outcome', 'cause'),
    [
        ([_answered()], 'on time', ''),
        (
            [_answered(begun_ms=700, waited_ms=600)],
            'late',
            'waited for a place',
        ),
        (
            [
                _held_back('it would break streams'),
                _answered(begun_ms=700, waited_ms=600),
            ],
            'late',
            'held back: it would break streams',
        ),
        (
            [_answered(begun_ms=700, first_ms=690)],
            'late',
            'its engine took long to the first byte',
        ),
        (
            [
                _line('request: try ended', end='failed'),
                _answered(begun_ms=700, waited_ms=20),
            ],
            'late',
            'another engine had failed before',
        ),
        ([_answered(longest_gap_ms=400)], 'late', 'a pause between events'),
        (
            [_refused(places=0), _line(FAILED, code='overloaded')],
            'refused',
            'overloaded',
        ),
        (
            [_refused(places=3), _line(FAILED, code='overloaded')],
            'refused',
            'overloaded with places free',
        ),
        (
            [
                _line('request: try ended', end='failed'),
                _line(FAILED, code='engine_broken'),
            ],
            'broken',
            'engine_broken: failed',
        ),
        (
            [
                _line('request: try ended', end='failed'),
                _line(FAILED, code='uncertain_version'),
            ],
            'broken',
            'uncertain_version: failed',
        ),
        (
            [_line(FAILED, code='deadline_passed', engine='e1')],
            'broken',
            'deadline_passed: no answer',
        ),
        (
            [_line(FAILED, code='deadline_passed', engine='')],
            'refused',
            'deadline_passed',
        ),
        (
            [
                _line(
                    'edge: request refused at the edge',
                    code='configuration_unproved',
                ),
            ],
            'refused',
            'configuration_unproved',
        ),
        ([_line('request: caller left')], 'caller left', 'while waiting'),
        (
            [_line('request: request cut off', may_have_run=True)],
            'broken',
            'cut off by a planned stop, may have run',
        ),
        (
            [_line('request: request failed', code='caller_too_slow')],
            'caller left',
            'did not read its response',
        ),
    ],
)
def test_cause_is_determined(
    lines: list[str], outcome: str, cause: str
) -> None:
    assert _explain_single(*lines) == (outcome, cause)


def test_damaged_lines_are_counted() -> None:
    """Guards against a log made unreadable by a truncated or mixed line.

    A process is killed while it writes a line, or two processes write into one
    line.
    """
    valid = _answered()
    read = read_lines([valid[:40], '{"event": 3}', 'text', f'12.3 f-1 {valid}'])
    assert read.damaged == 2
    assert read.lines == 1
    assert list(read.by_request) == ['r1']


def test_request_without_final_line_is_not_explained() -> None:
    assert not list(
        explain_all(read_lines([_held_back('it would be late there')]))
    )


def test_report_counts_by_shared_properties() -> None:
    lines = [
        _refused(places=0, waiting=20),
        _line(FAILED, code='overloaded', route='notes', second=2),
        _line(
            'scheduler: request refused',
            'r2',
            reason='overloaded',
            places=0,
            waiting=30,
        ),
        _line(FAILED, 'r2', code='overloaded', route='chat', second=2),
    ]
    logs = read_lines(lines)
    report = make_report(logs, explain_all(logs))
    cause = report.causes[0]
    assert cause.requests == 2
    assert cause.by['route'] == {'notes': 1, 'chat': 1}
    assert cause.by['second'] == {'2': 2}
    assert cause.decided_on['waiting'] == 25
    text = '\n'.join(report.to_text())
    assert 'refused: overloaded' in text


def test_described_lines_are_ordered_by_time() -> None:
    lines = [_answered(second=3), _line('request: try ended', second=1)]
    described = list(describe_lines(read_lines(lines).by_request['r1']))
    assert 'try ended' in described[0]
    assert 'request answered' in described[1]


def test_command_prints_only_json(
    tmp_path: Any,
    capsys: pytest.CaptureFixture[str],
) -> None:
    log = tmp_path / 'fleet.log'
    log.write_text(_answered() + '\n')
    explain(str(log), json=True)
    assert json.loads(capsys.readouterr().out)['outcomes'] == {'on time': 1}


def test_command_exits_when_nothing_is_found(tmp_path: Any) -> None:
    log = tmp_path / 'fleet.log'
    log.write_text('')
    with pytest.raises(SystemExit):
        explain(str(log), request_id='nobody')
    with pytest.raises(SystemExit):
        explain(str(tmp_path / 'missing'))


def test_causes_are_counted_by_instance_and_zone() -> None:
    """Guards against reporting a single-zone fault as fleet-wide."""
    started = {'event': 'front: process started', 'instance_id': 'front-1'}
    lines = [
        json.dumps({**started, 'availability_zone': 'z1'}),
        _answered(request_id='r1', begun_ms=700, waited_ms=600),
        _answered(
            request_id='r2', begun_ms=700, waited_ms=600, instance_id='front-2'
        ),
    ]
    logs = read_lines(lines)
    by = make_report(logs, explain_all(logs)).causes[0].by
    assert by['instance'] == {'front-1': 1, 'front-2': 1}
    assert by['zone'] == {'z1': 1}


def test_report_tells_how_much_of_each_team_is_served() -> None:
    """Guards against one team's load that can't be told from a lack of room."""
    refused = _line(FAILED, 'r2', code='overloaded', team='guides')
    logs = read_lines(
        [_answered(), refused, _answered(request_id='r3', team='desk')]
    )
    report = make_report(logs, explain_all(logs))
    assert [team.to_text().strip() for team in report.teams] == [
        '2 guides: on time 50%, refused 50%',
        '1 desk: on time 100%',
    ]


def test_report_tells_which_slots_are_in_use() -> None:
    """Guards against full engines that can't be told from slow ones."""
    engines = {'e1': [3, 4, 0.7], 'e2': [4, 4, 3.0]}
    logs = read_lines(
        [
            _line('scheduler: load', cell='desk', waiting=0, engines=engines),
            _line('scheduler: load', cell='desk', waiting=9, engines=engines),
        ]
    )
    report = make_report(logs, explain_all(logs))
    assert [use.to_text().strip() for use in report.slots] == [
        '0 s desk: 9 waiting, fast 3 of 4, slow 4 of 4'
    ]
