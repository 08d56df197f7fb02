"""Streams whose engines send something else than the next event."""

from collections.abc import Sequence
from http import HTTPStatus
from unittest.mock import patch

import pytest
from curio import sleep, socket, spawn

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.wire import Enqueue, Grant, Message
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)
from tests.platform.standins import (
    REQUEST_ID_HEADER,
    SEAL_HEADER,
    EngineStandin,
)

EVENTS = 5
RESUMABLE = '/guide/x'
RUNS_ONCE = '/note/x'
MARK = b'\xef\xbb\xbf'


def _event(number: int, line_end: bytes = b'\n', blank: bytes = b'\n') -> bytes:
    lines = [b'id: %d' % number, b'data: word %d' % number]
    return line_end.join([*lines, blank])


FIRST = _event(1)
TWO = FIRST + _event(2)
FOREIGN = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n',
    *(_event(number).replace(b'word', b'other') for number in range(1, 9)),
)
# What engines send for new streams, in chunks. A stream that ends before its
# last event breaks off there.
BEGINNINGS: dict[str, Sequence[bytes]] = {
    'gap': (FIRST, _event(2), _event(4), _event(5)),
    'gap in one chunk': (TWO + _event(4) + _event(5),),
    'second response': (TWO, *FOREIGN),
    'second response in one chunk': (TWO + b''.join(FOREIGN),),
    'second response without a head': (TWO, *FOREIGN[1:]),
    'no id': (TWO, b'data: other\n\n', _event(3)),
    'empty id': (TWO, b'id:\ndata: other\n\n', _event(3)),
    'id that is no number': (TWO, b'id: x\ndata: other\n\n', _event(3)),
    'negative id': (TWO, b'id: -3\ndata: other\n\n', _event(3)),
    'digit that is no number': (TWO, b'id: \xb2\ndata: other\n\n'),
    'long id': (TWO, b'id: %b\ndata: other\n\n' % (b'9' * 5000)),
    'ids that go back': (TWO, _event(3), FIRST, _event(2), _event(3)),
    'a chunk twice': (TWO, TWO, _event(3)),
    'an event twice': (TWO, _event(2), _event(3)),
    'noise': (TWO, bytes(range(128, 256)) + b'\n\n', _event(3)),
    'noise before an event': (TWO, b'noise\n' + _event(3)),
    'within the next event': (TWO, b'id: 3\ndata: wo'),
    'within an id': (TWO + b'id: 3',),
    'no end after the last event': [_event(each + 1) for each in range(EVENTS)],
    'mixed line ends': (
        _event(1, b'\n', b'\r\n') + _event(2, b'\n', b'\r\n') + _event(3),
    ),
    'carriage returns': (_event(1, b'\r', b'\r') + _event(2, b'\r', b'\r'),),
    'line feeds': (_event(1, b'\r\n', b'\r\n') + _event(2, b'\r\n', b'\n'),),
    'byte order mark': (MARK + FIRST,),
}
# What engines send for streams that go on, before the rest.
CONTINUATIONS: dict[str, bytes] = {
    'begins lower': FIRST,
    'begins at once': b'',
    'byte order mark': MARK,
}


class ScriptedEngine(EngineStandin):
    """An engine that sends given chunks for new streams."""

    def __init__(
        self, name: str, beginning: Sequence[bytes], resumed: bytes = b''
    ) -> None:
        super().__init__(name, events=EVENTS)
        self._beginning = beginning
        self._resumed = resumed

    async def _async_run(
        self, request: HttpRequest, caller: ServerConnection, fault: str
    ) -> None:
        headers = {
            REQUEST_ID_HEADER: request.headers[REQUEST_ID_HEADER],
            SEAL_HEADER: 'seal',
            'content-type': 'text/event-stream',
        }
        await caller.async_start_response(200, headers)
        last = int(request.headers.get('last-event-id', '0'))
        if not last:
            for chunk in self._beginning:
                await caller.async_send_chunk(chunk)
            caller.reset_on_close()
            return
        if self._resumed == FIRST:
            last = 0
        elif self._resumed:
            await caller.async_send_chunk(self._resumed)
        for number in range(last + 1, self.events + 1):
            await caller.async_send_chunk(_event(number))
        await caller.async_end_response()


async def _async_stream(
    fleet: PlatformFleet, path: str, **headers: str
) -> tuple[list[bytes], bool]:
    """Request a stream.

    :returns: its events with line feeds, and whether it is complete.
    """
    connection = await fleet.async_open()
    request = make_request(path, tokens=TOKEN_COUNTS, **headers)
    (await connection.async_send(request)).unwrap()
    head = (await connection.async_read_head()).unwrap()
    if head.status != HTTPStatus.OK:
        return [], False
    body = b''
    chunk = (await connection.async_read_chunk()).ok()
    while chunk:
        body += chunk
        chunk = (await connection.async_read_chunk()).ok()
    lines = body.removeprefix(MARK).replace(b'\r\n', b'\n').splitlines()
    events = b'\n'.join(lines).split(b'\n\n')
    return [each.strip() for each in events if each], chunk is not None


