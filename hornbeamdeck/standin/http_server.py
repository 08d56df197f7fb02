"""HTTP server with JSON responses, shared by the stand-ins."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

from curio import socket

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener, async_setup_listener
from hornbeamdeck.connection.request_loop import (
    RequestHandler,
    async_serve_requests,
)
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import ENCODING

__all__ = (
    'Responder',
    'async_setup_http_server',
    'json_response',
    'make_handler',
)

Responder: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


def json_response(status: int, body: Any) -> HttpResponse:
    """Build a JSON response."""
    headers = {'content-type': 'application/json'}
    return HttpResponse(status, headers, json.dumps(body).encode(ENCODING))


def make_handler(respond: Responder) -> RequestHandler:
    """Build a request handler from a function that returns the response."""

    async def _async_handle(
        request: HttpRequest,
        connection: ServerConnection,
    ) -> None:
        await connection.async_respond(await respond(request))

    return _async_handle


async def async_setup_http_server(
    address: Address,
    request_handler: RequestHandler,
) -> Listener:
    """Serve requests on an address.

    :param request_handler: writes the response to each request.
    :returns: the listener; unloading it stops the server.
    """

    async def _async_serve(sock: socket.socket) -> None:
        await async_serve_requests(sock, request_handler, _bad_request_response)

    return await async_setup_listener(address, _async_serve)


def _bad_request_response(bad: BadRequest) -> HttpResponse:
    return json_response(bad.status, {'error': bad.detail})
