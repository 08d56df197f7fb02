"""Sends the calls of a trace and records their results."""

import json
from http import HTTPStatus
from typing import Final, NamedTuple

from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import Headers, HttpRequest, HttpResponse
from hornbeamdeck.const import (
    ENCODING,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
    HEADER_REQUEST_ID,
    HEADER_TIER,
)
from hornbeamdeck.demo.configuration import team_key
from hornbeamdeck.demo.trace import TraceEntry
from hornbeamdeck.standin.engine import expected_response

__all__ = ('CallResult', 'async_call')

CONNECT_TIMEOUT_MS: Final = 2000
DEADLINE_GRACE_MS: Final = 500
STATUS_BROKEN: Final = 0


class CallResult(NamedTuple):
    """The result of a call.

    :param status: HTTP status; 0 if the connection broke or the client timeout
        passed.
    :param code: why no response was received; otherwise the `code` header of
        the response, empty without one.
    :param is_complete: whether the response is exactly the expected one.
    :param first_token_ms: milliseconds from the start of the call to the first
        token; 0 if none was received.
    :param total_ms: duration of the call, milliseconds.
    :param retry_after_s: value of the `retry-after` header; 0 without one.
    """

    entry: TraceEntry
    status: int
    outcome: str
    code: str
    request_id: str
    is_complete: bool
    first_token_ms: float
    total_ms: float
    retry_after_s: int

    @property
    def is_in_time(self) -> bool:
        """Whether the complete response was received by the deadline."""
        return self.is_complete and self.total_ms <= self.entry.deadline_ms


class _Response(NamedTuple):
    status: int
    headers: Headers
    body: bytes
    first_byte_ms: float
    has_ended: bool


async def async_call(
    entry: TraceEntry,
    number: int,
    address: Address,
) -> CallResult:
    """Send a call; time out `DEADLINE_GRACE_MS` after its deadline.

    :param number: number of the entry in its trace.
    """
    start_ms = now_ms()
    try:
        response = await async_with_timeout(
            entry.deadline_ms + DEADLINE_GRACE_MS,
            _async_exchange(_make_request(entry, number), address),
        )
    except TaskTimeout:
        response = _failed_response('client timeout')
    return _make_result(entry, number, response, start_ms)


async def _async_exchange(request: HttpRequest, address: Address) -> _Response:
    opened = await ClientConnection.async_open(
        address,
        timeout_ms=CONNECT_TIMEOUT_MS,
    )
    if isinstance(opened, Err):
        return _failed_response('connect failed')
    try:
        return await _async_send_request(opened.ok_value, request)
    finally:
        await opened.ok_value.async_close()


async def _async_send_request(
    connection: ClientConnection,
    request: HttpRequest,
) -> _Response:
    sent = await connection.async_send(request)
    if isinstance(sent, Err):
        return _failed_response('send failed')
    head = await connection.async_read_head()
    if isinstance(head, Err):
        return _failed_response('no response head')
    return await _async_read_body(connection, head.ok_value)


async def _async_read_body(
    connection: ClientConnection,
    head: HttpResponse,
) -> _Response:
    body = b''
    first_byte_ms = 0.0
    while True:
        chunk = await connection.async_read_chunk()
        if isinstance(chunk, Err):
            return _Response(
                head.status, head.headers, body, first_byte_ms, False
            )
        if not chunk.ok_value:
            return _Response(
                head.status, head.headers, body, first_byte_ms, True
            )
        first_byte_ms = first_byte_ms or now_ms()
        body += chunk.ok_value


def _failed_response(code: str) -> _Response:
    return _Response(STATUS_BROKEN, {'code': code}, b'', 0, False)


def _make_request(entry: TraceEntry, number: int) -> HttpRequest:
    headers = {
        'authorization': f'Bearer {team_key(entry.team)}',
        'content-type': 'application/json',
        HEADER_TIER: entry.tier,
        HEADER_DEADLINE: str(entry.deadline_ms),
    }
    if entry.idempotency_key:
        headers[HEADER_IDEMPOTENCY_KEY] = entry.idempotency_key
    if entry.path:
        body = json.dumps({'key': entry.idempotency_key}).encode(ENCODING)
        path = f'/services/{entry.service}{entry.path}'
        return HttpRequest(entry.method, path, '', headers, body)
    completion = {
        'model': entry.service,
        'messages': [{'role': 'user', 'content': entry.make_prompt(number)}],
        'max_tokens': entry.output_tokens,
        'stream': entry.is_stream,
    }
    return HttpRequest(
        'POST',
        '/v1/chat/completions',
        '',
        headers,
        json.dumps(completion).encode(ENCODING),
    )


def _make_result(
    entry: TraceEntry,
    number: int,
    response: _Response,
    start_ms: float,
) -> CallResult:
    is_success = response.has_ended and response.status in {
        HTTPStatus.OK,
        HTTPStatus.CREATED,
    }
    return CallResult(
        entry=entry,
        status=response.status if response.has_ended else STATUS_BROKEN,
        outcome=_outcome(response),
        code=response.headers.get('code', ''),
        request_id=response.headers.get(HEADER_REQUEST_ID, ''),
        is_complete=is_success and _is_complete(entry, number, response),
        first_token_ms=response.first_byte_ms - start_ms
        if response.first_byte_ms
        else 0,
        total_ms=now_ms() - start_ms,
        retry_after_s=int(response.headers.get('retry-after', 0)),
    )


def _outcome(response: _Response) -> str:
    if response.has_ended:
        return response.headers.get(HEADER_OUTCOME, 'none')
    return 'unknown'


def _is_complete(entry: TraceEntry, number: int, response: _Response) -> bool:
    if entry.path:
        return entry.idempotency_key in response.body.decode(ENCODING)
    expected = expected_response(entry.make_prompt(number), entry.output_tokens)
    if not entry.is_stream:
        parsed = json.loads(response.body)
        return bool(parsed['choices'][0]['message']['content'] == expected)
    events = response.body.decode(ENCODING).split('\n\n')
    chunks = [
        json.loads(event.removeprefix('data: '))
        for event in events
        if event and not event.endswith('[DONE]')
    ]
    text = ''.join(chunk['choices'][0]['delta']['content'] for chunk in chunks)
    return text == expected
