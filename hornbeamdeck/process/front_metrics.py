"""Metrics of a process that serves routed requests."""

from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from hornbeamdeck.const import MILLIS_PER_SECOND

__all__ = ('FrontMetrics',)

# Bounds around the objectives of today's routes, 0.1 to 1 s, and time limits.
_BUCKETS_S: Final = (0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0)


class FrontMetrics:
    """Counters and latencies; `docs/operators/metrics.md` lists them."""

    def __init__(self) -> None:
        """Register every metric."""
        self.registry = CollectorRegistry()
        self._requests = Counter(
            'hornbeamdeck_routed_requests',
            'Requests that were admitted, by how they ended.',
            ('service', 'priority', 'code'),
            registry=self.registry,
        )
        self._total_seconds = Histogram(
            'hornbeamdeck_routed_total_seconds',
            'Time from a request to the end of its answer.',
            ('priority',),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._first_token_seconds = Histogram(
            'hornbeamdeck_first_token_seconds',
            'Time from the sending to an engine to its first event.',
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._edge_refusals = Counter(
            'hornbeamdeck_edge_refusals',
            'Requests refused before they were admitted, by code.',
            ('code',),
            registry=self.registry,
        )
        self.platform_calls = Counter(
            'hornbeamdeck_store_calls',
            'Calls to the store by role.',
            ('role',),
            registry=self.registry,
        )
        self._peer_bytes = Counter(
            'hornbeamdeck_front_peer_bytes',
            'Bytes exchanged with other instances, by direction.',
            ('direction',),
            registry=self.registry,
        )
        self.in_flight = Gauge(
            'hornbeamdeck_routed_in_flight',
            'Requests being answered.',
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            'hornbeamdeck_routed_configuration_version',
            'Version of the configuration in force.',
            registry=self.registry,
        )
        self._proof_age_seconds = Gauge(
            'hornbeamdeck_proof_age_seconds',
            'Age of the last proof that what is held is what the store holds.',
            ('held',),
            registry=self.registry,
        )
        self.log_lines_dropped = Counter(
            'hornbeamdeck_log_lines_dropped',
            'Log lines dropped because nobody read them fast enough.',
            registry=self.registry,
        )

    def ended(
        self,
        service: str,
        priority: int,
        code: str,
        total_ms: float,
    ) -> None:
        """Count a request that got its final word."""
        labels = {'service': service, 'priority': str(priority), 'code': code}
        self._requests.labels(**labels).inc()
        seconds = total_ms / MILLIS_PER_SECOND
        self._total_seconds.labels(str(priority)).observe(seconds)

    def first_token(self, first_ms: float) -> None:
        """Note a time to first token."""
        self._first_token_seconds.observe(first_ms / MILLIS_PER_SECOND)

    def refused(self, code: str) -> None:
        """Count a request refused before it was admitted."""
        self._edge_refusals.labels(code).inc()

    def note_proofs(
        self,
        configuration_age_ms: float,
        engines_age_ms: float,
    ) -> None:
        """Note how old the proofs are of what is held of the store."""
        ages_ms = {
            'configuration': configuration_age_ms,
            'engines': engines_age_ms,
        }
        for held, age_ms in ages_ms.items():
            gauge = self._proof_age_seconds.labels(held)
            gauge.set(age_ms / MILLIS_PER_SECOND)

    def count_peer_bytes(self, direction: str, count: int) -> None:
        """Count bytes exchanged with other instances."""
        self._peer_bytes.labels(direction).inc(count)

    def render(self) -> bytes:
        """Write all metrics in the text format."""
        return generate_latest(self.registry)
