"""A caller that notes what became of each of its calls."""

import json
from http import HTTPStatus
from typing import Final, NamedTuple

from curio.errors import TaskTimeout
from result import Err

from hornbeamdeck.clock import async_within, now_ms
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
from hornbeamdeck.demo.document import team_key
from hornbeamdeck.demo.trace import TraceEntry
from hornbeamdeck.standin.engine import expected_answer

__all__ = ('CallRecord', 'async_call')

CONNECT_TIMEOUT_MS: Final = 2000
GRACE_MS: Final = 500
STATUS_BROKEN: Final = 0


class CallRecord(NamedTuple):
    """What became of one call.

    :param status: 0 where the connection broke or the caller gave up.
    :param is_whole: the answer is exactly the one expected.
    :param first_token_ms: since the call began; 0 where none came.
    :param retry_after_s: when a refusal says to come back; 0 where it doesn't.
    """

    entry: TraceEntry
    status: int
    outcome: str
    code: str
    request_id: str
    is_whole: bool
    first_token_ms: float
    total_ms: float
    retry_after_s: int

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came by the deadline."""
        return self.is_whole and self.total_ms <= self.entry.deadline_ms


class _Answer(NamedTuple):
    status: int
    headers: Headers
    body: bytes
    first_ms: float
    is_ended: bool


async def async_call(
    entry: TraceEntry,
    number: int,
    address: Address,
) -> CallRecord:
    """Make one call and give up a little after its deadline."""
    begin_ms = now_ms()
    try:
        answer = await async_within(
            entry.deadline_ms + GRACE_MS,
            _async_exchange(_request(entry, number), address),
        )
    except TaskTimeout:
        answer = _broken('gave up')
    return _to_record(entry, number, answer, begin_ms)


async def _async_exchange(request: HttpRequest, address: Address) -> _Answer:
    opened = await ClientConnection.async_open(
        address,
        timeout_ms=CONNECT_TIMEOUT_MS,
    )
    if isinstance(opened, Err):
        return _broken('connect failed')
    try:
        return await _async_ask(opened.ok_value, request)
    finally:
        await opened.ok_value.async_close()


async def _async_ask(
    connection: ClientConnection,
    request: HttpRequest,
) -> _Answer:
    sent = await connection.async_send(request)
    if isinstance(sent, Err):
        return _broken('send failed')
    head = await connection.async_read_head()
    if isinstance(head, Err):
        return _broken('no head')
    return await _async_read(connection, head.ok_value)


async def _async_read(
    connection: ClientConnection,
    head: HttpResponse,
) -> _Answer:
    body = b''
    first_ms = 0.0
    while True:
        piece = await connection.async_read_piece()
        if isinstance(piece, Err):
            return _Answer(head.status, head.headers, body, first_ms, False)
        if not piece.ok_value:
            return _Answer(head.status, head.headers, body, first_ms, True)
        first_ms = first_ms or now_ms()
        body += piece.ok_value


def _broken(code: str) -> _Answer:
    return _Answer(STATUS_BROKEN, {'code': code}, b'', 0, False)


def _request(entry: TraceEntry, number: int) -> HttpRequest:
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
        'messages': [{'role': 'user', 'content': entry.prompt(number)}],
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


def _to_record(
    entry: TraceEntry,
    number: int,
    answer: _Answer,
    begin_ms: float,
) -> CallRecord:
    is_good = answer.is_ended and answer.status in {
        HTTPStatus.OK,
        HTTPStatus.CREATED,
    }
    return CallRecord(
        entry=entry,
        status=answer.status if answer.is_ended else STATUS_BROKEN,
        outcome=_outcome(answer),
        code=answer.headers.get('code', ''),
        request_id=answer.headers.get(HEADER_REQUEST_ID, ''),
        is_whole=is_good and _is_whole(entry, number, answer),
        first_token_ms=answer.first_ms - begin_ms if answer.first_ms else 0,
        total_ms=now_ms() - begin_ms,
        retry_after_s=int(answer.headers.get('retry-after', 0)),
    )


def _outcome(answer: _Answer) -> str:
    if answer.is_ended:
        return answer.headers.get(HEADER_OUTCOME, 'none')
    return 'unknown'


def _is_whole(entry: TraceEntry, number: int, answer: _Answer) -> bool:
    if entry.path:
        return entry.idempotency_key in answer.body.decode(ENCODING)
    expected = expected_answer(entry.prompt(number), entry.output_tokens)
    if not entry.is_stream:
        whole = json.loads(answer.body)
        return bool(whole['choices'][0]['message']['content'] == expected)
    events = answer.body.decode(ENCODING).split('\n\n')
    pieces = [
        json.loads(event.removeprefix('data: '))
        for event in events
        if event and not event.endswith('[DONE]')
    ]
    text = ''.join(piece['choices'][0]['delta']['content'] for piece in pieces)
    return text == expected
