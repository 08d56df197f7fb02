"""Counts the sockets that this process has open.

A process may open a limited number of them, for whatever purpose.
"""

from typing import Any, Final
from weakref import WeakSet

from curio.io import Socket

__all__ = ('CountedSocket', 'count_open_sockets')


class CountedSocket(Socket):  # type: ignore[misc]
    """A socket that is counted until it is closed, as are those it accepts."""

    def __init__(self, sock: Any) -> None:
        """Wrap a socket of the standard library."""
        super().__init__(sock)
        _OPEN.add(self)

    async def close(self) -> None:
        """Close the socket."""
        _OPEN.discard(self)
        await super().close()

    async def __aexit__(self, *args: object) -> None:
        """Close the socket."""
        _OPEN.discard(self)
        await super().__aexit__(*args)


# Weak, so that a socket that is dropped without being closed is not counted.
_OPEN: Final[WeakSet[CountedSocket]] = WeakSet()


def count_open_sockets() -> int:
    """Return how many sockets are open."""
    return len(_OPEN)
