"""Tells what has arrived on a socket that nobody reads now."""

import select
from typing import Final

from curio import sleep, socket

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('async_wait_closed', 'has_pending_input')

# Interval at which a connection with unread input is checked for its end.
CLOSE_POLL_MS: Final = 100
_RESET: Final = select.POLLHUP | select.POLLERR
_CLOSED: Final = select.POLLRDHUP | _RESET


def has_pending_input(sock: socket.socket) -> bool:
    """Return whether there are bytes to read, or the other side has closed."""
    return _poll(sock, select.POLLIN)


async def async_wait_closed(
    sock: socket.socket, *, is_input_ended: bool = False
) -> None:
    """Return when the other side has closed, also behind unread bytes.

    :param is_input_ended: whether this side has shut down its input, so that
        only a reset shows it.
    """
    signs = _RESET if is_input_ended else _CLOSED
    while not _poll(sock, signs):
        await sleep(CLOSE_POLL_MS / MILLIS_PER_SECOND)


def _poll(sock: socket.socket, events: int) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))
