"""What reaches an engine of a request: its target, headers and body."""

from typing import Any, cast

import pytest
from curio import open_connection, socket, timeout_after

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.partitions import Cut, partition
from tests.platform.standins import EngineStandin

TARGETS = (
    '/open/x',
    '/open/x?',
    '/open/x??',
    '/open/x?a=1&a=2&b',
    '/open/x?a=%2F&b=%00',
    '/open/x?#',
    '/open/x#?',
    '/open/?',
    '/open//x',
    '/open//',
    '/open/%2Fx',
    '/open/%2e%2e/seats/x',
    '/open/x;p=1',
    '/open/x%20y+z',
)
BODY = b'two words.'


class _RecordingSocket:
    """A socket that records what is received."""

    def __init__(self, sock: socket.socket, received: bytearray) -> None:
        self._sock = sock
        self._received = received

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    async def recv(self, max_bytes: int) -> bytes:
        """Receive bytes and record them."""
        received = bytes(await self._sock.recv(max_bytes))
        self._received += received
        return received


class RecordingEngine(EngineStandin):
    """An engine that keeps the bytes of all requests."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.received = bytearray()

    async def async_pace(self, sock: socket.socket) -> socket.socket:
        """Return a socket that records what is received."""
        return cast(socket.socket, _RecordingSocket(sock, self.received))

    @property
    def request_lines(self) -> list[str]:
        """Return the first lines of requests, but of those for a report."""
        lines = self.received.decode('latin-1').split('\r\n')
        return [
            line
            for line in lines
            if line.endswith(' HTTP/1.1') and '/v1/report' not in line
        ]


def _make_head(target: str, *fields: str, method: str = 'POST') -> bytes:
    lines = (
        f'{method} {target} HTTP/1.1',
        'Host: walks.example',
        'Hornbeamdeck-Request-Id: id-1',
        'Hornbeamdeck-Deadline-Ms: 3000',
        *fields,
        '',
        '',
    )
    return '\r\n'.join(lines).encode('latin-1')


def _request_line(target: str, method: str = 'POST') -> str:
    return f'{method} {target} HTTP/1.1'


async def _async_record(fleet: PlatformFleet) -> list[RecordingEngine]:
    """Serve calls by engines that record them."""
    for replaced in fleet.booking_engines:
        await fleet.store.async_remove('servers', replaced.name)
    engines = [RecordingEngine('counter-r1'), RecordingEngine('counter-r2')]
    fleet.booking_engines = list(engines)
    for engine in engines:
        await engine.async_start()
        entry = engine.entry('counter')
        await fleet.store.async_put('servers', engine.name, entry)
    names = {engine.name for engine in engines}
    await fleet.async_until(
        lambda: all(
            'counter' in gateway.components.cells.cells
            and gateway.components.cells.cells['counter'].loads.keys() == names
            for gateway in fleet.gateways
        )
    )
    return engines


async def _async_exchange(
    fleet: PlatformFleet, sent: bytes, gateway: int = 0
) -> bytes:
    """Send bytes on a new connection; return the start of the response."""
    async with await open_connection(*fleet.address(gateway)) as caller:
        await caller.sendall(sent)
        return bytes(await timeout_after(5, caller.recv, 65_536))


def _status(response: bytes) -> int:
    return int(response.split()[1])


def _lines(engines: list[RecordingEngine]) -> list[str]:
    return [line for engine in engines for line in engine.request_lines]


@on_platform()
async def test_targets_reach_the_engine_unchanged(
    fleet: PlatformFleet,
) -> None:
    """Guards against an engine that runs another target than was asked for."""
    engines = await _async_record(fleet)
    head = 'Content-Length: 0'
    for target in TARGETS:
        sent = _make_head(target, head)
        assert _status(await _async_exchange(fleet, sent)) == 200
    expected = [_request_line(target) for target in TARGETS]
    assert sorted(_lines(engines)) == sorted(expected)


@on_platform(count=2)
async def test_targets_pass_a_tunnel_unchanged(fleet: PlatformFleet) -> None:
    """Guards against a relay that makes another target of it."""
    engines = await _async_record(fleet)
    with partition(fleet, {0}, Cut.RESET):
        for target in TARGETS:
            sent = _make_head(target, 'Content-Length: 0')
            assert _status(await _async_exchange(fleet, sent)) == 200
    assert fleet.gateways[0].dialer.tunnels_opened
    expected = [_request_line(target) for target in TARGETS]
    assert sorted(_lines(engines)) == sorted(expected)


@pytest.mark.parametrize('fault', ['not_run', 'reset'])
def test_targets_reach_a_second_engine_unchanged(fault: str) -> None:
    """Guards against a retry with another target."""

    @on_platform()
    async def _async_scenario(fleet: PlatformFleet) -> None:
        engines = await _async_record(fleet)
        for engine in engines:
            engine.faults = [fault]
        target = '/seats/x?'
        key = 'Authorization: Bearer key-of-guides'
        sent = _make_head(target, 'Content-Length: 10', key) + BODY
        await _async_exchange(fleet, sent)
        lines = _lines(engines)
        assert len(lines) > 1
        assert set(lines) == {_request_line(target)}

    _async_scenario()


# Further forms of a target, and the request line that an engine gets of it.
FORMS = (
    ('http://walks.example/open/x', '/open/x'),
    ('http://walks.example/open/x?', '/open/x?'),
    ('http://walks.example/open/x?a=/', '/open/x?a=/'),
    ('HTTP://Walks.Example:80/open//x', '/open//x'),
    ('http://walks.example/open/http://x/y', '/open/http://x/y'),
)


@on_platform()
async def test_absolute_target_is_served_as_its_path(
    fleet: PlatformFleet,
) -> None:
    """Guards against 404 for a form that servers must accept."""
    engines = await _async_record(fleet)
    for target, _ in FORMS:
        sent = _make_head(target, 'Content-Length: 0')
        assert _status(await _async_exchange(fleet, sent)) == 200
    expected = [_request_line(target) for _, target in FORMS]
    assert sorted(_lines(engines)) == sorted(expected)


@on_platform()
async def test_host_of_an_absolute_target_counts(fleet: PlatformFleet) -> None:
    """Guards against an engine that takes the other of two hosts."""
    engines = await _async_record(fleet)
    sent = _make_head('http://other.example/open/x', 'Content-Length: 0')
    assert _status(await _async_exchange(fleet, sent)) == 404
    sent = _make_head('http://walks.example/open/x', 'Content-Length: 0')
    sent = sent.replace(b'Host: walks', b'Host: other')
    assert _status(await _async_exchange(fleet, sent)) == 200
    received = [bytes(engine.received) for engine in engines]
    assert b'other.example' not in b''.join(received)


@pytest.mark.parametrize(
    ('method', 'target'),
    [
        ('OPTIONS', '*'),
        ('POST', '*'),
        ('POST', 'open/x'),
        ('POST', '?/open/x'),
        ('POST', 'x:/open/x'),
        ('CONNECT', '/open/x'),
        ('CONNECT', 'walks.example:80'),
        ('CONNECT', 'http://walks.example/open/x'),
    ],
)
def test_target_without_a_path_reaches_no_engine(
    method: str, target: str
) -> None:
    """Guards against a route that is found in what is no path."""

    @on_platform()
    async def _async_scenario(fleet: PlatformFleet) -> None:
        engines = await _async_record(fleet)
        sent = _make_head(target, 'Content-Length: 0', method=method)
        response = await _async_exchange(fleet, sent)
        assert _status(response) in {400, 404, 405, 501}
        assert not _lines(engines)

    _async_scenario()
