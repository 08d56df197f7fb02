"""Limits the connections whose other side has not proved who it is."""

from typing import Final

from curio import sleep

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('HandshakeLimit',)

# Interval at which a new connection that has to wait is looked at again.
WAIT_POLL_MS: Final = 10


class HandshakeLimit:
    """The connections of one listener, and the handshakes among them.

    New connections wait while there are too many handshakes, since all peers
    may connect at one moment; none is closed for another.
    """

    def __init__(self, most_handshakes: int | None = None) -> None:
        """Start without connections.

        :param most_handshakes: at one time; `None`: there is no limit.
        """
        self.open_count = 0
        self._handshakes = 0
        self._most_handshakes = most_handshakes

    async def async_add(self) -> bool:
        """Count a new connection as soon as its handshake may begin.

        :returns: that the connection may stay open.
        """
        self.open_count += 1
        while (
            self._most_handshakes is not None
            and self._handshakes >= self._most_handshakes
        ):
            await sleep(WAIT_POLL_MS / MILLIS_PER_SECOND)
        self._handshakes += 1
        return True

    def end_handshake(self) -> None:
        """Count a handshake that has ended, in whatever way."""
        self._handshakes -= 1

    def remove(self) -> None:
        """Count a connection that is closed."""
        self.open_count -= 1
