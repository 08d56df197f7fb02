"""Decodes requests of callers and responses of engines on the platform."""

import json
from http import HTTPStatus
from typing import Final

from result import Err, Ok, Result

from hornbeamdeck.connection.http import (
    Headers,
    HttpRequest,
    HttpResponse,
    bearer_key,
    has_two_lengths,
    listed_ids,
    whole_number,
)
from hornbeamdeck.const import ENCODING, MILLIS_PER_SECOND
from hornbeamdeck.platform.wire_names import (
    FIELD_BORN,
    GATEWAY_ONLY_HEADERS,
    HEADER_CLIENT_TIMEOUT_MS,
    HEADER_EXPECTED_ENGINE,
    HEADER_EXPECTED_TOKENS,
    HEADER_LAST_EVENT_ID,
    HEADER_LEAVING,
    HEADER_NOT_RUN,
    HEADER_PROMPT_PARTS,
    HEADER_REJECTION_LIMIT,
    HEADER_REQUEST_ID,
    HEADER_REQUEST_LIMIT,
    HEADER_RESPONSE_SEAL,
    HEADER_RESUMED_REQUEST,
    HEADER_TEAM,
    HEADER_TOKEN_COUNTS,
    PATH_REPORT,
)
from hornbeamdeck.request.engine_statement import (
    StatementHeaders,
    make_incarnation_reader,
    make_incarnation_request_maker,
    make_statement_reader,
)
from hornbeamdeck.request.gateway_request import (
    Dialect,
    EngineAttempt,
    GatewayRequest,
    ResponseVerdict,
)
from hornbeamdeck.request.outcome import Failure, NotRun
from hornbeamdeck.request.refusal import bad_request
from hornbeamdeck.request.relay import (
    without_connection_headers,
    without_hop_by_hop,
)
from hornbeamdeck.request.request_id import bounded_id, is_digest

__all__ = ('DIALECT',)

# The client timeout of requests that state none.
DEFAULT_CLIENT_TIMEOUT_MS: Final = 30_000
MAX_CLIENT_TIMEOUT_MS: Final = 3_600_000
# Without HEADER_NOT_RUN these statuses don't show whether the engine ran the
# request.
_INCONCLUSIVE_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


def read_request(request: HttpRequest) -> Result[GatewayRequest, NotRun]:
    """Decode a request of a caller."""
    headers = request.headers
    if has_two_lengths(headers):
        return Err(bad_request('a length and chunks at once', 'two_lengths'))
    request_id = headers.get(HEADER_REQUEST_ID, '')
    if not request_id or ',' in request_id:
        return Err(bad_request('one request id is needed', 'no_request_id'))
    resumed_id = headers.get(HEADER_RESUMED_REQUEST, '')
    prompt, _, output = headers.get(HEADER_TOKEN_COUNTS, '').partition(',')
    return Ok(
        GatewayRequest(
            request_id=bounded_id(request_id),
            host=headers.get('host', '').partition(':')[0].lower(),
            http_request=request,
            bearer_key=bearer_key(headers),
            client_timeout_ms=min(
                whole_number(headers.get(HEADER_CLIENT_TIMEOUT_MS, ''))
                or DEFAULT_CLIENT_TIMEOUT_MS,
                MAX_CLIENT_TIMEOUT_MS,
            ),
            prompt_tokens=whole_number(prompt),
            output_tokens=whole_number(output),
            expected_tokens=whole_number(
                headers.get(HEADER_EXPECTED_TOKENS, '')
            ),
            prompt_part_ids=listed_ids(headers.get(HEADER_PROMPT_PARTS, '')),
            last_event_id=headers.get(HEADER_LAST_EVENT_ID, ''),
            resumed_request_id=bounded_id(resumed_id),
        ),
    )


def engine_headers(decoded: GatewayRequest, attempt: EngineAttempt) -> Headers:
    """Make the headers of a request for the engine that will run it."""
    headers = {
        name: text
        for name, text in without_connection_headers(
            decoded.http_request.headers
        ).items()
        if name not in GATEWAY_ONLY_HEADERS
        and name not in {'authorization', 'expect', HEADER_LAST_EVENT_ID}
    }
    headers['host'] = decoded.http_request.headers.get('host', '')
    headers[HEADER_CLIENT_TIMEOUT_MS] = str(attempt.left_ms)
    headers[HEADER_EXPECTED_ENGINE] = attempt.engine
    if attempt.team:
        headers[HEADER_TEAM] = attempt.team
    if attempt.last_event_id:
        headers[HEADER_LAST_EVENT_ID] = attempt.last_event_id
    return headers


def classify_response(
    decoded: GatewayRequest, response: HttpResponse
) -> ResponseVerdict:
    """Determine from a response's head whether the engine ran the request."""
    headers = response.headers
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return ResponseVerdict.MISDIRECTED
    if HEADER_NOT_RUN in headers:
        return ResponseVerdict.REJECTED
    echoed = headers.get(HEADER_REQUEST_ID)
    if echoed is not None and bounded_id(echoed) != decoded.request_id:
        # A late response to another request on this connection.
        return ResponseVerdict.INVALID_RESPONSE
    if (
        'content-encoding' in headers
        or response.status in _INCONCLUSIVE_STATUSES
    ):
        return ResponseVerdict.INVALID_RESPONSE
    is_success = HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES
    if is_success and HEADER_RESPONSE_SEAL not in headers:
        return ResponseVerdict.INVALID_RESPONSE
    return ResponseVerdict.RAN


def caller_response(response: HttpResponse) -> HttpResponse:
    """Remove headers that concern only the connection to the engine."""
    return response._replace(headers=without_hop_by_hop(response.headers))


def failure_response(failure: Failure, request_id: str) -> HttpResponse:
    """Make the response to a request that failed."""
    problem = {
        'error': failure.code,
        'detail': failure.detail,
        'outcome': failure.outcome,
    }
    headers = {'content-type': 'application/json'}
    if request_id and not is_digest(request_id):
        headers[HEADER_REQUEST_ID] = request_id
    if failure.retry_after_ms is not None:
        seconds = failure.retry_after_ms / MILLIS_PER_SECOND
        headers['retry-after'] = f'{seconds:.3f}'
    return HttpResponse(
        _status_for_caller(failure),
        headers,
        json.dumps(problem).encode(ENCODING),
    )


def _status_for_caller(failure: Failure) -> int:
    # Callers of the platform take 422 for the response of an engine. Here it is
    # a final refusal, which promises that the request never runs, and is sent
    # as 503 instead.
    if failure.status == HTTPStatus.UNPROCESSABLE_ENTITY:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return failure.status


DIALECT: Final = Dialect(
    read_request=read_request,
    engine_headers=engine_headers,
    classify_response=classify_response,
    read_statement=make_statement_reader(
        StatementHeaders(
            request_limit=HEADER_REQUEST_LIMIT,
            leaving=HEADER_LEAVING,
            rejection_limit=HEADER_REJECTION_LIMIT,
            others=frozenset(
                (
                    HEADER_REQUEST_ID,
                    HEADER_RESPONSE_SEAL,
                    HEADER_NOT_RUN,
                    'hornbeamdeck-weight-versions',
                ),
            ),
        ),
    ),
    incarnation_request=make_incarnation_request_maker(
        PATH_REPORT, HEADER_EXPECTED_ENGINE
    ),
    read_incarnation=make_incarnation_reader(FIELD_BORN),
    caller_response=caller_response,
    failure_response=failure_response,
)
