"""Objects of the store, other than engines, that others have written."""

import json
import math
from collections.abc import Mapping, Sequence
from typing import Any

from curio import sleep
from structlog.testing import capture_logs

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import document

LOSSES = {'connection to peer lost', 'connection failed', 'task failed'}


@on_platform(2)
async def test_status_of_an_id_with_a_slash_ends_no_instance(
    fleet: PlatformFleet,
) -> None:
    """Guards against one stored status that ends all tasks of all instances."""
    own = fleet.gateways[0].components.membership.own_status
    for name in ('x/y', 'é', ' z', ''):
        odd = own._replace(instance_id=name)
        await fleet.store.async_put(
            'instances', name, json.loads(odd.to_text())
        )
    added = await fleet.async_add_gateway(2)
    await fleet.async_until(
        lambda: all(
            'x/y' in each.components.membership.ranked_ids('')
            for each in fleet.gateways
        )
    )
    for number, gateway in enumerate(fleet.gateways):
        assert (await fleet.async_call('/seats/x', number)).status == 200
        assert not gateway.components.metrics.failed_tasks
    assert added.is_ready


@on_platform(3)
async def test_unusable_configuration_is_read_at_intervals(
    fleet: PlatformFleet,
) -> None:
    """Guards against reads without a pause of what can't be used."""
    odd = {'version': 5, 'routes': [{'name': 'r'}] * 100}
    with capture_logs() as lines:
        await fleet.store.async_put_unchanged('config', 'main', odd)
        calls_before = fleet.store.calls
        for _ in range(20):
            for number in range(3):
                refused = await fleet.async_call('/seats/x', number)
                assert refused.status in {200, 503}
            await sleep(0.1)
        assert fleet.store.calls - calls_before < 150
        await fleet.store.async_put_unchanged(
            'config', 'main', document(version=6)
        )
        await _async_applied(fleet, 6)
    ignored = [
        line for line in lines if line['event'] == 'invalid document ignored'
    ]
    assert 1 <= len(ignored) <= 3
    for number, gateway in enumerate(fleet.gateways):
        assert (await fleet.async_call('/seats/x', number)).status == 200
        assert gateway.components.metrics.unusable_entries['config'] <= 1


def _change_routes(**changes: Any) -> dict[str, Any]:
    found = document()
    return {
        **found,
        'routes': [{**each, **changes} for each in found['routes']],
    }


def _change_team(**changes: Any) -> dict[str, Any]:
    found = document()
    return {**found, 'tenants': [{**found['tenants'][0], **changes}]}


def _change_engine(**changes: Any) -> dict[str, Any]:
    engine = {'slots': 4, 'stride': 6, 'kv_tokens': 600_000, **changes}
    services = [{'name': 'desk', 'engine': engine}, {'name': 'counter'}]
    return document(services=services)


LARGE_NUMBERS = (1 << 40, 10**30, math.inf)
ROUTE_NUMBERS = (
    'timeout_ms',
    'target_latency_ms',
    'target_gap_ms',
    'priority',
    'max_attempts',
)
TEAM_NUMBERS = ('rate_per_s', 'burst', 'priority')
ENGINE_NUMBERS = ('slots', 'stride', 'kv_tokens')
USABLE_CONFIGURATIONS = {
    **{
        f'routes of {number:.3g}': _change_routes(
            **dict.fromkeys(ROUTE_NUMBERS, number)
        )
        for number in LARGE_NUMBERS
    },
    **{
        f'team of {number:.3g}': _change_team(
            **dict.fromkeys(TEAM_NUMBERS, number)
        )
        for number in LARGE_NUMBERS
    },
    **{
        f'engine of {number:.3g}': _change_engine(
            **dict.fromkeys(ENGINE_NUMBERS, number)
        )
        for number in LARGE_NUMBERS
    },
    'team of another script': _change_team(name='équipe 日本'),
    'endless weights': _change_routes(
        traffic_split=[{'service': 'counter', 'weight': math.inf}],
        kind='idempotent',
    ),
}


async def _async_applied(fleet: PlatformFleet, version: int) -> None:
    """Wait until a version is in force everywhere."""
    await fleet.async_until(
        lambda: all(
            each.components.follower.configuration.version == version
            for each in fleet.gateways
        )
    )


def _losses(lines: Sequence[Mapping[str, Any]]) -> list[Mapping[str, Any]]:
    return [line for line in lines if line['event'] in LOSSES]


@on_platform(2)
async def test_configuration_with_odd_values_serves_all(
    fleet: PlatformFleet,
) -> None:
    """Guards against numbers that end connections to peers and callers."""
    for name, odd in USABLE_CONFIGURATIONS.items():
        with capture_logs() as lines:
            await fleet.store.async_put('config', 'main', odd)
            await _async_applied(fleet, fleet.store.configuration_version)
            for number in (0, 1):
                for path in ('/seats/x', '/guide/x', '/open/x'):
                    answer = await fleet.async_call(path, number)
                    assert answer.status == 200, (name, path)
            await sleep(0.1)
        lost = _losses(lines)
        assert not lost, name


UNUSABLE_CONFIGURATIONS = {
    'version beyond 64 bits': document(version=1 << 64),
    'version that is a boolean': document(version=True),
    'route of half a character': {
        **_change_routes(name='\ud800'),
        'version': 1001,
    },
    'service of half a character': {
        **_change_routes(service='\ud800'),
        'version': 1001,
    },
    'team of two lines': {**_change_team(name='a\nb'), 'version': 1001},
}


@on_platform(2)
async def test_configuration_that_no_peer_can_be_told_is_not_applied(
    fleet: PlatformFleet,
) -> None:
    """Guards against names that end connections between instances."""
    version = 100
    for name, odd in UNUSABLE_CONFIGURATIONS.items():
        with capture_logs() as lines:
            await fleet.store.async_put_unchanged('config', 'main', odd)
            await sleep(0.7)
            for number, gateway in enumerate(fleet.gateways):
                applied = gateway.components.follower.configuration.version
                assert applied < 1000, name
                answer = await fleet.async_call('/seats/x', number)
                assert answer.status in {200, 503}, name
        lost = _losses(lines)
        assert not lost, name
        version += 2
        sound = document(version=version)
        await fleet.store.async_put_unchanged('config', 'main', sound)
        await _async_applied(fleet, version)
