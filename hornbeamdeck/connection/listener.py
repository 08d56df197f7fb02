"""Accepts connections and serves each in its own task."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import structlog
from curio import Task, socket, spawn

from hornbeamdeck.connection.address import Address, bound_address, listen

__all__ = ('Listener', 'async_setup_listener')

_LOGGER = structlog.get_logger(prefix='listener')

ServeConnection: TypeAlias = Callable[[socket.socket], Awaitable[None]]
AsyncClose: TypeAlias = Callable[[], Awaitable[None]]


class Listener(NamedTuple):
    """A listening address and the functions that close it.

    :param async_stop_accepting: closes the listening socket; open connections
        stay open.
    :param async_unload: also cancels the tasks of open connections.
    """

    address: Address
    async_stop_accepting: AsyncClose
    async_unload: AsyncClose


async def async_setup_listener(
    address: Address,
    serve_connection: ServeConnection,
) -> Listener:
    """Listen and serve each accepted connection in its own task.

    :raises OSError: if the address can't be bound.
    """
    sock = listen(address)
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
            tasks.discard(own_task[0])

    async def _async_accept() -> None:
        while True:
            client, _ = await sock.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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

    return Listener(bound_address(sock), _async_stop_accepting, _async_unload)
