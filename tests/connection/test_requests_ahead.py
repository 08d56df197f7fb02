"""Callers that send requests while earlier ones are being answered."""

from unittest.mock import patch

from curio import Event, Task, sleep, socket, spawn
from curio.errors import TaskCancelled

from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.reader import MAX_AHEAD_BYTES, ReadLimits
from hornbeamdeck.connection.request_loop import async_serve_requests
from hornbeamdeck.connection.server import ServerConnection
from tests.support import curio_test

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
REQUESTS = 10_000
# More than the operating system takes.
UNTAKEN_BODY = bytes(16_777_216)
SHORT_MS = 50
WRITE_TIMEOUT = 'hornbeamdeck.connection.server.WRITE_TIMEOUT_MS'
SETTLE_S = 0.05
WAIT_S = 0.02


def _to_response(bad: BadRequest) -> HttpResponse:
    return HttpResponse(bad.status, {}, b'')


class _Server:
    """Serves one connection; each response waits until it is released."""

    def __init__(self) -> None:
        self.begun = 0
        self.cancelled = 0
        self.release = Event()

    async def async_handle(
        self, _request: HttpRequest, caller: ServerConnection
    ) -> None:
        self.begun += 1
        try:
            await self.release.wait()
        except TaskCancelled:
            self.cancelled += 1
            raise
        await caller.async_respond(HttpResponse(200, {}, b''))

    async def async_start(self, sock: socket.socket) -> Task:
        return await spawn(
            async_serve_requests,
            sock,
            self.async_handle,
            _to_response,
            daemon=True,
        )


async def _async_send_all(sock: socket.socket) -> None:
    await sock.sendall(REQUEST * REQUESTS)


async def _async_count_sent(sock: socket.socket) -> int:
    """Send until nothing more is taken; return how many bytes were."""
    sent = 0
    pending = REQUEST * REQUESTS
    while True:
        try:
            sent += sock._socket.send(pending[sent:])  # noqa: SLF001
        except BlockingIOError:
            return sent
        await sleep(0)


@curio_test
async def test_requests_sent_ahead_stay_with_their_caller() -> None:
    """Guards against a process that buffers whatever a caller pipelines."""
    server_sock, caller_sock = socket.socketpair()
    requests = _Server()
    async with server_sock, caller_sock:
        task = await requests.async_start(server_sock)
        await caller_sock.sendall(REQUEST)
        await sleep(SETTLE_S)
        before = await _async_count_sent(caller_sock)
        await sleep(SETTLE_S)
        after = before + await _async_count_sent(caller_sock)
        await task.cancel()
    assert requests.begun == 1
    assert after - before <= MAX_AHEAD_BYTES


@curio_test
async def test_requests_sent_ahead_are_answered_in_turn() -> None:
    """Guards against requests that are lost while their caller waits."""
    server_sock, caller_sock = socket.socketpair()
    requests = _Server()
    async with server_sock, caller_sock:
        task = await requests.async_start(server_sock)
        sending = await spawn(_async_send_all, caller_sock)
        await sleep(SETTLE_S)
        await requests.release.set()
        received = b''
        while received.count(b'HTTP/1.1 200') < REQUESTS:
            received += await caller_sock.recv(MAX_AHEAD_BYTES)
        await sending.join()
        await task.cancel()
    assert requests.begun == REQUESTS


@curio_test
async def test_caller_that_leaves_behind_requests_ahead_is_noticed() -> None:
    """Guards against runs that go on after a caller with unread requests."""
    server_sock, caller_sock = socket.socketpair()
    requests = _Server()
    async with server_sock:
        async with caller_sock:
            task = await requests.async_start(server_sock)
            sending = await spawn(_async_send_all, caller_sock)
            await sleep(SETTLE_S)
            await sending.cancel()
        while not requests.cancelled:
            await sleep(WAIT_S)
        await task.wait()
    assert requests.begun == 1


@curio_test
async def test_no_response_follows_one_that_was_not_taken() -> None:
    """Guards against a response in the middle of the one before it."""
    server_sock, caller_sock = socket.socketpair()
    begun: list[HttpRequest] = []

    async def _async_handle(
        request: HttpRequest, caller: ServerConnection
    ) -> None:
        begun.append(request)
        await caller.async_respond(HttpResponse(200, {}, UNTAKEN_BODY))

    async with server_sock, caller_sock:
        await caller_sock.sendall(REQUEST * 2)
        with patch(WRITE_TIMEOUT, SHORT_MS):
            await async_serve_requests(
                server_sock,
                _async_handle,
                _to_response,
                lambda: ReadLimits(idle_ms=SHORT_MS),
            )
    assert len(begun) == 1
