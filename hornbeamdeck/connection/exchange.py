"""Serves the requests of one connection, one after another."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from curio import Task, current_task, socket, spawn
from result import Err

from hornbeamdeck.connection.errors import BadRequest, ReadError
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.reader import ReadLimits
from hornbeamdeck.connection.server import ServerConnection

__all__ = ('Answer', 'Refusal', 'async_serve_requests')

Answer: TypeAlias = Callable[[HttpRequest, ServerConnection], Awaitable[None]]
Refusal: TypeAlias = Callable[[BadRequest], HttpResponse]


async def async_serve_requests(
    sock: socket.socket,
    answer: Answer,
    refusal: Refusal,
    limits: ReadLimits | None = None,
) -> None:
    """Read requests until the caller leaves or one can't be answered.

    :param answer: writes the whole response to a request.
    :param refusal: makes the response to a request that can't be read.
    :param limits: what the caller may cost.
    """
    connection = ServerConnection(sock, limits)
    while True:
        request = await connection.async_read_request()
        if isinstance(request, Err):
            await _async_refuse(connection, request.err_value, refusal)
            return
        await _async_answer(connection, request.ok_value, answer)
        if not connection.may_reuse:
            return
        connection.start_next()


async def _async_refuse(
    connection: ServerConnection,
    error: ReadError,
    refusal: Refusal,
) -> None:
    if isinstance(error, BadRequest):
        await connection.async_respond(refusal(error))
        await connection.async_linger()


async def _async_answer(
    connection: ServerConnection,
    request: HttpRequest,
    answer: Answer,
) -> None:
    # A caller that has left would otherwise keep its place in the queue and
    # its run on an engine; the watch cancels this task, and with it the run.
    serving = await current_task()
    watch = await spawn(_async_watch, connection, serving, daemon=True)
    try:
        await answer(request, connection)
    finally:
        await watch.cancel()


async def _async_watch(connection: ServerConnection, serving: Task) -> None:
    await connection.async_wait_closed()
    await serving.cancel(blocking=False)
