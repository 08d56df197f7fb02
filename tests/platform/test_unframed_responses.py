"""Responses with neither a length nor chunks, which end with the connection."""

import pytest
from curio import sleep, spawn

from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)
from tests.platform.partitions import Cut, partition
from tests.platform.standins import (
    REPORT_PATH,
    REQUEST_ID_HEADER,
    SEAL_HEADER,
    EngineStandin,
)

EVENTS = 3
WHOLE = '3'
RESUMABLE = '/guide/x'


class UnframedEngine(EngineStandin):
    """An engine whose responses end with their connection.

    `begun_end` tells for new streams after how many events they end, and how:
    `3` closes after three, `1.` within the second, `1!` resets after the first.
    `2x` is an engine that is killed after two, and `2r` one that starts again
    at once. `resumed_end` is the same for streams that go on. A response that
    is no stream has a body of as many lines. `resets` is how many questions
    whether the engine still runs are reset.
    """

    def __init__(
        self, name: str, begun_end: str, resumed_end: str = WHOLE
    ) -> None:
        super().__init__(name)
        self.resets = 0
        self._begun_end = begun_end
        self._resumed_end = resumed_end

    async def _async_handle(
        self, request: HttpRequest, caller: ServerConnection
    ) -> None:
        if request.path == REPORT_PATH and self.resets:
            self.resets -= 1
            caller.reset_on_close()
            return
        await super()._async_handle(request, caller)

    async def _async_run(
        self, request: HttpRequest, caller: ServerConnection, fault: str
    ) -> None:
        first = int(request.headers.get('last-event-id', '0')) + 1
        end = self._begun_end if first == 1 else self._resumed_end
        events = [self._event(number) for number in range(first, EVENTS + 1)]
        is_stream = 'hornbeamdeck-token-counts' in request.headers
        kind = 'text/event-stream' if is_stream else 'text/plain'
        head = (
            f'HTTP/1.1 200 OK\r\n'
            f'{REQUEST_ID_HEADER}: {request.headers[REQUEST_ID_HEADER]}\r\n'
            f'{SEAL_HEADER}: seal\r\n'
            f'content-type: {kind}\r\n\r\n'
        )
        sent = events[: int(end[0])]
        if end.endswith('.'):
            sent.append(events[len(sent)][:9])
        sock = caller._sock  # noqa: SLF001
        await sock.sendall(b''.join([head.encode(), *sent]))
        await sleep(self.event_gap_s)
        if end.endswith('!'):
            caller.reset_on_close()
        if end.endswith('x'):
            await self.async_stop()
        if end.endswith('r'):
            self._born += 1


async def _async_call(
    fleet: PlatformFleet, gateway: int = 0, path: str = RESUMABLE
) -> tuple[list[bytes], bool]:
    """Request a stream.

    :returns: its events, and whether the response is complete.
    """
    connection = await fleet.async_open(gateway)
    request = make_request(path, tokens=TOKEN_COUNTS)
    (await connection.async_send(request)).unwrap()
    head = await connection.async_read_head()
    if head.map_or(0, _status_of) != 200:
        return [], False
    body = b''
    chunk = (await connection.async_read_chunk()).ok()
    while chunk:
        body += chunk
        chunk = (await connection.async_read_chunk()).ok()
    return body.split(b'\n\n')[:-1], chunk is not None


def _status_of(head: HttpResponse) -> int:
    return head.status


@on_platform()
async def test_unframed_stream_that_ends_after_an_event_is_complete(
    fleet: PlatformFleet,
) -> None:
    """Guards against a whole stream that its caller gets as a broken one."""
    engine = UnframedEngine('desk-u1', WHOLE)
    await fleet.async_replace_model_engines([engine])
    events, is_complete = await _async_call(fleet)
    assert len(events) == EVENTS
    assert is_complete


