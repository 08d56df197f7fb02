"""Tells what has become of written bytes after the other side has closed.

Failure: a server closes a connection before all of a request has arrived, and
its system resets the connection when more arrives. Reading shows the close
only. A response that ends with its connection then looks complete.
"""

from array import array
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import Final

from curio import sleep, socket

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('async_is_reset', 'has_unsent')

# The other side acknowledges what arrives, or resets the connection, within a
# round trip. One that reads nothing may do neither.
SETTLE_MS: Final = 200
CHECK_MS: Final = 5


def has_unsent(sock: socket.socket) -> bool:
    """Return whether bytes were written that the other side does not have."""
    unsent = array('i', [0])
    try:
        ioctl(sock.fileno(), TIOCOUTQ, unsent)
    except OSError:
        return False
    return bool(unsent[0])


async def async_is_reset(sock: socket.socket) -> bool:
    """Return whether a connection that the other side has closed is reset.

    The system reports that once, here or to the next write.
    """
    until_ms = now_ms() + SETTLE_MS
    while has_unsent(sock) and now_ms() < until_ms:
        if _has_error(sock):
            return True
        await sleep(CHECK_MS / MILLIS_PER_SECOND)
    return _has_error(sock)


def _has_error(sock: socket.socket) -> bool:
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
