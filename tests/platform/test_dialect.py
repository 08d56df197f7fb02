"""Tests of request and response headers of callers and engines."""

import pytest

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.platform.dialect import (
    classify_response,
    engine_headers,
    failure_response,
    read_request,
)
from hornbeamdeck.request.gateway_request import (
    MAX_SHARED_PARTS,
    EngineAttempt,
    GatewayRequest,
    ResponseVerdict,
)
from hornbeamdeck.request.outcome import NotRun, Unknown

HEADERS = {
    'host': 'Walks.example:80',
    'hornbeamdeck-request-id': 'id-1',
    'hornbeamdeck-deadline-ms': '1500',
    'hornbeamdeck-token-counts': '1460,80',
    'hornbeamdeck-prompt-prefix': '5c1e07a2:800, e4402b7d:250',
    'hornbeamdeck-length-hint': '40',
    'authorization': 'Bearer some-key',
    'x-own': 'kept',
}


def _request(**changes: str) -> HttpRequest:
    named = {name.replace('_', '-'): text for name, text in changes.items()}
    return HttpRequest('POST', '/a/b', 'q=1', {**HEADERS, **named}, b'body')


def _decoded(**changes: str) -> GatewayRequest:
    return read_request(_request(**changes)).unwrap()


def test_request_is_decoded() -> None:
    decoded = _decoded()
    assert decoded.host == 'walks.example'
    assert decoded.bearer_key == 'some-key'
    assert decoded.client_timeout_ms == 1500
    assert (decoded.prompt_tokens, decoded.output_tokens) == (1460, 80)
    assert decoded.expected_tokens == 40
    assert decoded.prompt_part_ids == ('5c1e07a2', 'e4402b7d')


@pytest.mark.parametrize('text', ['', 'x', '-5', '9' * 5000, '١٢', '1e9', ','])
def test_malformed_numbers_are_ignored(text: str) -> None:
    decoded = _decoded(
        hornbeamdeck_token_counts=text,
        hornbeamdeck_length_hint=text,
        hornbeamdeck_deadline_ms=text,
    )
    assert decoded.client_timeout_ms > 0
    assert 0 <= decoded.prompt_tokens <= 10_000_000


def test_request_with_two_lengths_is_refused() -> None:
    """Guards against request smuggling.

    A request has both a content length and chunks. If two servers disagree on
    which of them ends the body, one takes the rest of the body for a second
    request and runs it, though no caller sent it.
    """
    smuggled = read_request(
        _request(content_length='3', transfer_encoding='chunked'),
    )
    assert smuggled.unwrap_err().code == 'two_lengths'


def test_request_without_single_id_is_refused() -> None:
    assert read_request(_request(hornbeamdeck_request_id='')).is_err()
    assert read_request(_request(hornbeamdeck_request_id='a, b')).is_err()


def test_engine_request_omits_key_and_reserved_headers() -> None:
    """Guards against callers that set headers reserved for the gateway.

    Such headers reserve memory or name another team. If they were passed on,
    an engine would treat them as headers of the gateway.
    """
    decoded = _decoded(
        hornbeamdeck_tenant='somebody',
        hornbeamdeck_hold='1',
        hornbeamdeck_pin_ms='5',
        hornbeamdeck_kv_backup='10.0.0.1:1',
        kv_from='10.0.0.1:1/h',
        kv_fetch='10.0.0.1:1',
        hornbeamdeck_expect_instance='e9',
        connection='x-private, close',
        x_private='1',
        last_event_id='3',
    )
    headers = engine_headers(decoded, EngineAttempt('e1', 'guides', 900, '7'))
    assert headers == {
        'host': 'Walks.example:80',
        'hornbeamdeck-request-id': 'id-1',
        'hornbeamdeck-deadline-ms': '900',
        'hornbeamdeck-token-counts': '1460,80',
        'hornbeamdeck-prompt-prefix': '5c1e07a2:800, e4402b7d:250',
        'hornbeamdeck-length-hint': '40',
        'hornbeamdeck-expect-instance': 'e1',
        'hornbeamdeck-tenant': 'guides',
        'last-event-id': '7',
        'x-own': 'kept',
    }


@pytest.mark.parametrize(
    ('status', 'headers', 'verdict'),
    [
        (200, {'hornbeamdeck-response-seal': 's'}, ResponseVerdict.RAN),
        (200, {}, ResponseVerdict.INVALID_RESPONSE),
        (500, {'hornbeamdeck-response-seal': 's'}, ResponseVerdict.RAN),
        (504, {}, ResponseVerdict.RAN),
        (503, {'hornbeamdeck-not-executed': '1'}, ResponseVerdict.REJECTED),
        (503, {}, ResponseVerdict.INVALID_RESPONSE),
        (429, {}, ResponseVerdict.INVALID_RESPONSE),
        (421, {}, ResponseVerdict.MISDIRECTED),
        (
            200,
            {
                'hornbeamdeck-response-seal': 's',
                'hornbeamdeck-request-id': 'id-2',
            },
            ResponseVerdict.INVALID_RESPONSE,
        ),
        (
            200,
            {'hornbeamdeck-response-seal': 's', 'content-encoding': 'gzip'},
            ResponseVerdict.INVALID_RESPONSE,
        ),
    ],
)
def test_only_engine_header_shows_that_request_did_not_run(
    status: int,
    headers: dict[str, str],
    verdict: ResponseVerdict,
) -> None:
    assert (
        classify_response(_decoded(), HttpResponse(status, headers, b''))
        == verdict
    )


def test_refusal_has_retry_after_and_no_seal() -> None:
    response = failure_response(NotRun(503, 'overloaded', 'full', 1250), 'id-1')
    assert response.headers['retry-after'] == '1.250'
    assert 'hornbeamdeck-response-seal' not in response.headers


def test_unknown_outcome_is_not_reported_as_refused() -> None:
    assert failure_response(Unknown(502, 'x', 'y', 5), 'id-1').status == 502


@pytest.mark.parametrize(
    ('text', 'shared'),
    [
        ('', []),
        ('own:10', []),
        ('a1:60,own:10', ['a1']),
        ('a1:60, b2:5 ,a1:60,own:10', ['a1', 'b2']),
        (',,:;,own', []),
        ('A1:60,a1:60,own:10', ['a1']),
        (f'{"f" * 65}:1,a1:60,own:10', ['a1']),
    ],
)
def test_parts_that_other_prompts_may_have(
    text: str, shared: list[str]
) -> None:
    """Guards against a request's own part that is held against others."""
    decoded = _decoded(hornbeamdeck_prompt_prefix=text)
    assert decoded.shared_part_ids == shared


def test_number_of_shared_parts_is_limited() -> None:
    """Guards against a prompt that makes the messages to owners large."""
    text = ','.join(f'{number:x}:1' for number in range(500))
    decoded = _decoded(hornbeamdeck_prompt_prefix=text)
    assert len(decoded.shared_part_ids) == MAX_SHARED_PARTS
