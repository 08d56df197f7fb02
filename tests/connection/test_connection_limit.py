"""Listeners whose callers keep more connections than they may."""

import math
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from unittest.mock import patch

from curio import TaskGroup, run, sleep, socket

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import async_setup_listener
from hornbeamdeck.connection.request_loop import async_serve_requests
from hornbeamdeck.connection.server import ServerConnection
from tests.support import async_fetch

ANY_LOCAL_PORT = Address('127.0.0.1', 0)
MOST = 20
FLOOD = 60
# What a listener accepts beyond its limit.
SURPLUS = 8
TIMEOUT_MS = 2000
LONG_IDLE_S = 1.1
READ_BYTES = 4096
SLOW = b'GET /?5 HTTP/1.1\r\nhost: x\r\n\r\n'
BRIEF = b'GET /?0.05 HTTP/1.1\r\nhost: x\r\n\r\n'
ENCODED = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
REQUEST = HttpRequest('GET', '/', '', {}, b'')

Scenario = Callable[[Address, ConnectionLimit, AsyncExitStack], Awaitable[None]]


def _on_limited_listener(scenario: Scenario) -> Callable[[], None]:
    """Run a scenario with a listener that allows `MOST` connections.

    The listener answers at once, and marks responses as a gateway does.
    """

    async def _async_scenario() -> None:
        connections = ConnectionLimit(lambda _open_count: MOST)

        async def _async_respond(
            request: HttpRequest, caller: ServerConnection
        ) -> None:
            if connections.is_crowded:
                caller.close_after_response()
            await sleep(float(request.query or 0))
            status = 503 if connections.is_exhausted else 200
            await caller.async_respond(HttpResponse(status, {}, b''))

        async def _async_serve(sock: socket.socket) -> None:
            await async_serve_requests(
                sock,
                _async_respond,
                lambda bad: HttpResponse(bad.status, {}, b''),
                connections=connections,
            )

        listener = await async_setup_listener(
            ANY_LOCAL_PORT, _async_serve, connections
        )
        async with AsyncExitStack() as opened:
            await scenario(listener.address, connections, opened)
        await listener.async_unload()

    def _run() -> None:
        run(_async_scenario)

    _run.__doc__ = scenario.__doc__
    return _run


async def _async_flood(
    address: Address, opened: AsyncExitStack, count: int
) -> list[socket.socket]:
    """Open connections and send nothing on them."""
    flood = []
    for _ in range(count):
        connected = await async_connect(address, timeout_ms=TIMEOUT_MS)
        flood.append(await opened.enter_async_context(connected.unwrap()))
        await sleep(0)
    return flood


async def _async_read_head(sock: socket.socket) -> bytes:
    """Read the head of a response, which comes in one piece."""
    return bytes(
        await async_with_timeout(TIMEOUT_MS, sock.recv(READ_BYTES))
    ).lower()


async def _async_is_closed(sock: socket.socket) -> bool:
    return not await async_with_timeout(TIMEOUT_MS, sock.recv(1))


