"""The connections that others may have open at a process."""

from collections.abc import Iterable
from typing import Self

from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.connection.handshake_limit import HandshakeLimit
from hornbeamdeck.connection.listener import Listener
from hornbeamdeck.connection.open_sockets import count_open_sockets
from hornbeamdeck.observability.gateway_metrics import ConnectionCounts
from hornbeamdeck.process.descriptors import read_socket_limits
from hornbeamdeck.process.gateway_settings import GatewaySettings
from hornbeamdeck.scheduling.socket_limits import SocketLimits

__all__ = ('ProcessConnections',)


class ProcessConnections:
    """Limits of a process, and its connections by who has opened them."""

    def __init__(self, limits: SocketLimits) -> None:
        """Start without connections."""
        self.limits = limits
        self.callers = ConnectionLimit(self._most_callers)
        self.peers = HandshakeLimit(limits.most_handshakes)

    @classmethod
    def from_system(cls) -> Self:
        """Make the limits that the operating system sets alone."""
        return cls(read_socket_limits())

    @classmethod
    def from_settings(cls, settings: GatewaySettings) -> Self:
        """Make the limits of a gateway process with these settings."""
        return cls(
            read_socket_limits(
                settings.max_descriptors, settings.file_descriptors
            )
        )

    def counts(self, listeners: Iterable[Listener]) -> ConnectionCounts:
        """Return what is open now."""
        callers, peers = self.callers, self.peers
        return ConnectionCounts(
            {'callers': callers.open_count, 'peers': peers.open_count},
            {'callers': callers.closed_count},
            open_sockets=count_open_sockets(),
            most_sockets=self.limits.most_sockets,
            failed_accepts=sum(
                each.accept_state.failures for each in listeners
            ),
        )

    def _most_callers(self, callers: int) -> int:
        return self.limits.most_callers(callers, count_open_sockets())
