"""Accepts connections and serves each in its own task."""

import math
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, Protocol, TypeAlias

import structlog
from curio import Task, sleep, socket, spawn

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address, bound_address, listen
from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('AcceptState', 'Listener', 'ServeConnection', 'async_setup_listener')

_LOGGER = structlog.get_logger(prefix='listener')

# Pause after a connection could not be accepted. A process without free
# descriptors would otherwise try again without end, and serve nobody.
ACCEPT_RETRY_MS: Final = 50
# A listener that has accepted nothing for so long does not serve any more.
MAX_FAILING_MS: Final = 1000
# If nothing has failed for so long, no caller waits to be accepted any more.
FAILURE_MEMORY_MS: Final = 10 * ACCEPT_RETRY_MS

ServeConnection: TypeAlias = Callable[[socket.socket], Awaitable[None]]
AsyncClose: TypeAlias = Callable[[], Awaitable[None]]


class ConnectionAdmission(Protocol):
    """Decides whether connections may stay open, and counts them."""

    async def async_add(self) -> bool:
        """Count a new connection; return whether it may stay open."""

    def remove(self) -> None:
        """Count a connection that is closed."""


class AcceptState:
    """Whether a listener can accept connections."""

    def __init__(self) -> None:
        """Start without a failure."""
        self.failures = 0
        self._failing_since_ms = math.inf
        self._last_failure_ms = -math.inf

    @property
    def is_accepting(self) -> bool:
        """Whether connections were accepted lately, if there were any."""
        now = now_ms()
        if now - self._last_failure_ms > FAILURE_MEMORY_MS:
            return True
        return now - self._failing_since_ms < MAX_FAILING_MS

    def record_accepted(self) -> None:
        """Record that a connection was accepted."""
        self._failing_since_ms = math.inf

    def record_failure(self) -> bool:
        """Record that a connection could not be accepted.

        :returns: whether it is the first failure since one was accepted.
        """
        self.failures += 1
        is_first = math.isinf(self._failing_since_ms)
        self._last_failure_ms = now_ms()
        if is_first:
            self._failing_since_ms = self._last_failure_ms
        return is_first


class Listener(NamedTuple):
    """A listening address and the functions that close it.

    :param async_stop_accepting: closes the listening socket; open connections
        stay open.
    :param async_unload: also cancels the tasks of open connections.
    """

    address: Address
    accept_state: AcceptState
    async_stop_accepting: AsyncClose
    async_unload: AsyncClose


async def async_setup_listener(
    address: Address,
    serve_connection: ServeConnection,
    connections: ConnectionAdmission | None = None,
) -> Listener:
    """Listen and serve each accepted connection in its own task.

    :param connections: limits the open connections; `None`: there is no limit.
    :raises OSError: if the address can't be bound.
    """
    sock = listen(address)
    accept_state = AcceptState()
    used_connections: ConnectionAdmission = connections or ConnectionLimit()
    tasks: set[Task] = set()

    async def _async_serve(
        client: socket.socket,
        own_task: list[Task],
    ) -> None:
        # An unexpected error in one connection must not end the others. The
        # caller sees its connection close; the log holds the traceback.
        try:
            async with client:
                await serve_connection(client)
        except Exception:
            _LOGGER.exception('connection failed')
        finally:
            used_connections.remove()
            tasks.discard(own_task[0])

    async def _async_accept() -> None:
        while True:
            client = await _async_accept_within(
                used_connections, sock, accept_state
            )
            # Filled after the spawn, because only then the task is known.
            own_task: list[Task] = []
            task = await spawn(_async_serve, client, own_task, daemon=True)
            own_task.append(task)
            tasks.add(task)

    accept_task = await spawn(_async_accept, daemon=True)

    async def _async_stop_accepting() -> None:
        await accept_task.cancel()
        await sock.close()

    async def _async_unload() -> None:
        await _async_stop_accepting()
        for task in tuple(tasks):
            await task.cancel()

    return Listener(
        bound_address(sock), accept_state, _async_stop_accepting, _async_unload
    )


async def _async_accept_within(
    connections: ConnectionAdmission, sock: socket.socket, state: AcceptState
) -> socket.socket:
    """Accept the next connection that may stay open."""
    while True:
        client = await _async_accept_next(sock, state)
        if await _async_admit(connections, state):
            return client
        await client.close()


async def _async_admit(
    connections: ConnectionAdmission, state: AcceptState
) -> bool:
    """Return whether a connection may stay open.

    An unexpected error costs one connection. Without this, it would end the
    accepting of all later ones, while the process calls itself ready.
    """
    try:
        return await connections.async_add()
    except Exception:
        connections.remove()
        state.record_failure()
        _LOGGER.exception('connection could not be admitted')
        await sleep(ACCEPT_RETRY_MS / MILLIS_PER_SECOND)
        return False


async def _async_accept_next(
    sock: socket.socket, state: AcceptState
) -> socket.socket:
    """Accept the next connection, however many can't be accepted before it.

    Some errors concern one connection, which its caller has closed meanwhile;
    others pass when the process or the system has descriptors again.
    """
    while True:
        try:
            client, _ = await sock.accept()
        except OSError as error:
            if state.record_failure():
                _LOGGER.warning(
                    'connection could not be accepted',
                    cause=repr(error),
                    address=str(bound_address(sock)),
                    failures=state.failures,
                )
            await sleep(ACCEPT_RETRY_MS / MILLIS_PER_SECOND)
            continue
        state.record_accepted()
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # Its caller has reset it.
            await client.close()
            continue
        return client