def _expected(count: int) -> list[bytes]:
    return [_event(number).strip() for number in range(1, count + 1)]


@pytest.mark.parametrize('beginning', BEGINNINGS)
def test_stream_holds_each_event_once_whatever_an_engine_sends(
    beginning: str,
) -> None:
    """Guards against events that are missing, repeated or of another stream."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        await fleet.async_replace_model_engines(
            [
                ScriptedEngine(f'desk-s{number}', BEGINNINGS[beginning])
                for number in range(2)
            ]
        )
        events, is_complete = await _async_stream(fleet, RESUMABLE)
        assert events == _expected(EVENTS)
        assert is_complete
        events, is_complete = await _async_stream(fleet, RUNS_ONCE)
        assert events == _expected(len(events))
        assert not is_complete

    _run()


@pytest.mark.parametrize('continuation', CONTINUATIONS)
def test_stream_that_goes_on_holds_each_event_once(continuation: str) -> None:
    """Guards against what an engine repeats when a stream goes on at it."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        resumed = CONTINUATIONS[continuation]
        await fleet.async_replace_model_engines(
            [
                ScriptedEngine(f'desk-s{number}', (TWO,), resumed)
                for number in range(2)
            ]
        )
        events, is_complete = await _async_stream(fleet, RESUMABLE)
        assert events == _expected(EVENTS)
        assert is_complete

    _run()


@on_platform()
async def test_whole_stream_that_is_taken_up_ends_at_once(
    fleet: PlatformFleet,
) -> None:
    """Guards against a failure where only the end of a stream was lost."""
    for engine in fleet.model_engines:
        engine.events = EVENTS
    got = await _async_stream(fleet, RESUMABLE, last_event_id=str(EVENTS))
    assert got == ([], True)
    assert sum(len(engine.executed) for engine in fleet.model_engines) == 1


@pytest.mark.parametrize(('last_event_id', 'count'), [('', 2), ('9', 0)])
def test_stream_that_ends_before_the_last_event_is_not_complete(
    last_event_id: str, count: int
) -> None:
    """Guards against an end that lies before what the caller has."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        engines = [
            ScriptedEngine(f'desk-s{number}', (TWO,), FIRST)
            for number in range(2)
        ]
        for engine in engines:
            engine.events = 1
        await fleet.async_replace_model_engines(engines)
        headers = {'last_event_id': last_event_id} if last_event_id else {}
        events, is_complete = await _async_stream(fleet, RESUMABLE, **headers)
        assert events == _expected(count)
        assert not is_complete

    _run()


@pytest.mark.parametrize('path', [RESUMABLE, RUNS_ONCE])
def test_stream_without_ids_does_not_begin_again(path: str) -> None:
    """Guards against a new run of a stream whose caller has its beginning."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        beginning = (b'data: one\n\n', b'data: two\n\n')
        engines = [
            ScriptedEngine(f'desk-s{number}', beginning) for number in range(2)
        ]
        await fleet.async_replace_model_engines(engines)
        events, is_complete = await _async_stream(fleet, path)
        assert events == [b'data: one', b'data: two']
        assert not is_complete
        assert sum(len(engine.executed) for engine in engines) == 1

    _run()


@on_platform()
async def test_stream_that_goes_on_after_an_error_ends_its_request(
    fleet: PlatformFleet,
) -> None:
    """Guards against a second response after a complete stream."""
    for engine in fleet.model_engines:
        engine.faults = ['error']
        other = next(each for each in fleet.model_engines if each is not engine)
        other.faults = []
        connection = await fleet.async_open()
        for _ in range(4):
            request = make_request(RESUMABLE, tokens=TOKEN_COUNTS)
            got = await connection.async_fetch(request)
            assert got.unwrap().status == HTTPStatus.OK
    assert not any(engine.faults for engine in fleet.model_engines)


async def _async_read_old_stream(
    fleet: PlatformFleet, sock: socket.socket, path: str
) -> tuple[bytes, bool]:
    """Request a stream as a caller of HTTP/1.0.

    :returns: what has come, and whether the connection was closed, not reset.
    """
    request = make_request(path, tokens=TOKEN_COUNTS)
    fields = [f'{name}: {text}' for name, text in request.headers.items()]
    lines = [f'POST {path} HTTP/1.0', *fields, 'content-length: 0', '', '']
    address = fleet.address(0)
    await sock.connect((address.host, address.port))
    await sock.sendall('\r\n'.join(lines).encode())
    received = b''
    try:
        while chunk := await sock.recv(65_536):
            received += chunk
    except ConnectionResetError:
        return received, False
    return received, True


