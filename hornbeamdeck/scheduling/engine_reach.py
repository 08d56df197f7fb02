"""Whether this process reaches engines itself, or needs another instance.

Load pattern: some instances lose the network path to all engines for seconds,
while callers and the other instances still reach them. Waiting for each connect
to fail takes longer than most objectives allow.
"""

import enum
import math
from typing import Final

__all__ = ('EnginePath', 'EngineReach')

# Failed connects are remembered for this time unless one succeeds.
FAILURE_MEMORY_MS: Final = 5000.0
# Engines that can't be reached, and none that can, before this process assumes
# that the network path to all engines is lost.
MIN_UNREACHED_ENGINES: Final = 2
# Interval of direct connects to an engine that only show whether the path is
# back.
PROBE_INTERVAL_MS: Final = 500.0


class EnginePath(enum.Enum):
    """How to connect to an engine."""

    DIRECT = enum.auto()
    # By another instance.
    RELAY = enum.auto()
    # By another instance, while a direct connect shows whether that is needed.
    RELAY_AND_PROBE = enum.auto()


class EngineReach:
    """Outcomes of the direct connects of this process, by engine."""

    def __init__(self) -> None:
        """Start with all engines in reach."""
        self._failed_ms: dict[str, float] = {}
        self._reached_ms = -math.inf
        self._probed_ms: dict[str, float] = {}

    def record(self, engine: str, now: float, *, is_reached: bool) -> None:
        """Record how a direct connect to an engine ended.

        :param now: milliseconds, on the clock of this process.
        """
        if not is_reached:
            self._failed_ms[engine] = now
            return
        self._failed_ms.pop(engine, None)
        self._probed_ms.pop(engine, None)
        self._reached_ms = now

    def unreached(self, now: float) -> list[str]:
        """List the engines that this process does not reach itself."""
        since_ms = now - FAILURE_MEMORY_MS
        for engine, failed_ms in tuple(self._failed_ms.items()):
            if failed_ms <= since_ms:
                self._failed_ms.pop(engine)
                self._probed_ms.pop(engine, None)
        return list(self._failed_ms)

    def is_partitioned(self, now: float) -> bool:
        """Return whether this process is assumed to reach no engine."""
        failed_since = [
            engine
            for engine in self.unreached(now)
            if self._failed_ms[engine] > self._reached_ms
        ]
        return len(failed_since) >= MIN_UNREACHED_ENGINES

    def is_in_reach(self, engine: str, now: float) -> bool:
        """Return whether an engine may be connected to directly."""
        return not self.is_partitioned(now) and engine not in self._failed_ms

    def path_to(self, engine: str, now: float) -> EnginePath:
        """Return how to connect to an engine now."""
        if self.is_in_reach(engine, now):
            return EnginePath.DIRECT
        if now - self._probed_ms.get(engine, -math.inf) < PROBE_INTERVAL_MS:
            return EnginePath.RELAY
        self._probed_ms[engine] = now
        return EnginePath.RELAY_AND_PROBE
