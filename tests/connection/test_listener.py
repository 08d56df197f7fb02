"""Connections that can't be accepted, and those that come after them."""

import errno
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import pytest
from curio import run, sleep, socket
from curio.io import Socket

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.address import Address, async_connect
from hornbeamdeck.connection.listener import Listener, async_setup_listener

ANY_LOCAL_PORT = Address('127.0.0.1', 0)
REPLY = b'served'
TIMEOUT_MS = 2000


@contextmanager
def _failing_accept(error: int, count: int) -> Iterator[None]:
    """Let the next `count` calls of `accept` fail with an error number."""
    accept = Socket.accept
    failures = [OSError(error, 'accept failed') for _ in range(count)]

    async def _async_accept(sock: Any) -> Any:
        if failures:
            raise failures.pop()
        return await accept(sock)

    with patch.object(Socket, 'accept', _async_accept):
        yield


async def _async_serve(sock: socket.socket) -> None:
    await sock.sendall(REPLY)


async def _async_ask(listener: Listener) -> bytes:
    connected = await async_connect(listener.address, timeout_ms=TIMEOUT_MS)
    async with connected.unwrap() as sock:
        received: bytes = await async_with_timeout(
            TIMEOUT_MS, sock.recv(len(REPLY))
        )
        return received


@pytest.mark.parametrize(
    'error',
    [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED],
)
def test_connections_are_accepted_after_one_could_not_be(error: int) -> None:
    """Guards against a listener that one failed accept ends for good."""

    async def _async_scenario() -> None:
        with _failing_accept(error, 3):
            listener = await async_setup_listener(ANY_LOCAL_PORT, _async_serve)
            assert await _async_ask(listener) == REPLY
            assert listener.accept_state.failures == 3
            assert listener.accept_state.is_accepting
        await listener.async_unload()

    run(_async_scenario)


def test_listener_that_can_not_accept_tells_so() -> None:
    """Guards against an instance that is ready but takes no connection."""

    async def _async_scenario() -> None:
        with _failing_accept(errno.EMFILE, 1000):
            listener = await async_setup_listener(ANY_LOCAL_PORT, _async_serve)
            state = listener.accept_state
            assert state.is_accepting
            await sleep(1.2)
            assert not state.is_accepting
        await sleep(0.6)
        assert state.is_accepting
        await listener.async_unload()

    run(_async_scenario)


class _FailingAdmission:
    """Counts connections, and fails for the first of them."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.open_count = 0

    async def async_add(self) -> bool:
        self.open_count += 1
        if self.failures:
            self.failures -= 1
            raise RuntimeError
        return True

    def remove(self) -> None:
        self.open_count -= 1


def test_connections_are_accepted_after_one_could_not_be_admitted() -> None:
    """Guards against an instance that is ready but takes no connection."""

    async def _async_scenario() -> None:
        admission = _FailingAdmission(2)
        listener = await async_setup_listener(
            ANY_LOCAL_PORT, _async_serve, admission
        )
        replies = [await _async_ask(listener) for _ in range(3)]
        assert replies == [b'', b'', REPLY]
        await sleep(0.05)
        assert not admission.open_count
        await listener.async_unload()

    run(_async_scenario)
