"""Incremental scans that match waiting requests with free slots.

Load pattern: hundreds of requests wait while some engines have free slots that
none of them can use, since those engines do not respond or are several times
too slow. Each message to the owner triggers a scan, and most messages change
one engine. Trying every request on every engine each time takes more than a
core, which delays all requests at the owner.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import Final, Self

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.wire import Enqueue

__all__ = ('PlacementScan', 'PlacementTracker')

# Interval of full scans, for requests that can start merely because time has
# passed; a little shorter than the scheduler's check interval (25 ms).
FULL_SCAN_MS: Final = 20.0


class PlacementScan:
    """One scan of the waiting requests over engines with a free slot."""

    def __init__(
        self,
        free: list[EngineLoad],
        changed: list[EngineLoad],
        arrived: Mapping[str, str],
    ) -> None:
        """Set the engines to scan.

        :param free: all engines with a free slot, for new requests.
        :param changed: those of them to try again for the other requests.
        :param arrived: teams of the new requests, by request id. A request is
            new if it has arrived since the last scan.
        """
        self.free = free
        self._changed = changed
        self._arrived = arrived
        self._teams = frozenset(arrived.values())

    @classmethod
    def full(cls, free: list[EngineLoad]) -> Self:
        """Scan all engines for all waiting requests."""
        return cls(free, free, {})

    @classmethod
    def incremental(
        cls,
        free: list[EngineLoad],
        changed_names: Collection[str],
        arrived: Mapping[str, str],
    ) -> Self:
        """Scan what has changed since the last scan.

        :param changed_names: names of the engines whose runs have changed.
        """
        changed = [load for load in free if load.engine.name in changed_names]
        if not changed and not arrived:
            return cls([], [], {})
        return cls(free, changed, arrived)

    def candidates_for(
        self,
        request: Enqueue,
        *,
        is_held_by_limit: bool,
        waits_for_better_slot: bool,
    ) -> list[EngineLoad] | None:
        """List the engines to try for a request.

        :param is_held_by_limit: whether its team's limit, or that of retries,
            held it back before.
        :param waits_for_better_slot: whether it was held although slots were
            free. Such a request may start merely because time has passed. It is
            tried on all engines before a new one behind it is, which could
            otherwise take its slot between two full scans.
        :returns: `None` if the request can be skipped. Requests of the same
            team as a new one are not skipped: those ahead of it take the team's
            tokens first.
        """
        if request.request_id in self._arrived:
            return self.free
        if waits_for_better_slot and self._arrived:
            return self.free
        if request.team in self._teams:
            return self.free if is_held_by_limit else self._changed
        return self._changed or None

    def remove_if_full(self, load: EngineLoad, now: float) -> None:
        """Remove an engine from the scan once it has no free slot."""
        if load.has_free_slot(now):
            return
        self.free = [each for each in self.free if each is not load]
        self._changed = [each for each in self._changed if each is not load]


class PlacementTracker:
    """Tracks what has changed since the last scan."""

    def __init__(self) -> None:
        """Start with a full scan due."""
        self._last_full_scan_ms = -math.inf
        self._changed: set[str] = set()
        self._arrived: dict[str, str] = {}

    def request_full_scan(self) -> None:
        """Make the next scan a full one."""
        self._last_full_scan_ms = -math.inf

    def record_engine_change(self, engine: str) -> None:
        """Include an engine whose runs have changed in the next scan."""
        self._changed.add(engine)

    def record_arrival(self, request: Enqueue) -> None:
        """Try a newly enqueued request on all engines in the next scan."""
        self._arrived[request.request_id] = request.team

    def start_scan(
        self,
        loads: Iterable[EngineLoad],
        waiting: int,
        now: float,
    ) -> PlacementScan:
        """Start the next scan and reset the tracked changes.

        :param waiting: number of waiting requests.
        """
        changed = self._changed
        arrived = self._arrived
        self._changed = set()
        self._arrived = {}
        if not waiting:
            return PlacementScan([], [], {})
        free = [load for load in loads if load.has_free_slot(now)]
        if now - self._last_full_scan_ms < FULL_SCAN_MS:
            return PlacementScan.incremental(free, changed, arrived)
        self._last_full_scan_ms = now
        return PlacementScan.full(free)
