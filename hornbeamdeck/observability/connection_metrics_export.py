"""Exports the metrics of the sockets that a process has open."""

from collections.abc import Iterator
from typing import Final

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from hornbeamdeck.observability.gateway_metrics import ConnectionCounts

__all__ = ('connection_metrics',)

_BY_SIDE: Final = ('side',)


def connection_metrics(counts: ConnectionCounts) -> Iterator[Metric]:
    """Yield what is open, what may be, and what was closed for room."""
    open_connections = GaugeMetricFamily(
        'hornbeamdeck_open_connections',
        'Connections that others have open here.',
        labels=_BY_SIDE,
    )
    for side, count in counts.open_connections.items():
        open_connections.add_metric((side,), count)
    closed = CounterMetricFamily(
        'hornbeamdeck_connections_closed_for_room',
        'Connections closed since there were too many.',
        labels=_BY_SIDE,
    )
    for each, closed_count in counts.closed_for_room.items():
        closed.add_metric((each,), closed_count)
    yield from (open_connections, closed)
    yield GaugeMetricFamily(
        'hornbeamdeck_open_sockets',
        'Sockets that the process has open for any purpose.',
        counts.open_sockets,
    )
    yield GaugeMetricFamily(
        'hornbeamdeck_most_sockets',
        'Sockets that the process may have open.',
        counts.most_sockets,
    )
    yield CounterMetricFamily(
        'hornbeamdeck_failed_accepts',
        'Connections that could not be accepted.',
        counts.failed_accepts,
    )
