"""Responses with neither a length nor chunks, which end with the connection."""

import pytest

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
    REQUEST_ID_HEADER,
    SEAL_HEADER,
    EngineStandin,
)

EVENTS = 3
WHOLE = '3'


class UnframedEngine(EngineStandin):
    """An engine whose responses end with their connection.

    `begun_end` tells for new streams after how many events they end, and how:
    `3` closes after three, `1.` within the second, `1!` resets after the first.
    `resumed_end` is the same for streams that go on.
    """

    def __init__(
        self, name: str, begun_end: str, resumed_end: str = WHOLE
    ) -> None:
        super().__init__(name)
        self._begun_end = begun_end
        self._resumed_end = resumed_end

    async def _async_run(
        self, request: HttpRequest, caller: ServerConnection, fault: str
    ) -> None:
        first = int(request.headers.get('last-event-id', '0')) + 1
        end = self._begun_end if first == 1 else self._resumed_end
        events = [self._event(number) for number in range(first, EVENTS + 1)]
        head = (
            f'HTTP/1.1 200 OK\r\n'
            f'{REQUEST_ID_HEADER}: {request.headers[REQUEST_ID_HEADER]}\r\n'
            f'{SEAL_HEADER}: seal\r\n'
            f'content-type: text/event-stream\r\n\r\n'
        )
        sent = events[: int(end[0])]
        if end.endswith('.'):
            sent.append(events[len(sent)][:9])
        sock = caller._sock  # noqa: SLF001
        await sock.sendall(b''.join([head.encode(), *sent]))
        if end.endswith('!'):
            caller.reset_on_close()


async def _async_call(
    fleet: PlatformFleet, gateway: int = 0
) -> tuple[list[bytes], bool]:
    """Request a resumable stream.

    :returns: its events, and whether the response is complete.
    """
    connection = await fleet.async_open(gateway)
    request = make_request('/guide/x', tokens=TOKEN_COUNTS)
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


@pytest.mark.parametrize(('end', 'is_whole'), [(WHOLE, True), ('1!', False)])
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
