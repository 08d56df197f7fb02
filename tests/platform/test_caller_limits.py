"""Limits of kept connections of callers while the configuration changes."""

from contextlib import suppress

import pytest
from curio import open_connection, sleep, socket, timeout_after

from hornbeamdeck.connection import reader
from hornbeamdeck.connection.client import ClientConnection
from tests.platform.fleet import PlatformFleet, make_request, on_platform
from tests.platform.standins import document

PATH = '/open/x'


async def _async_limit(fleet: PlatformFleet, **limits: int) -> None:
    """Write a configuration with other limits; wait until it is in force."""
    changed = document()
    changed['limits'].update(limits)
    version = max(
        gateway.components.follower.configuration.version
        for gateway in fleet.gateways
    )
    await fleet.store.async_put('config', 'main', changed)
    await fleet.async_until(
        lambda: all(
            gateway.components.follower.configuration.version > version
            for gateway in fleet.gateways
        )
    )


async def _async_call(
    connection: ClientConnection, body_bytes: int = 2, **headers: str
) -> int:
    request = make_request(PATH, **headers)._replace(body=b'x' * body_bytes)
    return (await connection.async_fetch(request)).unwrap().status


@on_platform()
async def test_kept_connection_gets_a_larger_body_limit(
    fleet: PlatformFleet,
) -> None:
    """Guards against a body refused for a limit that is no longer in force."""
    await _async_limit(fleet, max_body_bytes=1000)
    connection = await fleet.async_open()
    assert await _async_call(connection) == 200
    await _async_limit(fleet, max_body_bytes=10_000)
    assert await _async_call(connection, 5000) == 200


@on_platform()
async def test_kept_connection_gets_a_smaller_body_limit(
    fleet: PlatformFleet,
) -> None:
    """Guards against a connection that keeps the limits of its accept."""
    connection = await fleet.async_open()
    assert await _async_call(connection) == 200
    await _async_limit(fleet, max_body_bytes=1000)
    assert await _async_call(connection, 5000) == 413


def _make_head(*fields: str) -> bytes:
    lines = (
        f'POST {PATH} HTTP/1.1',
        'host: walks.example',
        'hornbeamdeck-request-id: id-1',
        *fields,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


async def _async_call_in_parts(caller: socket.socket, padding: str) -> int:
    """Send a head in two parts; return the status of the response."""
    head = _make_head('content-length: 0', f'padding: {padding}')
    await caller.sendall(head[:-4])
    await sleep(0.1)
    # Its connection is closed before this if the first part is too large.
    with suppress(OSError):
        await caller.sendall(head[-4:])
    return int((await caller.recv(65_536)).split()[1])


@pytest.mark.parametrize(
    ('first', 'second', 'status'),
    [(16_384, 32_768, 200), (32_768, 16_384, 431)],
)
def test_kept_connection_gets_another_header_limit(
    first: int, second: int, status: int
) -> None:
    """Guards against a connection that keeps the limits of its accept."""

    @on_platform()
    async def _async_scenario(fleet: PlatformFleet) -> None:
        await _async_limit(fleet, max_header_bytes=first)
        async with await open_connection(*fleet.address(0)) as caller:
            assert await _async_call_in_parts(caller, '') == 200
            await _async_limit(fleet, max_header_bytes=second)
            assert await _async_call_in_parts(caller, 'x' * 24_000) == status

    _async_scenario()


@on_platform()
async def test_slow_head_is_refused_after_the_limit_for_heads(
    fleet: PlatformFleet,
) -> None:
    """Guards against a limit that the configuration sets and no code reads."""
    await _async_limit(fleet, header_timeout_ms=200)
    async with await open_connection(*fleet.address(0)) as caller:
        await caller.sendall(b'POST /open/x HTTP/1.1\r\n')
        status_line = await timeout_after(5, caller.recv, 65_536)
    assert status_line.split()[1] == b'408'


@on_platform()
async def test_slow_body_is_not_refused_after_the_limit_for_heads(
    fleet: PlatformFleet,
) -> None:
    """Guards against a limit on heads that ends long bodies."""
    await _async_limit(fleet, header_timeout_ms=200)
    head = _make_head('content-length: 2')
    async with await open_connection(*fleet.address(0)) as caller:
        await caller.sendall(head + b'{')
        await sleep(0.5)
        await caller.sendall(b'}')
        assert (await caller.recv(65_536)).split()[1] == b'200'


@on_platform(count=0)
async def test_connection_accepted_before_the_first_configuration_gets_it(
    fleet: PlatformFleet,
) -> None:
    """Guards against default limits on a connection for its whole life."""
    await fleet.store.async_remove('config', 'main')
    await fleet.async_add_gateway(0)
    connection = await fleet.async_open()
    await sleep(0.1)
    await _async_limit(fleet, max_body_bytes=1000)
    await fleet.async_until(lambda: fleet.gateways[0].is_ready)
    assert await _async_call(connection, 5000) == 413


@on_platform()
async def test_idle_connection_gets_a_longer_idle_limit(
    fleet: PlatformFleet,
) -> None:
    """Guards against closing what its caller may take for open."""
    await _async_limit(fleet, idle_timeout_ms=500)
    connection = await fleet.async_open()
    assert await _async_call(connection) == 200
    await _async_limit(fleet, idle_timeout_ms=15_000)
    await sleep(1)
    assert await _async_call(connection) == 200


def test_idle_connection_gets_a_shorter_idle_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that is held for the limit of its accept."""
    monkeypatch.setattr(reader, 'MAX_IDLE_WAIT_MS', 100, raising=False)

    @on_platform()
    async def _async_scenario(fleet: PlatformFleet) -> None:
        connection = await fleet.async_open()
        assert await _async_call(connection) == 200
        await _async_limit(fleet, idle_timeout_ms=300)
        await fleet.async_until(lambda: not connection.has_no_pending_input())

    _async_scenario()
