"""Exports the metrics of a gateway process in the Prometheus text format."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import accumulate
from typing import Final, TypeAlias

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.observability.connection_metrics_export import (
    connection_metrics,
)
from hornbeamdeck.observability.gateway_metrics import (
    BUCKETS_S,
    EngineStatementCounts,
    GatewayMetrics,
    LatencyHistogram,
    LimitCounts,
)
from hornbeamdeck.observability.memory_metrics_export import memory_metrics
from hornbeamdeck.observability.standing_metrics import standing_metrics

__all__ = ('make_registry', 'render')

_BY_SERVICE: Final = 'service'
_LimitGauge: TypeAlias = tuple[str, str, Callable[[LimitCounts], int]]
# Name, documentation and value of each gauge that only an owner reports.
_LIMIT_GAUGES: Final[tuple[_LimitGauge, ...]] = (
    (
        'hornbeamdeck_limited_engines',
        'Engines that state a request limit.',
        lambda counts: counts.engines,
    ),
    (
        'hornbeamdeck_engines_held_by_limit',
        'Engines that have slots but may get no request now.',
        lambda counts: counts.held_back,
    ),
    (
        'hornbeamdeck_engines_resting',
        'Engines that want no requests from some instance.',
        lambda counts: counts.resting,
    ),
    (
        'hornbeamdeck_waiting_requests',
        'Requests that wait for an engine of the service.',
        lambda counts: counts.waiting,
    ),
    (
        'hornbeamdeck_retries_in_window',
        'Retries that this owner has granted within the window of their limit.',
        lambda counts: counts.retries.retries,
    ),
    (
        'hornbeamdeck_retries_left',
        'Retries that this owner may grant now.',
        lambda counts: counts.retries.left,
    ),
)


class _GatewayCollector(Collector):
    """Collects the counts of a process on each read of the endpoint."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Return every metric family, including those without samples."""
        yield from _request_metrics(self._metrics)
        yield from _connection_metrics(self._metrics)
        yield from _store_metrics(self._metrics)
        yield from _engine_metrics(self._metrics)
        yield from memory_metrics(self._metrics.memory)
        yield from connection_metrics(self._metrics.connections)
        yield from _limit_metrics(self._metrics)
        yield from _rollout_metrics(self._metrics)


def make_registry(metrics: GatewayMetrics) -> CollectorRegistry:
    """Create a registry that collects the counts of a process."""
    registry = CollectorRegistry()
    registry.register(_GatewayCollector(metrics))
    return registry


