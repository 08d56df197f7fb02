"""Lets this process open no socket for a while."""

import errno
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from hornbeamdeck.connection import address as address_module
from hornbeamdeck.connection.address import Address

MANY = 10_000


@contextmanager
def missing_sockets(count: int = MANY) -> Iterator[None]:
    """Let the next tries to open a socket fail.

    :param count: how many of them.
    """
    new_socket = address_module._new_socket
    failures = [OSError(errno.EMFILE, 'no descriptor') for _ in range(count)]

    def _new_socket(address: Address) -> object:
        if failures:
            raise failures.pop()
        return new_socket(address)

    with patch.object(address_module, '_new_socket', _new_socket):
        yield
