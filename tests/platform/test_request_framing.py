"""Where requests end, and what of them reaches an engine."""

import re

import pytest
from curio import open_connection, sleep, timeout_after
from curio.errors import TaskTimeout

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.server import ServerConnection
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import EngineStandin

HIDDEN = 'POST /open/hidden HTTP/1.1\r\nHost: walks.example\r\n\r\n'
CHUNK = '2\r\n{}\r\n'
CHUNKED = 'Transfer-Encoding: chunked'


def _make_request(*fields: str, body: str = '', version: str = '1.1') -> bytes:
    lines = (
        f'POST /open/x HTTP/{version}',
        'Host: walks.example',
        'Hornbeamdeck-Request-Id: id-1',
        *fields,
        '',
        body,
    )
    return '\r\n'.join(lines).encode('latin-1')


async def _async_exchange(fleet: PlatformFleet, sent: bytes) -> list[int]:
    """Send bytes; return the statuses of all responses on the connection."""
    received = b''
    async with await open_connection(*fleet.address(0)) as caller:
        await caller.sendall(sent)
        try:
            while chunk := await timeout_after(0.5, caller.recv, 65_536):
                received += chunk
        except (TaskTimeout, OSError):
            await sleep(0)
    return [
        int(status) for status in re.findall(rb'HTTP/1\.1 (\d+) ', received)
    ]


def _executed(fleet: PlatformFleet) -> list[HttpRequest]:
    return [
        request
        for engine in fleet.booking_engines
        for request in engine.executed
    ]


SOUND = {
    'extension': (CHUNKED, '2;a=b;c="d;e"\r\n{}\r\n0;last\r\n\r\n'),
    'trailers': (
        CHUNKED,
        f'{CHUNK}0\r\nHornbeamdeck-Tenant: x\r\nHost: x.example\r\n\r\n',
    ),
    'framing in trailers': (
        CHUNKED,
        f'{CHUNK}0\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n',
    ),
    'zeros before a size': (CHUNKED, '0002\r\n{}\r\n000\r\n\r\n'),
    'case of names': ('tRANSFER-eNCODING: Chunked', f'{CHUNK}0\r\n\r\n'),
    'zeros before a length': ('Content-Length: 0002', '{}'),
    'length twice': ('Content-Length: 2\r\nContent-Length: 2', '{}'),
    'list of one length': ('Content-Length: 2, 2', '{}'),
    'another protocol': (
        'Connection: upgrade\r\nUpgrade: x\r\nContent-Length: 2',
        '{}',
    ),
}


@pytest.mark.parametrize('name', SOUND)
def test_body_reaches_the_engine_however_it_is_framed(name: str) -> None:
    """Guards against bodies that are cut or get bytes that are none of them."""

    @on_platform()
    async def _async_scenario(fleet: PlatformFleet) -> None:
        field, body = SOUND[name]
        sent = _make_request(field, body=body)
        # Another one shows that the end of the first was found.
        statuses = await _async_exchange(fleet, sent * 2)
        assert statuses == [200, 200]
        assert [each.body for each in _executed(fleet)] == [b'{}'] * 2
        for request in _executed(fleet):
            assert request.headers['host'] == 'walks.example'
            assert request.headers['content-length'] == '2'
            assert 'transfer-encoding' not in request.headers
            assert 'hornbeamdeck-tenant' not in request.headers

    _async_scenario()


