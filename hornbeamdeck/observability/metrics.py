"""Metrics of one process, in a separate registry."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ('Metrics',)


class Metrics:
    """All metrics; `docs/operators/metrics.md` lists names and units."""

    def __init__(self) -> None:
        """Register every metric."""
        self.registry = CollectorRegistry()
        self._requests = Counter(
            'hornbeamdeck_requests',
            'Requests by service, tier and outcome.',
            ('service', 'tier', 'outcome'),
            registry=self.registry,
        )
        self.refused_input = Counter(
            'hornbeamdeck_refused_input',
            'Requests refused before admission, by code.',
            ('code',),
            registry=self.registry,
        )
        self._platform_calls = Counter(
            'hornbeamdeck_platform_calls',
            'Calls to the platform by role.',
            ('role',),
            registry=self.registry,
        )
        self._peer_bytes = Counter(
            'hornbeamdeck_peer_bytes',
            'Bytes exchanged with other instances, by direction.',
            ('direction',),
            registry=self.registry,
        )
        self.in_flight = Gauge(
            'hornbeamdeck_in_flight',
            'Requests being answered.',
            registry=self.registry,
        )
        self.grant_wait_seconds = Histogram(
            'hornbeamdeck_grant_wait_seconds',
            'Time from asking for a grant to its answer, seconds.',
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            'hornbeamdeck_configuration_version',
            'Version of the configuration in force.',
            registry=self.registry,
        )

    def count(self, service: str, tier: str, outcome: str) -> None:
        """Count a request that received its final response."""
        self._requests.labels(
            service=service,
            tier=tier,
            outcome=outcome,
        ).inc()

    def count_platform_call(self, role: str) -> None:
        """Count a call to the store."""
        self._platform_calls.labels(role=role).inc()

    def count_peer_bytes(self, direction: str, count: int) -> None:
        """Count bytes exchanged with other instances."""
        self._peer_bytes.labels(direction=direction).inc(count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
