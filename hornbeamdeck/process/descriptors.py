"""Reads how many sockets this process may have open."""

import resource
from typing import Final

from hornbeamdeck.scheduling.socket_limits import SocketLimits

__all__ = ('read_socket_limits',)

# Of the operating system's limit: standard streams, the event loop, the log and
# files that are open for a moment.
OWN_FILES: Final = 32
# Where the operating system states no limit; the default maximum of Linux.
MAX_DESCRIPTORS: Final = 1_048_576


def read_socket_limits(
    max_descriptors: int | None = None, file_descriptors: int = 0
) -> SocketLimits:
    """Return the limits that hold for the sockets of this process.

    :param max_descriptors: what the deployment allows; `None`: not stated.
    :param file_descriptors: how many of these sockets can't have.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_DESCRIPTORS
    most_sockets = allowed - OWN_FILES
    if max_descriptors is not None:
        stated = max_descriptors - file_descriptors
        most_sockets = min(most_sockets, stated)
    return SocketLimits(most_sockets)
