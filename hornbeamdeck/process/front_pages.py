"""Serves the pages that a front process answers itself."""

from collections.abc import Callable
from typing import TypeAlias

from curio import socket

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.exchange import async_serve_requests
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.listener import Listener, async_setup_listener
from hornbeamdeck.connection.server import ServerConnection

__all__ = ('Page', 'async_serve_page')

Page: TypeAlias = Callable[[HttpRequest], HttpResponse]


async def async_serve_page(address: Address, page: Page) -> Listener:
    """Open an address of its own for one page.

    :raises OSError: where the address can't be bound.
    """

    async def _async_answer(
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        await caller.async_respond(page(request))

    async def _async_serve(sock: socket.socket) -> None:
        await async_serve_requests(sock, _async_answer, _refusal)

    return await async_setup_listener(address, _async_serve)


def _refusal(bad: BadRequest) -> HttpResponse:
    return HttpResponse(bad.status, {}, b'')
