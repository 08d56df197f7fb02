"""Metrics of a gateway process.

Counts are plain numbers; `gateway_metrics_export` converts them to the metrics
library's types. Only that module imports the library, and it is imported when
metrics are first read, to reduce startup time and the memory of idle processes.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, Self

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.memory.budget import Purpose
from hornbeamdeck.memory.spools import Spools
from hornbeamdeck.scheduling.retry_budget import RetryCounts
from hornbeamdeck.scheduling.standing import StandingCounts

__all__ = (
    'BUCKETS_S',
    'ConnectionCounts',
    'EngineReachCounts',
    'EngineStatementCounts',
    'GatewayMetrics',
    'LatencyHistogram',
    'LimitCounts',
    'MemoryCounts',
    'RolloutCounts',
)

# Chosen around the latency objectives of the current routes, 0.1 to 1 s, and
# around the time limits.
BUCKETS_S: Final = (0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0)


class RolloutCounts(NamedTuple):
    """State of a service's roll-out as the owner of its cell counts it.

    :param phase: number of the phase.
    :param requests: granted since the owner has taken the order, by version.
    :param bad_answers: failed or slow answers, by version.
    """

    phase: int
    requests: Mapping[str, int]
    bad_answers: Mapping[str, int]


class EngineStatementCounts(NamedTuple):
    """What engines state of themselves in responses to this process.

    :param limits: accepted requests per second, by engine that states a limit.
    :param rejection_limits: rejections per second beyond which an engine falls
        over, by engine that states it.
    :param leaving: names of the engines that leave.
    :param rests_ms: how long engines still want no requests from this process.
    :param unread_headers: number of response headers that no code reads, by
        name.
    """

    limits: Mapping[str, float]
    rejection_limits: Mapping[str, float]
    leaving: Sequence[str]
    rests_ms: Mapping[str, float]
    unread_headers: Mapping[str, int]


class EngineReachCounts(NamedTuple):
    """Network paths from this process to engines.

    :param unreached: engines that it does not reach itself.
    :param opened_tunnels: tunnels that other instances have opened for it.
    :param open_tunnels: tunnels that are open here for other instances.
    """

    unreached: int
    opened_tunnels: int
    open_tunnels: int


class MemoryCounts(NamedTuple):
    """Bytes that are held for callers, engines and instances.

    :param held_bytes: by purpose.
    :param times_without_room: how often no more could be held, by purpose.
    :param disconnected_callers: callers disconnected since they did not read.
    """

    held_bytes: Mapping[str, int]
    times_without_room: Mapping[str, int]
    disconnected_callers: int

    @classmethod
    def from_spools(cls, spools: Spools) -> Self:
        """Read the counts of a process."""
        budget = spools.budget
        return cls(
            {each.value: budget.held_bytes(each) for each in Purpose},
            {each.value: budget.times_without_room[each] for each in Purpose},
            spools.disconnected_callers,
        )


class ConnectionCounts(NamedTuple):
    """Sockets that a process has open, and connections of others among them.

    :param open_connections: by the side that has opened them.
    :param closed_for_room: closed since there were too many, by the same; none
        of peers are.
    :param open_sockets: for any purpose.
    :param failed_accepts: connections that could not be accepted.
    """

    open_connections: Mapping[str, int]
    closed_for_room: Mapping[str, int]
    open_sockets: int
    most_sockets: int
    failed_accepts: int


class LimitCounts(NamedTuple):
    """Limited engines of a service as the owner of its cell counts them.

    :param engines: engines that state a limit.
    :param held_back: engines that have slots but may get no request now.
    :param resting: engines that want no requests from some instance.
    :param waiting: requests that wait for any engine of the service.
    :param retries: the service's retries, of which there is a limit.
    :param standings: requests by the standing of their teams.
    """

    engines: int
    held_back: int
    resting: int
    waiting: int
    retries: RetryCounts
    standings: StandingCounts


class LatencyHistogram:
    """A latency histogram with the bounds `BUCKETS_S`."""

    def __init__(self) -> None:
        """Start empty."""
        self.sum_seconds = 0.0
        # Per bucket, not cumulative; the last is the overflow bucket.
        self.counts = [0 for _ in range(len(BUCKETS_S) + 1)]

    def observe(self, taken_ms: float) -> None:
        """Record one latency."""
        seconds = taken_ms / MILLIS_PER_SECOND
        self.sum_seconds += seconds
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1


class GatewayMetrics:
    """Counters and latencies; `docs/operators/metrics.md` lists them."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.requests: dict[tuple[str, str, str], int] = defaultdict(int)
        self.total_latencies: dict[str, LatencyHistogram] = defaultdict(
            LatencyHistogram
        )
        self.first_token_latencies = LatencyHistogram()
        self.edge_refusals: dict[str, int] = defaultdict(int)
        self.store_calls: dict[str, int] = defaultdict(int)
        self.stored_origins: Counter[str] = Counter()
        self.peer_bytes: dict[str, int] = defaultdict(int)
        self.returned_grants: Counter[str] = Counter()
        self.failed_connects: Counter[str] = Counter()
        self.exceeded_limits: Counter[str] = Counter()
        self.unusable_entries: Counter[str] = Counter()
        self.failed_tasks: Counter[str] = Counter()
        self.in_flight = 0
        self.configuration_version = 0
        self.store_era = 0
        self.confirmation_ages_ms: dict[str, float] = {}
        self.log_lines_dropped = 0
        self.engine_statements = EngineStatementCounts({}, {}, (), {}, {})
        self.engine_reach = EngineReachCounts(0, 0, 0)
        self.memory = MemoryCounts({}, {}, 0)
        self.connections = ConnectionCounts({}, {}, 0, 0, 0)
        # By service; empty unless this process is the owner.
        self.limit_counts: dict[str, LimitCounts] = {}
        # By service; empty in deployments without roll-outs.
        self.rollouts: dict[str, RolloutCounts] = {}

    def count_request(
        self,
        service: str,
        priority: int,
        code: str,
        total_ms: float,
    ) -> None:
        """Count a request that received its final response."""
        self.requests[service, str(priority), code] += 1
        self.total_latencies[str(priority)].observe(total_ms)

    def record_first_token(self, first_ms: float) -> None:
        """Record a time to first token."""
        self.first_token_latencies.observe(first_ms)

    def count_refusal(self, code: str) -> None:
        """Count a request refused before it was admitted."""
        self.edge_refusals[code] += 1

    def record_confirmation_ages(
        self,
        configuration_age_ms: float,
        engines_age_ms: float,
    ) -> None:
        """Record the ages of the last freshness confirmations."""
        self.confirmation_ages_ms = {
            'configuration': configuration_age_ms,
            'engines': engines_age_ms,
        }

    def count_store_call(self, role: str) -> None:
        """Count a call to the store."""
        self.store_calls[role] += 1

    def count_stored_origins(self, direction: str, count: int) -> None:
        """Count origins of streams read from the store or written to it."""
        self.stored_origins[direction] += count

    def count_peer_bytes(self, direction: str, count: int) -> None:
        """Count bytes exchanged with other instances."""
        self.peer_bytes[direction] += count

    def count_returned_grant(self, cause: str) -> None:
        """Count a grant whose engine must not get the request."""
        self.returned_grants[cause] += 1

    def count_failed_connect(self, cause: str) -> None:
        """Count an attempt that could not connect to its engine."""
        self.failed_connects[cause] += 1

    def count_exceeded_limit(self, limit: str) -> None:
        """Count an attempt that a limit on its engine has ended."""
        self.exceeded_limits[limit] += 1

    def count_unusable_entry(self, kind: str) -> None:
        """Count an entry of the store that can't be used."""
        self.unusable_entries[kind] += 1

    def count_failed_task(self, name: str) -> None:
        """Count a long-lived task that an exception has ended."""
        self.failed_tasks[name] += 1

    def count_dropped_log_line(self) -> None:
        """Count a log line dropped because the buffer was full."""
        self.log_lines_dropped += 1
