"""Rate limits for heartbeats, probes and new connections between instances.

All instances of a fleet connect to the same few first-ranked ones. A rate per
instance that suits a fleet of a dozen overloads those few in a fleet of
hundreds: heartbeats arrive late, then connections are closed as silent and
reopened by all instances at once, and that load lasts longer than its cause.
The rate per instance therefore falls with the size of the fleet.
"""

import random
from collections.abc import Callable
from typing import Final

__all__ = ('MIN_HEARTBEAT_INTERVAL_MS', 'HeartbeatPace')

MIN_HEARTBEAT_INTERVAL_MS: Final = 250
HEARTBEAT_INTERVAL_PER_INSTANCE_MS: Final = 4
# Freshness confirmations age with each heartbeat that passes them on. With a
# longer interval, instances would read the store themselves between heartbeats.
MAX_HEARTBEAT_INTERVAL_MS: Final = 1000
# Slightly more than three heartbeats: an instance that is silent for longer has
# stopped, is cut off or is so slow that waiting for it costs more than using
# the next owner.
SILENCE_TIMEOUT_HEARTBEATS: Final = 3.2
# An instance counts as live for at least this long after its last heartbeat.
MIN_LIVENESS_TIMEOUT_MS: Final = 1500
# How often a suspected instance that ranks before the owner is probed.
MIN_PROBE_INTERVAL_MS: Final = 1000
PROBE_INTERVAL_PER_INSTANCE_MS: Final = 30
# Connections that the whole fleet opens to one instance within a heartbeat
# interval.
CONNECTIONS_PER_HEARTBEAT: Final = 64


class HeartbeatPace:
    """Intervals and limits for the current size of the fleet."""

    def __init__(self, fleet_size: Callable[[], int]) -> None:
        """Derive the limits from the size of the fleet.

        :param fleet_size: returns the number of instances, including this one.
        """
        self._fleet_size = fleet_size
        self._last_probe_ms = 0.0

    @property
    def interval_ms(self) -> float:
        """Interval between two heartbeats."""
        scaled_ms = HEARTBEAT_INTERVAL_PER_INSTANCE_MS * self._fleet_size()
        return min(
            max(MIN_HEARTBEAT_INTERVAL_MS, scaled_ms), MAX_HEARTBEAT_INTERVAL_MS
        )

    @property
    def liveness_timeout_ms(self) -> float:
        """Time after its last heartbeat for which an instance is live."""
        return max(MIN_LIVENESS_TIMEOUT_MS, self.silence_timeout_ms)

    @property
    def silence_timeout_ms(self) -> float:
        """Time without a response after which a peer is considered lost."""
        return SILENCE_TIMEOUT_HEARTBEATS * self.interval_ms

    def may_open_connection(self) -> bool:
        """Decide at random whether to open a connection in this interval.

        The decision is drawn separately for each connection.
        """
        return random.random() * self._fleet_size() < CONNECTIONS_PER_HEARTBEAT

    def select_probe_targets(
        self, suspected_ids: list[str], now: float
    ) -> list[str]:
        """Select at random which suspected peers to probe now."""
        interval_ms = max(
            MIN_PROBE_INTERVAL_MS,
            PROBE_INTERVAL_PER_INSTANCE_MS * self._fleet_size(),
        )
        if not suspected_ids or now - self._last_probe_ms <= interval_ms:
            return []
        self._last_probe_ms = now
        limit = max(CONNECTIONS_PER_HEARTBEAT // self._fleet_size(), 1)
        return random.sample(suspected_ids, min(limit, len(suspected_ids)))
