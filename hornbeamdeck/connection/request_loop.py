"""Serves the requests of one connection in sequence."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeAlias

from curio import Task, current_task, socket, spawn
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.byte_account import ByteAccount
from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.connection.errors import BadRequest, ReadError
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.reader import GetLimits, ReadLimits
from hornbeamdeck.connection.server import ServerConnection

__all__ = ('RequestHandler', 'ErrorResponseBuilder', 'async_serve_requests')

RequestHandler: TypeAlias = Callable[
    [HttpRequest, ServerConnection], Awaitable[None]
]
ErrorResponseBuilder: TypeAlias = Callable[[BadRequest], HttpResponse]


async def async_serve_requests(
    sock: socket.socket,
    handle_request: RequestHandler,
    to_error_response: ErrorResponseBuilder,
    limits: GetLimits = ReadLimits,
    bodies: ByteAccount | None = None,
    connections: ConnectionLimit | None = None,
) -> None:
    """Serve requests until the caller closes or the connection must close.

    :param handle_request: writes the complete response to a request.
    :param to_error_response: builds the response to a request that can't be
        read.
    :param limits: size and time limits for the caller's requests, called when
        one begins.
    :param bodies: counts the bytes that are held of them.
    :param connections: the connections of the listener; ends idle ones.
    """
    used_connections = connections or ConnectionLimit()
    connection = ServerConnection(sock, limits, bodies, used_connections)
    try:
        await _async_serve(
            connection, handle_request, to_error_response, used_connections
        )
    finally:
        used_connections.forget(sock)
        if bodies is not None:
            bodies.drop()


async def _async_serve(
    connection: ServerConnection,
    handle_request: RequestHandler,
    to_error_response: ErrorResponseBuilder,
    connections: ConnectionLimit,
) -> None:
    end_input = partial(connection.close_after_response, is_input_ended=True)
    on_begun = partial(_enter_reading, connection.sock, connections, end_input)
    is_new = True
    while True:
        connections.enter_idle(connection.sock, end_input, is_new=is_new)
        request = await connection.async_read_request(on_begun)
        connections.leave_waiting(connection.sock)
        if isinstance(request, Err):
            await _async_handle_read_error(
                connection, request.err_value, to_error_response
            )
            return
        await _async_handle(connection, request.ok_value, handle_request)
        if not connection.is_reusable:
            return
        connection.start_next()
        is_new = False


def _enter_reading(
    sock: socket.socket,
    connections: ConnectionLimit,
    end_input: Callable[[], None],
) -> None:
    begun_ms = now_ms()
    connections.leave_idle(sock)
    connections.enter_waiting(sock, end_input, lambda: begun_ms)


async def _async_handle_read_error(
    connection: ServerConnection,
    error: ReadError,
    to_error_response: ErrorResponseBuilder,
) -> None:
    if isinstance(error, BadRequest):
        await connection.async_respond(to_error_response(error))
        begun_ms = now_ms()
        with connection.connections.waiting(
            connection.sock, connection.close_after_response, lambda: begun_ms
        ):
            await connection.async_linger()


async def _async_handle(
    connection: ServerConnection,
    request: HttpRequest,
    handle_request: RequestHandler,
) -> None:
    # A request whose caller has disconnected would otherwise stay in the wait
    # queue or keep its run on an engine. The watcher cancels this task when
    # the caller disconnects, and that cancels the run.
    serving_task = await current_task()
    watcher = await spawn(
        _async_cancel_on_disconnect,
        connection,
        serving_task,
        daemon=True,
    )
    try:
        await handle_request(request, connection)
    finally:
        await watcher.cancel()


async def _async_cancel_on_disconnect(
    connection: ServerConnection,
    serving_task: Task,
) -> None:
    await connection.async_wait_disconnected()
    await serving_task.cancel(blocking=False)