@pytest.mark.parametrize(
    ('path', 'is_whole'), [(RESUMABLE, True), (RUNS_ONCE, False)]
)
def test_broken_stream_of_an_old_caller_is_reset(
    path: str, *, is_whole: bool
) -> None:
    """Guards against a broken stream that ends like a whole one."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        await fleet.async_replace_model_engines(
            [ScriptedEngine(f'desk-s{number}', (TWO,)) for number in range(2)]
        )
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            received, is_closed = await _async_read_old_stream(
                fleet, sock, path
            )
        assert received.count(b'data: ') == (EVENTS if is_whole else 2)
        assert is_closed == is_whole

    _run()


@on_platform()
async def test_stream_of_an_old_caller_is_reset_when_its_instance_ends(
    fleet: PlatformFleet,
) -> None:
    """Guards against a killed instance that looks like the end of a stream."""
    for engine in fleet.model_engines:
        engine.event_gap_s = 0.5
    async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        reading = await spawn(_async_read_old_stream, fleet, sock, RUNS_ONCE)
        await fleet.async_until(
            lambda: any(engine.executed for engine in fleet.model_engines)
        )
        await sleep(0.2)
        await fleet.gateways[0].async_kill()
        received, is_closed = await reading.join()
    assert received.count(b'data: ') == 1
    assert not is_closed


@on_platform()
async def test_deadline_between_the_last_event_and_the_end_breaks_a_stream(
    fleet: PlatformFleet,
) -> None:
    """Guards against a stream that its deadline makes look whole."""
    for engine in fleet.model_engines:
        engine.events = 1
        engine.event_gap_s = 1.0
    events, is_complete = await _async_stream(
        fleet, RUNS_ONCE, hornbeamdeck_deadline_ms='300'
    )
    assert events == _expected(1)
    assert not is_complete


class LengthEngine(EngineStandin):
    """An engine that announces a length and sends another."""

    def __init__(self, name: str, extra_bytes: int) -> None:
        super().__init__(name)
        self._announced_extra = extra_bytes

    async def _async_run(
        self, request: HttpRequest, caller: ServerConnection, fault: str
    ) -> None:
        last = int(request.headers.get('last-event-id', '0'))
        body = b''.join(_event(each) for each in range(last + 1, EVENTS + 1))
        length = len(body)
        if not last:
            body = TWO
            length = len(body) + self._announced_extra
        fields = (
            'HTTP/1.1 200 OK',
            f'{REQUEST_ID_HEADER}: {request.headers[REQUEST_ID_HEADER]}',
            f'{SEAL_HEADER}: seal',
            'content-type: text/event-stream',
            f'content-length: {length}\r\n\r\n',
        )
        await caller.sock.sendall('\r\n'.join(fields).encode() + body)


@pytest.mark.parametrize('extra_bytes', [-3, -(len(TWO) - len(FIRST)) + 2, 9])
def test_stream_of_another_length_than_announced_goes_on(
    extra_bytes: int,
) -> None:
    """Guards against a length that ends a stream within an event."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        await fleet.async_replace_model_engines(
            [LengthEngine(f'desk-l{number}', extra_bytes) for number in (1, 2)]
        )
        events, is_complete = await _async_stream(fleet, RESUMABLE)
        assert events == _expected(EVENTS)
        assert is_complete

    _run()


@on_platform()
async def test_grant_for_an_earlier_attempt_is_not_used(
    fleet: PlatformFleet,
) -> None:
    """Guards against a stream that goes on at the engine that broke it."""
    engines = [ScriptedEngine(f'desk-s{number}', (TWO,)) for number in (1, 2)]
    await fleet.async_replace_model_engines(engines)
    grants = fleet.gateways[0].components.grants
    async_send = grants.link.async_send
    late: list[str] = []

    async def _async_grant_again(owner: str, message: Message) -> None:
        if isinstance(message, Enqueue) and message.excluded and not late:
            late.extend(message.excluded)
            engine = next(each for each in engines if each.name == late[0])
            grant = Grant(
                request_id=message.request_id,
                cell=message.cell,
                upstream=engine.name,
                address=str(engine.address),
                born_ms=1,
                version='v1',
            )
            await grants.async_receive(owner, grant)
            return
        await async_send(owner, message)

    with patch.object(grants.link, 'async_send', _async_grant_again):
        events, is_complete = await _async_stream(fleet, RESUMABLE)
    assert late
    assert [len(engine.executed) for engine in engines] == [1, 1]
    assert events == _expected(EVENTS)
    assert is_complete
