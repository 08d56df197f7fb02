"""IP addresses with a port, and the sockets opened for them."""

import errno
import ipaddress
import socket as stdlib_socket
from functools import lru_cache
from typing import Final, NamedTuple, Self

from curio import sleep, socket
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout, now_ms
from hornbeamdeck.connection.errors import ConnectFailed
from hornbeamdeck.connection.open_sockets import CountedSocket
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('Address', 'async_connect', 'listen')


MAX_CACHED_ADDRESSES: Final = 4096
MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5
# The operating system would take 4 MB that the other side does not read. A
# request would seem to have been sent, and the memory counts as this process's.
MAX_UNSENT_BYTES: Final = 65_536
# The same for an accepted connection, in each direction. There may be more than
# a thousand of them.
MAX_QUEUED_BYTES: Final = 32_768
# Pause before another try to open a socket when the process may open no more.
SOCKET_RETRY_MS: Final = 20
_LOCAL_ERRORS: Final = frozenset(
    (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM)
)


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse `ip:port`.

        :raises ValueError: if the text is not an IP address and a port.
        """
        return cls(*_parse(text))

    def __str__(self) -> str:
        """Return `ip:port`, with an IPv6 address in brackets."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


# Engine lists and grants repeat the same few hundred addresses.
@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _parse(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    host = host.strip('[]')
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        raise ValueError('not a port')
    if int(port) > MAX_PORT:
        raise ValueError('port out of range')
    return host, int(port)


def _new_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    return CountedSocket(
        stdlib_socket.socket(family, stdlib_socket.SOCK_STREAM)
    )


async def _async_open_socket(
    address: Address, timeout_ms: int
) -> Result[socket.socket, ConnectFailed]:
    """Open a socket, or wait for one that another purpose gives back."""
    until_ms = now_ms() + timeout_ms
    while True:
        try:
            return Ok(_new_socket(address))
        except OSError as error:
            cause = repr(error)
        if now_ms() >= until_ms:
            return Err(ConnectFailed(str(address), cause, is_local=True))
        await sleep(SOCKET_RETRY_MS / MILLIS_PER_SECOND)


async def async_connect(
    address: Address,
    *,
    timeout_ms: int,
) -> Result[socket.socket, ConnectFailed]:
    """Open a TCP connection.

    :param timeout_ms: time limit for the TCP handshake, milliseconds.
    :returns: the socket, or an error; after an error no byte was written.
    """
    opened = await _async_open_socket(address, timeout_ms)
    if isinstance(opened, Err):
        return opened
    sock = opened.ok_value
    try:
        await async_with_timeout(
            timeout_ms,
            sock.connect(tuple(address)),
        )
    except TaskTimeout:
        await sock.close()
        cause = f'no response within {timeout_ms} ms'
        return Err(ConnectFailed(str(address), cause, is_timeout=True))
    except OSError as error:
        await sock.close()
        is_local = error.errno in _LOCAL_ERRORS
        return Err(ConnectFailed(str(address), repr(error), is_local=is_local))
    except BaseException:
        await sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
    )
    return Ok(sock)


def listen(address: Address, *, backlog: int = 512) -> socket.socket:
    """Open a listening socket; port 0 lets the system choose a port.

    :raises OSError: if the address can't be bound.
    """
    sock = _new_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit both.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_QUEUED_BYTES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_QUEUED_BYTES
    )
    sock.bind(tuple(address))
    sock.listen(backlog)
    return sock


def bound_address(sock: socket.socket) -> Address:
    """Return the address that a listening socket is bound to."""
    host, port = sock.getsockname()[:2]
    return Address(host, port)
