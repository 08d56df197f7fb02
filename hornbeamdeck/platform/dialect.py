"""How callers and engines of the platform speak."""

import json
from http import HTTPStatus
from typing import Final

from result import Err, Ok, Result

from hornbeamdeck.connection.http import Headers, HttpRequest, HttpResponse
from hornbeamdeck.const import ENCODING, MILLIS_PER_SECOND
from hornbeamdeck.platform.names import (
    HEADER_ENGINE,
    HEADER_EXPECTED_TOKENS,
    HEADER_LAST_EVENT,
    HEADER_NOT_RUN,
    HEADER_PARTS,
    HEADER_PATIENCE_MS,
    HEADER_REQUEST,
    HEADER_SEAL,
    HEADER_TEAM,
    HEADER_TOKENS,
    SYSTEM_HEADERS,
)
from hornbeamdeck.request.outcome import Failure, NotRun
from hornbeamdeck.request.refusal import bad_request
from hornbeamdeck.request.relay import without_hop_by_hop
from hornbeamdeck.request.routed_ask import (
    Dialect,
    Dispatch,
    RoutedAsk,
    Verdict,
)

__all__ = ('DIALECT',)

BEARER: Final = 'bearer '
# What a caller without a word on it is taken to wait, milliseconds.
DEFAULT_PATIENCE_MS: Final = 30_000
MAX_PATIENCE_MS: Final = 3_600_000
MAX_TOKENS: Final = 10_000_000
# Python refuses to read numbers of thousands of digits.
MAX_DIGITS: Final = 12
# Statuses that only promise anything together with the engine's word.
_PROMISES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


def read_ask(request: HttpRequest) -> Result[RoutedAsk, NotRun]:
    """Decode a request."""
    headers = request.headers
    if 'content-length' in headers and 'transfer-encoding' in headers:
        # Two readings of where the body ends: what one takes for the rest of
        # the body, another takes for a second request.
        return Err(bad_request('a length and chunks at once', 'two_lengths'))
    request_id = headers.get(HEADER_REQUEST, '')
    if not request_id or ',' in request_id:
        return Err(bad_request('one request id is needed', 'no_request_id'))
    prompt, _, output = headers.get(HEADER_TOKENS, '').partition(',')
    return Ok(
        RoutedAsk(
            request_id=request_id,
            host=headers.get('host', '').partition(':')[0].lower(),
            request=request,
            key=_key(headers.get('authorization', '')),
            patience_ms=min(
                _number(headers.get(HEADER_PATIENCE_MS, ''))
                or DEFAULT_PATIENCE_MS,
                MAX_PATIENCE_MS,
            ),
            prompt_tokens=_number(prompt),
            output_tokens=_number(output),
            expected_tokens=_number(headers.get(HEADER_EXPECTED_TOKENS, '')),
            prompt_parts=_parts(headers.get(HEADER_PARTS, '')),
            last_event=headers.get(HEADER_LAST_EVENT, ''),
        ),
    )


def to_engine(ask: RoutedAsk, dispatch: Dispatch) -> Headers:
    """Write the headers of a request for the engine that is to run it."""
    named = ask.request.headers.get('connection', '')
    connection_only = {each.strip().lower() for each in named.split(',')}
    headers = {
        name: text
        for name, text in without_hop_by_hop(ask.request.headers).items()
        if name not in connection_only
        and name not in SYSTEM_HEADERS
        and name not in {'authorization', 'expect', HEADER_LAST_EVENT}
    }
    headers['host'] = ask.request.headers.get('host', '')
    headers[HEADER_PATIENCE_MS] = str(dispatch.left_ms)
    headers[HEADER_ENGINE] = dispatch.engine
    if dispatch.team:
        headers[HEADER_TEAM] = dispatch.team
    if dispatch.after_event:
        headers[HEADER_LAST_EVENT] = dispatch.after_event
    return headers


def judge(ask: RoutedAsk, head: HttpResponse) -> Verdict:
    """Judge the head of an engine's answer."""
    headers = head.headers
    if head.status == HTTPStatus.MISDIRECTED_REQUEST:
        return Verdict.OTHER_ENGINE
    if HEADER_NOT_RUN in headers:
        return Verdict.NOT_RUN
    echoed = headers.get(HEADER_REQUEST)
    if echoed is not None and echoed != ask.request_id:
        # The late answer of another request on this connection.
        return Verdict.NOT_ITS_ANSWER
    if 'content-encoding' in headers or head.status in _PROMISES:
        return Verdict.NOT_ITS_ANSWER
    is_success = HTTPStatus.OK <= head.status < HTTPStatus.MULTIPLE_CHOICES
    if is_success and HEADER_SEAL not in headers:
        return Verdict.NOT_ITS_ANSWER
    return Verdict.RAN


def to_caller(answer: HttpResponse) -> HttpResponse:
    """Drop what concerns only the connection to the engine."""
    return answer._replace(headers=without_hop_by_hop(answer.headers))


def refusal(failure: Failure, request_id: str) -> HttpResponse:
    """Write the answer to a request that failed."""
    problem = {
        'error': failure.code,
        'detail': failure.detail,
        'outcome': failure.outcome,
    }
    headers = {'content-type': 'application/json'}
    if request_id:
        headers[HEADER_REQUEST] = request_id
    if failure.retry_after_ms is not None:
        seconds = failure.retry_after_ms / MILLIS_PER_SECOND
        headers['retry-after'] = f'{seconds:.3f}'
    return HttpResponse(
        _status(failure),
        headers,
        json.dumps(problem).encode(ENCODING),
    )


def _status(failure: Failure) -> int:
    # To these callers 422 is a word of the engine's; a refusal that holds is a
    # promise that the request never runs.
    if failure.status == HTTPStatus.UNPROCESSABLE_ENTITY:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return failure.status


def _key(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER):
        return ''
    return authorization[len(BEARER) :].strip()


def _number(text: str) -> int:
    """Read a whole number; what is none counts as not told."""
    digits = text.strip().partition('.')[0]
    if not digits.isascii() or not digits.isdigit():
        return 0
    return min(int(digits[:MAX_DIGITS]), MAX_TOKENS)


def _parts(text: str) -> tuple[str, ...]:
    entries = (each.strip() for each in text.split(','))
    return tuple(each.partition(':')[0] for each in entries if each)


DIALECT: Final = Dialect(
    read=read_ask,
    to_engine=to_engine,
    judge=judge,
    to_caller=to_caller,
    refusal=refusal,
)
