"""Tests of what responses of engines state about the engines."""

import time
from email.utils import formatdate

import pytest
from result import Err, Ok

from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.request.engine_statement import (
    MAX_REST_MS,
    StatementHeaders,
    make_incarnation_reader,
    make_statement_reader,
)
from hornbeamdeck.request.gateway_request import (
    EngineStatement,
    ResponseVerdict,
)

READ = make_statement_reader(
    StatementHeaders(
        'x-limit', 'x-leaving', 'x-brittle', frozenset(('x-known',))
    )
)
UNREADABLE_NUMBERS = ('', 'nan', '-1', '1e3', '2,7', '1, 2', '٣', 'soon')


def _stated(
    status: int = 200,
    verdict: ResponseVerdict = ResponseVerdict.RAN,
    **headers: str,
) -> EngineStatement:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return READ(HttpResponse(status, named, b''), verdict)


def test_response_without_statements_states_nothing() -> None:
    """Guards against an engine that is passed over for no reason."""
    assert _stated(x_known='1', date='x', retry_after='3') == EngineStatement(
        request_limit=Ok(None), rejection_limit=Ok(None)
    )


@pytest.mark.parametrize(
    ('text', 'stated'),
    [('1', Ok(True)), (' 1 ', Ok(True)), ('0', Ok(False))],
)
def test_engine_leaves_if_any_response_says_so(
    text: str, stated: object
) -> None:
    """Guards against a header that counts in successful responses only."""
    for verdict in ResponseVerdict:
        is_other = verdict == ResponseVerdict.MISDIRECTED
        expected = Ok(False) if is_other else stated
        assert _stated(503, verdict, x_leaving=text).leaving == expected


@pytest.mark.parametrize('text', ['', 'yes', '1, 1', '2'])
def test_unreadable_leaving_is_an_error(text: str) -> None:
    """Guards against another value that is taken for a plain no."""
    assert _stated(x_leaving=text).leaving == Err(text)


@pytest.mark.parametrize(
    ('text', 'rest_ms'),
    [
        ('3', 3000),
        (' 0.25 ', 250),
        ('.5', 500),
        ('2.', 2000),
        ('0', 0),
        ('7200', MAX_REST_MS),
        ('9' * 500, MAX_REST_MS),
    ],
)
def test_rest_is_a_number_of_seconds(text: str, rest_ms: float) -> None:
    """Guards against rests that a process takes for other times."""
    for verdict in (ResponseVerdict.REJECTED, ResponseVerdict.INVALID_RESPONSE):
        assert _stated(503, verdict, retry_after=text).rest_ms == Ok(rest_ms)


@pytest.mark.parametrize('text', UNREADABLE_NUMBERS)
def test_unreadable_rest_is_an_error(text: str) -> None:
    """Guards against a wrong text that seems to ask for no rest."""
    stated = _stated(503, ResponseVerdict.REJECTED, retry_after=text)
    assert stated.rest_ms == Err(text)


def test_rest_may_end_at_a_date() -> None:
    """Guards against dates that are read by a clock other than the engine's."""
    sent_s = 1_700_000_000
    for seconds, rest_ms in ((4, 4000), (-4, 0), (99_999, MAX_REST_MS)):
        stated = _stated(
            503,
            ResponseVerdict.REJECTED,
            date=formatdate(sent_s, usegmt=True),
            retry_after=formatdate(sent_s + seconds, usegmt=True),
        )
        assert stated.rest_ms == Ok(rest_ms)
    without_date = _stated(
        503,
        ResponseVerdict.REJECTED,
        retry_after=formatdate(time.time() + 60, usegmt=True),
    )
    assert 50_000 < without_date.rest_ms.unwrap() <= 60_000


def test_no_other_status_asks_for_rest() -> None:
    """Guards against rests that engines ask callers for in other responses."""
    for status in (200, 429, 500):
        stated = _stated(status, ResponseVerdict.REJECTED, retry_after='3')
        assert stated.rest_ms == Ok(0)


def test_unknown_headers_are_reported() -> None:
    """Guards against statements that pass through the fleet unnoticed."""
    stated = _stated(x_news='1', x_limit='2')
    assert stated.unread_headers == ('x-news',)


READ_BORN = make_incarnation_reader('start')
NO_STARTS = (
    b'',
    b'{"start": 1',
    b'[{"start": 1}]',
    b'{"other": {"start": 1}}',
    b'{"start": 0}',
    b'{"start": -5}',
    b'{"start": true}',
    b'{"start": 1.0}',
    b'{"start": "1"}',
    b'{"start": null}',
    b'{"start": 9223372036854775808}',
    b'{"start": %b}' % (b'9' * 5000),
    b'[' * 60_000,
    b'{"start": 1, "more": %b}' % (b'[' * 60_000),
    b'\xff\xfe{"start": 1}',
)


@pytest.mark.parametrize('body', NO_STARTS, ids=range(len(NO_STARTS)))
def test_odd_report_states_no_incarnation(body: bytes) -> None:
    """Guards against an exception, or a start that no engine has stated."""
    assert READ_BORN(HttpResponse(200, {}, body)) is None


def test_report_states_an_incarnation() -> None:
    """Guards against a start that is not read, or read from an error."""
    body = b'{"start": 9223372036854775807, "more": [1]}'
    assert READ_BORN(HttpResponse(200, {}, body)) == 2**63 - 1
    assert READ_BORN(HttpResponse(400, {}, body)) is None
