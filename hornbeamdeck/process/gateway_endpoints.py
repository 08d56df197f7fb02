"""Serves the HTTP endpoints of the gateway process itself."""

from collections.abc import Callable
from typing import Final, TypeAlias

from curio import socket

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener, async_setup_listener
from hornbeamdeck.connection.reader import ReadLimits
from hornbeamdeck.connection.request_loop import async_serve_requests
from hornbeamdeck.connection.server import ServerConnection

__all__ = ('Endpoint', 'async_serve_endpoint')

# Their calls have no body, and there may be a hundred at once.
MAX_BODY_BYTES: Final = 4096

Endpoint: TypeAlias = Callable[[HttpRequest], HttpResponse]


async def async_serve_endpoint(
    address: Address, endpoint: Endpoint, most_connections: int
) -> Listener:
    """Open a separate address for one endpoint.

    :param most_connections: beyond it, idle connections are ended.
    :raises OSError: if the address can't be bound.
    """
    connections = ConnectionLimit(lambda _open_count: most_connections)

    async def _async_respond(
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        if connections.is_crowded:
            caller.close_after_response()
        await caller.async_respond(endpoint(request))

    async def _async_serve(sock: socket.socket) -> None:
        await async_serve_requests(
            sock,
            _async_respond,
            _bad_request_response,
            lambda: ReadLimits(max_body_bytes=MAX_BODY_BYTES),
            connections=connections,
        )

    return await async_setup_listener(address, _async_serve, connections)


def _bad_request_response(bad: BadRequest) -> HttpResponse:
    return HttpResponse(bad.status, {}, b'')
