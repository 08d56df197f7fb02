"""Metrics of requests by the standing of their teams."""

from collections.abc import Iterator, Mapping

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from hornbeamdeck.observability.gateway_metrics import LimitCounts
from hornbeamdeck.scheduling.standing import Standing

__all__ = ('standing_metrics',)


def standing_metrics(by_service: Mapping[str, LimitCounts]) -> Iterator[Metric]:
    """Yield the metrics that the owner of all cells reports."""
    labels = ('service', 'standing')
    waiting = GaugeMetricFamily(
        'hornbeamdeck_waiting_requests_by_standing',
        'Requests that wait, by the standing of their teams.',
        labels=labels,
    )
    refused = CounterMetricFamily(
        'hornbeamdeck_refusals_by_standing',
        'Requests that this owner has refused, by the standing of their teams.',
        labels=labels,
    )
    for service, counts in by_service.items():
        for standing in Standing:
            key = (service, standing.name.lower())
            waiting.add_metric(key, counts.standings.waiting.get(standing, 0))
            refused.add_metric(key, counts.standings.refused.get(standing, 0))
    yield from (waiting, refused)