@pytest.mark.parametrize('end', ['1.', '2!'])
def test_unframed_stream_that_breaks_goes_on_at_another_engine(
    end: str,
) -> None:
    """Guards against a broken stream that its caller gets as a whole one."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        await fleet.async_replace_model_engines(
            [UnframedEngine(f'desk-u{number}', end) for number in range(2)]
        )
        events, is_complete = await _async_call(fleet)
        assert len(events) == EVENTS
        assert is_complete

    _run()


@pytest.mark.parametrize('end', ['2x', '2r'])
@pytest.mark.parametrize(
    ('path', 'count'), [(RESUMABLE, EVENTS), ('/note/x', 2)]
)
def test_unframed_stream_of_a_killed_engine_is_not_complete(
    end: str, path: str, count: int
) -> None:
    """Guards against a killed engine that looks like the end of its stream."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        engines = [UnframedEngine(f'desk-u{number}', end) for number in (1, 2)]
        for engine in engines:
            # Time for its statement, without which no stream goes on.
            engine.event_gap_s = 0.1
        await fleet.async_replace_model_engines(engines)
        events, is_complete = await _async_call(fleet, path=path)
        assert [event.splitlines()[0] for event in events] == [
            f'id: {number}'.encode() for number in range(1, count + 1)
        ]
        assert is_complete == (path == RESUMABLE)

    _run()


@pytest.mark.parametrize(('end', 'status'), [(WHOLE, 200), ('2x', 502)])
def test_unframed_body_of_a_killed_engine_is_not_complete(
    end: str, status: int
) -> None:
    """Guards against a body that ends where its engine was killed."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        engine = UnframedEngine('desk-u1', end)
        await fleet.async_replace_model_engines([engine])
        got = await fleet.async_call('/note/x')
        assert got.status == status

    _run()


@on_platform()
async def test_engines_are_asked_after_unframed_responses_only(
    fleet: PlatformFleet,
) -> None:
    """Guards against a question that costs a connection for each response."""
    for engine, connections in (
        (EngineStandin('desk-f1'), 1),
        (UnframedEngine('desk-u1', WHOLE), 2),
    ):
        await fleet.async_replace_model_engines([engine])
        # Whoever may not go on elsewhere needs no other statement.
        assert (await _async_call(fleet, path='/note/x'))[1]
        assert engine.connections == connections


@pytest.mark.parametrize(('resets', 'is_whole'), [(1, True), (2, False)])
def test_engine_that_resets_the_question_is_asked_once_more(
    resets: int, *, is_whole: bool
) -> None:
    """Guards against taking an engine with many connections for ended."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        engine = UnframedEngine('desk-u1', WHOLE)
        engine.resets = resets
        await fleet.async_replace_model_engines([engine])
        events, is_complete = await _async_call(fleet, path='/note/x')
        assert len(events) == EVENTS
        assert is_complete == is_whole

    _run()


@on_platform(count=2)
async def test_engine_is_asked_through_another_instance(
    fleet: PlatformFleet,
) -> None:
    """Guards against broken streams where only new connections are refused."""
    engine = UnframedEngine('desk-u1', WHOLE)
    engine.event_gap_s = 0.3
    await fleet.async_replace_model_engines([engine])
    calling = await spawn(_async_call, fleet)
    await fleet.async_until(lambda: bool(engine.executed))
    with partition(fleet, {0}, Cut.NEW_REFUSED):
        events, is_complete = await calling.join()
    assert len(events) == EVENTS
    assert is_complete
    assert fleet.gateways[0].dialer.tunnels_opened == 1


@pytest.mark.parametrize('resumed_end', ['0', '0.', '0!'])
def test_resumed_stream_without_an_event_is_not_complete(
    resumed_end: str,
) -> None:
    """Guards against a crash before the first event that looks like an end."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        await fleet.async_replace_model_engines(
            [
                UnframedEngine(f'desk-u{number}', '1.', resumed_end)
                for number in range(2)
            ]
        )
        events, is_complete = await _async_call(fleet)
        assert len(events) == 1
        assert not is_complete

    _run()


@pytest.mark.parametrize(
    ('end', 'is_whole'), [(WHOLE, True), ('1!', False), ('1x', False)]
)
def test_end_of_an_unframed_stream_is_kept_by_a_tunnel(
    end: str, *, is_whole: bool
) -> None:
    """Guards against a relay that turns a reset into the end of a stream."""

    @on_platform(count=2)
    async def _run(fleet: PlatformFleet) -> None:
        engine = UnframedEngine('desk-u1', end)
        await fleet.async_replace_model_engines([engine])
        with partition(fleet, {0}, Cut.RESET):
            for _ in range(2):
                await fleet.async_call('/seats/x', 0)
            events, is_complete = await _async_call(fleet)
        assert len(events) == (EVENTS if is_whole else 1)
        assert is_complete == is_whole
        assert fleet.gateways[0].dialer.tunnels_opened

    _run()
