"""Tests of the metrics against their documentation and their use."""

import pathlib

from prometheus_client import CollectorRegistry

from hornbeamdeck.demo.client import async_call
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.observability.gateway_metrics import GatewayMetrics
from hornbeamdeck.observability.gateway_metrics_export import make_registry
from hornbeamdeck.observability.metrics import Metrics
from tests.support import booking_entry, completion_entry, on_fleet

ROOT = pathlib.Path(__file__).parent.parent


def _metric_names(registry: CollectorRegistry) -> set[str]:
    names = set()
    for family in registry.collect():
        suffix = '_total' if family.type == 'counter' else ''
        names.add(f'{family.name}{suffix}')
    return names


def test_metrics_page_lists_every_metric() -> None:
    page = (ROOT / 'docs/operators/metrics.md').read_text()
    listed = {
        line.split('`')[1]
        for line in page.splitlines()
        if line.startswith('| `')
    }
    gateway = make_registry(GatewayMetrics())
    assert listed == _metric_names(Metrics().registry) | _metric_names(gateway)


@on_fleet(FleetPlan(instances=2, speeds=(1.0,)))
async def test_every_metric_is_recorded(fleet: Fleet) -> None:
    """A metric that no code ever sets stays at zero. An operator would conclude
    from it that there is no problem.
    """
    for number, instance in enumerate(fleet.instances):
        await async_call(completion_entry(), number, instance.own.address)
        await async_call(
            booking_entry(f'key-{number}'),
            number,
            instance.own.address,
        )
        await async_call(
            completion_entry(service='oak'),
            number,
            instance.own.address,
        )
    recorded = {
        sample.name.removesuffix('_count')
        for instance in fleet.instances
        for family in instance.components.metrics.registry.collect()
        for sample in family.samples
        if sample.value
    }
    assert (
        _metric_names(Metrics().registry) - {'hornbeamdeck_in_flight'}
        <= recorded
    )
