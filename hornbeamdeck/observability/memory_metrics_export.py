"""Exports the metrics of the memory that is held for peers."""

from collections.abc import Iterator
from typing import Final

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from hornbeamdeck.observability.gateway_metrics import MemoryCounts

__all__ = ('memory_metrics',)

_BY_PURPOSE: Final = ('purpose',)


def memory_metrics(counts: MemoryCounts) -> Iterator[Metric]:
    """Yield what is held, and what could not be."""
    held = GaugeMetricFamily(
        'hornbeamdeck_held_bytes',
        'Bytes that are held for callers, engines and instances.',
        labels=_BY_PURPOSE,
    )
    for purpose, held_bytes in counts.held_bytes.items():
        held.add_metric((purpose,), held_bytes)
    without_room = CounterMetricFamily(
        'hornbeamdeck_times_without_room',
        'How often no more bytes could be held.',
        labels=_BY_PURPOSE,
    )
    for each, times in counts.times_without_room.items():
        without_room.add_metric((each,), times)
    disconnected = CounterMetricFamily(
        'hornbeamdeck_disconnected_callers',
        'Callers disconnected since they did not read and memory was short.',
        counts.disconnected_callers,
    )
    yield from (held, without_room, disconnected)
