"""Tells whether bytes have arrived on a socket that nobody reads now."""

import select

from curio import socket

__all__ = ('has_pending_input',)


def has_pending_input(sock: socket.socket) -> bool:
    """Return whether there are bytes to read, or the other side has closed."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