def render(metrics: GatewayMetrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(make_registry(metrics))


def _request_metrics(metrics: GatewayMetrics) -> Iterator[Metric]:
    requests = CounterMetricFamily(
        'hornbeamdeck_routed_requests',
        'Requests that were admitted, by how they ended.',
        labels=('service', 'priority', 'code'),
    )
    for request_labels, count in metrics.requests.items():
        requests.add_metric(request_labels, count)
    yield requests
    total = HistogramMetricFamily(
        'hornbeamdeck_routed_total_seconds',
        'Time from a request to the end of its answer.',
        labels=('priority',),
    )
    for priority, histogram in metrics.total_latencies.items():
        _add_histogram(total, (priority,), histogram)
    yield total
    first_token = HistogramMetricFamily(
        'hornbeamdeck_first_token_seconds',
        'Time from the sending to an engine to its first event.',
        labels=(),
    )
    _add_histogram(first_token, (), metrics.first_token_latencies)
    yield first_token
    yield _counter(
        'hornbeamdeck_edge_refusals',
        'Requests refused before they were admitted, by code.',
        'code',
        metrics.edge_refusals,
    )
    yield GaugeMetricFamily(
        'hornbeamdeck_routed_in_flight',
        'Requests being answered.',
        metrics.in_flight,
    )


def _connection_metrics(metrics: GatewayMetrics) -> Iterator[Metric]:
    yield _counter(
        'hornbeamdeck_store_calls',
        'Calls to the store by role.',
        'role',
        metrics.store_calls,
    )
    yield _counter(
        'hornbeamdeck_stored_origins',
        'Origins of streams read from the store or written to it.',
        'direction',
        metrics.stored_origins,
    )
    yield _counter(
        'hornbeamdeck_front_peer_bytes',
        'Bytes exchanged with other instances, by direction.',
        'direction',
        metrics.peer_bytes,
    )
    yield CounterMetricFamily(
        'hornbeamdeck_log_lines_dropped',
        'Log lines dropped because nobody read them fast enough.',
        metrics.log_lines_dropped,
    )


def _store_metrics(metrics: GatewayMetrics) -> Iterator[Metric]:
    yield GaugeMetricFamily(
        'hornbeamdeck_routed_configuration_version',
        'Version of the configuration in force.',
        metrics.configuration_version,
    )
    yield GaugeMetricFamily(
        'hornbeamdeck_store_era',
        'Newest era that the store has named in its responses.',
        metrics.store_era,
    )
    ages = GaugeMetricFamily(
        'hornbeamdeck_proof_age_seconds',
        'Age of the last proof that what is held is what the store holds.',
        labels=('held',),
    )
    for resource, age_ms in metrics.confirmation_ages_ms.items():
        ages.add_metric((resource,), age_ms / MILLIS_PER_SECOND)
    yield ages


def _statement_metrics(stated: EngineStatementCounts) -> Iterator[Metric]:
    limits = _gauge(
        'hornbeamdeck_engine_request_limit',
        'Requests per second that an engine accepts, as last stated here.',
        'engine',
    )
    for engine, per_s in stated.limits.items():
        limits.add_metric((engine,), per_s)
    rejections = _gauge(
        'hornbeamdeck_engine_rejection_limit',
        'Rejections per second beyond which an engine falls over, as stated.',
        'engine',
    )
    for engine, per_s in stated.rejection_limits.items():
        rejections.add_metric((engine,), per_s)
    leaving = _gauge(
        'hornbeamdeck_engine_leaving',
        'Engines that have stated here that they leave.',
        'engine',
    )
    for engine in stated.leaving:
        leaving.add_metric((engine,), 1)
    rests = _gauge(
        'hornbeamdeck_engine_rest_seconds',
        'How long an engine still wants no requests from this process.',
        'engine',
    )
    for engine, rest_ms in stated.rests_ms.items():
        rests.add_metric((engine,), rest_ms / MILLIS_PER_SECOND)
    yield from (limits, rejections, leaving, rests)
    yield _counter(
        'hornbeamdeck_unread_response_headers',
        "Headers in engines' responses that no code reads, by name.",
        'header',
        stated.unread_headers,
    )


def _engine_metrics(metrics: GatewayMetrics) -> Iterator[Metric]:
    yield from _statement_metrics(metrics.engine_statements)
    yield _counter(
        'hornbeamdeck_returned_grants',
        'Grants not used, since their engine must not get the request.',
        'cause',
        metrics.returned_grants,
    )
    yield _counter(
        'hornbeamdeck_failed_engine_connects',
        'Attempts that could not connect to their engine, by cause.',
        'cause',
        metrics.failed_connects,
    )
    yield _counter(
        'hornbeamdeck_attempts_ended_by_limit',
        'Attempts that a limit on what engines send or read has ended.',
        'limit',
        metrics.exceeded_limits,
    )
    yield _counter(
        'hornbeamdeck_unusable_entries',
        'Entries of the store that were left out, once for each revision.',
        'kind',
        metrics.unusable_entries,
    )
    yield _counter(
        'hornbeamdeck_failed_tasks',
        'Long-lived tasks that an exception has ended; they are started again.',
        'task',
        metrics.failed_tasks,
    )
    reach = metrics.engine_reach
    yield GaugeMetricFamily(
        'hornbeamdeck_engines_out_of_reach',
        'Engines that this process does not reach itself.',
        reach.unreached,
    )
    yield CounterMetricFamily(
        'hornbeamdeck_tunnels_used',
        'Tunnels that other instances have opened for this process.',
        reach.opened_tunnels,
    )
    yield GaugeMetricFamily(
        'hornbeamdeck_tunnels_open',
        'Tunnels that are open here for other instances.',
        reach.open_tunnels,
    )


def _limit_metrics(metrics: GatewayMetrics) -> Iterator[Metric]:
    for name, documentation, read in _LIMIT_GAUGES:
        gauge = _gauge(name, documentation, _BY_SERVICE)
        for service, counts in metrics.limit_counts.items():
            gauge.add_metric((service,), read(counts))
        yield gauge
    yield from standing_metrics(metrics.limit_counts)


def _rollout_metrics(metrics: GatewayMetrics) -> Iterator[Metric]:
    phase = _gauge(
        'hornbeamdeck_rollout_phase',
        'Phase of the roll-out of a service.',
        _BY_SERVICE,
    )
    requests = GaugeMetricFamily(
        'hornbeamdeck_rollout_requests',
        'Requests granted during a roll-out, by version.',
        labels=(_BY_SERVICE, 'version'),
    )
    bad_answers = GaugeMetricFamily(
        'hornbeamdeck_rollout_bad_answers',
        'Failed or slow answers during a roll-out, by version.',
        labels=(_BY_SERVICE, 'version'),
    )
    for service, counts in metrics.rollouts.items():
        phase.add_metric((service,), counts.phase)
        for version, count in counts.requests.items():
            requests.add_metric((service, version), count)
        for version, count in counts.bad_answers.items():
            bad_answers.add_metric((service, version), count)
    yield from (phase, requests, bad_answers)


def _gauge(name: str, documentation: str, label: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(name, documentation, labels=(label,))


def _counter(
    name: str,
    documentation: str,
    label: str,
    counts: Mapping[str, int],
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, documentation, labels=(label,))
    for label_value, count in counts.items():
        family.add_metric((label_value,), count)
    return family


def _add_histogram(
    family: HistogramMetricFamily,
    labels: tuple[str, ...],
    histogram: LatencyHistogram,
) -> None:
    bounds = (*map(str, BUCKETS_S), '+Inf')
    buckets = list(zip(bounds, accumulate(histogram.counts), strict=True))
    family.add_metric(labels, buckets, histogram.sum_seconds)
