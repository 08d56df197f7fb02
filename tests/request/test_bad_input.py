"""Invalid input must get a specific error and not disturb the instance."""

import json

import pytest
from curio import socket

from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.const import HEADER_OUTCOME, HEADER_TIER
from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from tests.support import (
    GUIDES_AUTHORIZATION,
    async_fetch,
    completion_entry,
    on_fleet,
)

ONE = FleetPlan(instances=1, speeds=(1.0,))
GOOD = {'model': 'desk', 'messages': [{'role': 'user', 'content': 'cap?'}]}
DEEP = b'[' * 100_000


def _post(body: bytes, **headers: str) -> HttpRequest:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return HttpRequest(
        'POST',
        '/v1/chat/completions',
        '',
        {'authorization': GUIDES_AUTHORIZATION, **named},
        body,
    )


def _body_with(**changes: object) -> bytes:
    return json.dumps({**GOOD, **changes}).encode()


CASES = [
    ('not JSON', _post(b'{"model":'), 400, 'bad_request'),
    ('too deep', _post(DEEP), 400, 'bad_request'),
    ('no object', _post(b'[]'), 400, 'bad_request'),
    ('wrong type', _post(_body_with(max_tokens='many')), 400, 'bad_request'),
    ('no messages', _post(_body_with(messages=[])), 400, 'bad_request'),
    ('two prompts', _post(_body_with(prompt='a')), 400, 'bad_request'),
    ('no model', _post(_body_with(model='oak')), 404, 'unknown_service'),
    (
        'plain service',
        _post(_body_with(model='counter')),
        404,
        'unknown_service',
    ),
    ('no key', _post(_body_with(), authorization=''), 401, 'unauthorized'),
    (
        'wrong key',
        _post(_body_with(), authorization='Bearer x'),
        401,
        'unauthorized',
    ),
    (
        'no tier',
        _post(_body_with(), **{HEADER_TIER: 'royal'}),
        400,
        'unknown_tier',
    ),
    (
        'bad deadline',
        _post(_body_with(), hornbeamdeck_deadline_ms='soon'),
        400,
        'bad_request',
    ),
    (
        'GET',
        _post(_body_with())._replace(method='GET'),
        405,
        'method_not_allowed',
    ),
    (
        'no such path',
        _post(b'')._replace(path='/v2'),
        404,
        'no_such_path',
    ),
    (
        'booking without key',
        _post(b'{}')._replace(path='/services/counter/bookings'),
        400,
        'idempotency_key_needed',
    ),
    (
        'obfuscated booking path',
        _post(b'{}')._replace(path='/services/counter/x/..//%62ookings'),
        400,
        'idempotency_key_needed',
    ),
]


@on_fleet(ONE)
async def test_each_bad_request_gets_its_code(fleet: Fleet) -> None:
    """Guards against invalid requests that get a vague error or reach an
    upstream. Each must get its stable code and the outcome `not_run`.
    """
    address = fleet.instances[0].own.address
    for name, request, status, code in CASES:
        response = await async_fetch(address, request)
        problem = json.loads(response.body)
        received = (response.status, problem['type'])
        assert received == (status, f'urn:hornbeamdeck:{code}'), name
        assert response.headers[HEADER_OUTCOME] == 'not_run', name
    assert fleet.engines[0].batch.counters.runs == {}
    assert fleet.booking_service.runs == {}


async def _async_send_raw(address: Address, sent: bytes) -> bytes:
    connected = await async_connect(address, timeout_ms=1000)
    sock = connected.unwrap()
    async with sock:
        await sock.sendall(sent)
        await sock.shutdown(socket.SHUT_WR)
        return b''.join([chunk async for chunk in _received_chunks(sock)])


async def _received_chunks(sock: socket.socket):  # type: ignore[no-untyped-def]
    while chunk := await sock.recv(65536):
        yield chunk


@on_fleet(ONE)
async def test_malformed_bytes_do_not_disturb_the_instance(
    fleet: Fleet,
) -> None:
    """Guards against malformed bytes that disturb later callers. Scanners and
    broken proxies send data that is not HTTP, endless headers, or a body that
    is shorter than announced.
    """
    address = fleet.instances[0].own.address
    head = b'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
    endless = b'GET / HTTP/1.1\r\nx: ' + b'a' * 70_000
    large = head + b'content-length: 5000000\r\n\r\n' + b'a' * 5_000_000
    assert b' 400 ' in await _async_send_raw(
        address, b'\x16\x03\x01 hello\r\n\r\n'
    )
    assert b' 431 ' in await _async_send_raw(address, endless)
    assert b' 413 ' in await _async_send_raw(address, large)
    cut = head + b'content-length: 9\r\n\r\n{'
    assert b' 400 ' in await _async_send_raw(address, cut)
    assert (await async_call(completion_entry(), 1, address)).is_complete


@pytest.mark.parametrize(
    'sent',
    [b'\x00\x00\x00\x05hello', b'\xff\xff\xff\xff', b'GET / HTTP/1.1\r\n\r\n'],
)
def test_malformed_peer_frame_ends_its_connection(sent: bytes) -> None:
    """Guards against a malformed frame on the peer port that disturbs other
    connections. A client that is not an instance connects there; only its own
    connection is closed.
    """

    @on_fleet(ONE)
    async def _scenario(fleet: Fleet) -> None:
        own = fleet.instances[0].own
        await _async_send_raw(own.peer_address, sent)
        assert (
            await async_call(completion_entry(), 1, own.address)
        ).is_complete

    _scenario()
