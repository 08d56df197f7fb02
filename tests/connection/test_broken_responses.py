"""Responses that are invalid or cut, as any server may send them."""

import pytest
from curio import socket
from result import Err

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest
from tests.support import curio_test

REQUEST = HttpRequest('GET', '/', '', {}, b'')
LENGTH = b'content-length: 2\r\n\r\n{}'
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
CUT_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'


async def _async_open() -> tuple[ClientConnection, socket.socket]:
    own, server = socket.socketpair()
    return ClientConnection(own, Address('127.0.0.1', 80)), server


@pytest.mark.parametrize(
    'sent',
    [
        b'HTTP/1.1 000 None\r\n' + LENGTH,
        b'HTTP/1.1 099 Odd\r\n' + LENGTH,
        b'HTTP/1.1 99 Odd\r\n' + LENGTH,
        b'HTTP/1.1 600 Odd\r\n' + LENGTH,
        b'HTTP/1.1 999\r\n' + LENGTH,
        b'HTTP/1.1 1000 Odd\r\n' + LENGTH,
        INTERIM + b'HTTP/1.1 600 Odd\r\n' + LENGTH,
        b'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n' + LENGTH,
    ],
)
def test_invalid_status_is_no_response(sent: bytes) -> None:
    """Guards against bytes of engines or the store that pass as responses."""

    @curio_test
    async def _run() -> None:
        connection, server = await _async_open()
        (await connection.async_send(REQUEST)).unwrap()
        await server.sendall(sent)
        head = await connection.async_read_head()
        assert isinstance(head, Err)
        assert not connection.is_reusable

    _run()


@pytest.mark.parametrize('first', [b'', INTERIM, b'HTTP/1.1 100\r\n\r\n'])
@pytest.mark.parametrize('cut', range(0, len(CUT_HEAD) + 1, 3))
def test_head_that_is_cut_is_no_response(first: bytes, cut: int) -> None:
    """Guards against a part of a head that passes as an empty response."""

    @curio_test
    async def _run() -> None:
        connection, server = await _async_open()
        (await connection.async_send(REQUEST)).unwrap()
        await server.sendall(first + CUT_HEAD[:cut])
        await server.close()
        assert isinstance(await connection.async_read_head(), Err)

    _run()
