"""Decides how many of a process's sockets connections of others may take.

The load that it answers: the callers of a lost instance connect to those that
are left, and keep their connections open. If they took every descriptor, none
would be left for engines, the store and other instances.
"""

from typing import Final, NamedTuple

__all__ = ('SocketLimits',)

# Of all sockets, kept free for the process's own connections beyond those that
# are open.
RESERVED_SHARE: Final = 0.1
MIN_RESERVED: Final = 8
# Connections to one endpoint of the process, which last for one short call
# each.
BRIEF_SHARE: Final = 0.1
MIN_BRIEF: Final = 8
# Connections of peers that have not proved who they are.
HANDSHAKE_SHARE: Final = 0.25
MIN_HANDSHAKES: Final = 8
# However many sockets the process itself uses.
MIN_CALLERS: Final = 8


class SocketLimits(NamedTuple):
    """The limits of one process.

    :param most_sockets: how many it may have open.
    """

    most_sockets: int

    @property
    def most_brief(self) -> int:
        """How many connections one endpoint may have."""
        return max(int(BRIEF_SHARE * self.most_sockets), MIN_BRIEF)

    @property
    def most_handshakes(self) -> int:
        """How many peers may prove at one time who they are."""
        return max(int(HANDSHAKE_SHARE * self.most_sockets), MIN_HANDSHAKES)

    def most_callers(self, callers: int, open_sockets: int) -> int:
        """Return how many connections callers may have.

        What the process itself has open goes off their share.

        :param callers: connections that they have.
        :param open_sockets: sockets that are open for any purpose.
        """
        reserved = max(int(RESERVED_SHARE * self.most_sockets), MIN_RESERVED)
        own = open_sockets - callers
        return max(self.most_sockets - reserved - own, MIN_CALLERS)