REFUSED = {
    'two lengths': ('Content-Length: 0\r\nContent-Length: 54', HIDDEN),
    'list of two lengths': ('Content-Length: 0, 54', HIDDEN),
    'sign': ('Content-Length: +54', HIDDEN),
    'negative': ('Content-Length: -1', HIDDEN),
    'hexadecimal': ('Content-Length: 0x36', HIDDEN),
    'underscore': ('Content-Length: 5_4', HIDDEN),
    'empty length': ('Content-Length:', HIDDEN),
    'digits of another script': ('Content-Length: \xb2', HIDDEN),
    'length and chunks': (
        f'Content-Length: 5\r\n{CHUNKED}',
        f'0\r\n\r\n{HIDDEN}',
    ),
    'chunks and length': (
        f'{CHUNKED}\r\nContent-Length: 5',
        f'0\r\n\r\n{HIDDEN}',
    ),
    'space before a colon': ('Content-Length : 54', HIDDEN),
    'coding of another name': ('Transfer-Encoding: xchunked', HIDDEN),
    'two codings': ('Transfer-Encoding: gzip, chunked', HIDDEN),
    'coding twice': (f'{CHUNKED}\r\n{CHUNKED}', f'0\r\n\r\n{HIDDEN}'),
    'vertical tab': ('Transfer-Encoding: \x0bchunked', HIDDEN),
    'no size': (CHUNKED, f'x\r\n{HIDDEN}'),
    'size with a sign': (CHUNKED, f'+0\r\n\r\n{HIDDEN}'),
    'size with a prefix': (CHUNKED, f'0x0\r\n\r\n{HIDDEN}'),
    'chunk longer than its size': (CHUNKED, f'1\r\n{{}}\r\n0\r\n\r\n{HIDDEN}'),
    'huge size': (CHUNKED, f'{"f" * 40}\r\n{HIDDEN}'),
    'no name of a field': (': a', HIDDEN),
    'carriage return in a value': ('A: b\rContent-Length: 54', HIDDEN),
    'null in a value': ('A: b\x00c', HIDDEN),
    'two hosts': ('Host: other.example', HIDDEN),
}


@pytest.mark.parametrize('name', REFUSED)
def test_request_with_unclear_end_is_refused(name: str) -> None:
    """Guards against a second request that is hidden in another one."""

    @on_platform()
    async def _async_scenario(fleet: PlatformFleet) -> None:
        field, body = REFUSED[name]
        statuses = await _async_exchange(fleet, _make_request(field, body=body))
        assert len(statuses) == 1
        assert statuses[0] in {400, 413, 501}
        assert not _executed(fleet)

    _async_scenario()


@on_platform()
async def test_chunks_of_an_old_version_hide_no_request(
    fleet: PlatformFleet,
) -> None:
    """Guards against chunks in a version that has none."""
    sent = _make_request(CHUNKED, body=f'0\r\n\r\n{HIDDEN}', version='1.0')
    statuses = await _async_exchange(fleet, sent)
    assert len(statuses) == 1
    paths = [request.path for request in _executed(fleet)]
    assert '/open/hidden' not in paths


@on_platform()
async def test_fields_reach_the_engine_in_any_case_and_joined(
    fleet: PlatformFleet,
) -> None:
    """Guards against fields that are lost or replaced by a later one."""
    sent = _make_request(
        'hORNBEAMDECK-mODEL: m',
        'X-Many: a',
        'x-many: b, c',
        'X-MANY:',
        'X-Spaced: \t d  e \t',
        'X-Latin: \xe9',
        'HORNBEAMDECK-TENANT: other',
        'hornbeamdeck-Expect-Instance: other',
        'Kv-FROM: 10.0.0.1:1/x',
        'Content-Length: 0',
    )
    assert await _async_exchange(fleet, sent) == [200]
    request = _executed(fleet)[0]
    assert request.headers['hornbeamdeck-model'] == 'm'
    assert request.headers['x-many'] == 'a, b, c,'
    assert request.headers['x-spaced'] == 'd  e'
    assert request.headers['x-latin'] == '\xe9'
    assert 'hornbeamdeck-tenant' not in request.headers
    assert request.headers['hornbeamdeck-expect-instance'] != 'other'
    assert 'kv-from' not in request.headers


class _RepeatingEngine(EngineStandin):
    """An engine whose responses repeat a field, at last with no value."""

    async def _async_run(
        self, request: HttpRequest, caller: ServerConnection, fault: str
    ) -> None:
        lines = (
            'HTTP/1.1 200 OK',
            'hornbeamdeck-request-id: id-1',
            'hornbeamdeck-response-seal: x',
            'x-many: a',
            'x-many:',
            'content-length: 0',
            '',
            '',
        )
        await caller.sock.sendall('\r\n'.join(lines).encode())
        await sleep(1)


@on_platform()
async def test_response_with_an_empty_repeated_field_is_passed_on(
    fleet: PlatformFleet,
) -> None:
    """Guards against a connection that ends after its request has run."""
    engine = _RepeatingEngine('counter-3')
    await engine.async_start()
    for replaced in fleet.booking_engines:
        await fleet.store.async_remove('servers', replaced.name)
    await fleet.store.async_put('servers', engine.name, engine.entry('counter'))
    cell = fleet.gateways[0].components.cells.cells['counter']
    await fleet.async_until(lambda: cell.loads.keys() == {engine.name})
    assert await _async_exchange(fleet, _make_request()) == [200]