@_on_limited_listener
async def test_idle_connections_beyond_the_limit_are_ended(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against idle callers that take the descriptors of a process."""
    flood = await _async_flood(address, opened, MOST)
    await sleep(LONG_IDLE_S)
    for each in flood:
        assert (await async_fetch(address, REQUEST)).status == 200
        assert connections.open_count <= MOST + 1
        assert await _async_is_closed(each)
        await opened.enter_async_context(
            (await async_connect(address, timeout_ms=TIMEOUT_MS)).unwrap()
        )


@_on_limited_listener
async def test_callers_are_answered_while_others_flood_the_listener(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against a flood of new connections that keeps out all callers."""
    await _async_flood(address, opened, FLOOD)
    assert (await async_fetch(address, REQUEST)).status == 200
    assert connections.open_count < FLOOD


@_on_limited_listener
async def test_responses_end_their_connection_near_the_limit(
    address: Address, _connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against callers that lose a connection they rely on."""
    response = await async_fetch(address, REQUEST)
    assert 'connection' not in response.headers
    for each in await _async_flood(address, opened, MOST - 1):
        await each.sendall(ENCODED)
        assert await async_with_timeout(TIMEOUT_MS, each.recv(1))
    response = await async_fetch(address, REQUEST)
    assert response.headers['connection'] == 'close'


@_on_limited_listener
async def test_a_flood_does_not_end_connections_in_use(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against idle newcomers that take the place of known callers."""
    kept = (await _async_flood(address, opened, 1))[0]
    await kept.sendall(ENCODED)
    assert await async_with_timeout(TIMEOUT_MS, kept.recv(READ_BYTES))
    await sleep(LONG_IDLE_S)
    await _async_flood(address, opened, FLOOD)
    await kept.sendall(ENCODED)
    answered = await async_with_timeout(TIMEOUT_MS, kept.recv(READ_BYTES))
    assert answered.startswith(b'HTTP/1.1 200')
    assert b'connection: close' not in answered
    assert connections.open_count < FLOOD


@_on_limited_listener
async def test_requests_beyond_the_limit_are_refused(
    address: Address, _connections: ConnectionLimit, _opened: AsyncExitStack
) -> None:
    """Guards against callers that get no answer while all others are busy."""
    slow = REQUEST._replace(query='1')
    async with TaskGroup() as callers:
        for _ in range(MOST):
            await callers.spawn(async_fetch, address, slow)
        await sleep(0.3)
        response = await async_fetch(address, REQUEST)
    assert response.status == 503
    assert {each.status for each in callers.results} == {200}


@_on_limited_listener
async def test_limit_counts_what_is_open(
    address: Address, connections: ConnectionLimit, _opened: AsyncExitStack
) -> None:
    """Guards against a limit that closed connections use up."""
    for number in range(FLOOD):
        connected = await async_connect(address, timeout_ms=TIMEOUT_MS)
        async with connected.unwrap() as sock:
            await sock.sendall(b'GET' if number % 2 else b'')
            await sleep(0)
    await sleep(0.1)
    assert connections.open_count == 0
    assert connections.busy_count == 0


@_on_limited_listener
async def test_unfinished_requests_make_room_for_others(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against callers that keep a place with a part of a request."""
    flood = await _async_flood(address, opened, MOST)
    for each in flood:
        await each.sendall(ENCODED[:-1])
    await sleep(LONG_IDLE_S)
    assert (await async_fetch(address, REQUEST)).status == 200
    refused = await async_with_timeout(TIMEOUT_MS, flood[0].recv(READ_BYTES))
    assert refused.startswith(b'HTTP/1.1 503')
    assert connections.open_count <= MOST + 1


@_on_limited_listener
async def test_request_that_ends_as_room_is_made_is_answered(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against whole requests that get neither response nor refusal."""
    caller = (await _async_flood(address, opened, 1))[0]
    await caller.sendall(BRIEF[:9])
    await sleep(0.1)
    # The listener has not read the rest when it ends the connection.
    await caller.sendall(BRIEF[9:])
    assert await connections.async_end_waiting(0)
    assert b'connection: close' in await _async_read_head(caller)


@_on_limited_listener
async def test_request_that_arrives_as_an_idle_connection_ends_is_answered(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against the same for a connection that has just been chosen."""
    caller = (await _async_flood(address, opened, 1))[0]
    await caller.sendall(ENCODED)
    await _async_read_head(caller)
    await sleep(0.1)
    with patch(f'{ConnectionLimit.__module__}.has_pending_input') as is_pending:
        is_pending.return_value = False
        await caller.sendall(BRIEF)
        assert await connections._async_end_first(connections._kept, 0)  # noqa: SLF001
    assert b'connection: close' in await _async_read_head(caller)


@_on_limited_listener
async def test_requests_that_arrive_slowly_are_read_while_there_is_room(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against a slow caller that is refused without a need."""
    slow = (await _async_flood(address, opened, 1))[0]
    await slow.sendall(ENCODED[:-1])
    await sleep(LONG_IDLE_S)
    assert (await async_fetch(address, REQUEST)).status == 200
    await slow.sendall(ENCODED[-1:])
    answered = await async_with_timeout(TIMEOUT_MS, slow.recv(READ_BYTES))
    assert answered.startswith(b'HTTP/1.1 200')
    assert not connections.closed_count


@_on_limited_listener
async def test_refused_callers_that_stay_make_room_for_others(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against a crowd whose bad requests keep all connections."""
    for _ in range(MOST + SURPLUS):
        refused = (await _async_flood(address, opened, 1))[0]
        await refused.sendall(b'BAD\r\n\r\n')
        assert await async_with_timeout(TIMEOUT_MS, refused.recv(READ_BYTES))
    assert (await async_fetch(address, REQUEST)).status == 200
    assert connections.closed_count


@_on_limited_listener
async def test_new_callers_do_not_wait_behind_those_that_are_served(
    address: Address, connections: ConnectionLimit, opened: AsyncExitStack
) -> None:
    """Guards against a listener that waits for room that never comes."""
    for _ in range(MOST + SURPLUS):
        await (await _async_flood(address, opened, 1))[0].sendall(SLOW)
    reading = connections.waiting(opened, lambda: None, lambda: math.inf)
    with reading:
        for _ in range(SURPLUS):
            refused = (await _async_flood(address, opened, 1))[0]
            assert await _async_is_closed(refused)
    assert connections.closed_count >= SURPLUS
