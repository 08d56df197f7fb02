"""Objects of the store, other than engines, that others have written."""

import json

from curio import sleep
from structlog.testing import capture_logs

from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.standins import document


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
    """Guards against instances that read what they can't use without a pause,
    which takes all the calls that the store allows.
    """
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
        await fleet.async_until(
            lambda: all(
                gateway.components.follower.configuration.version == 6
                for gateway in fleet.gateways
            )
        )
    ignored = [
        line for line in lines if line['event'] == 'invalid document ignored'
    ]
    assert 1 <= len(ignored) <= 3
    for number, gateway in enumerate(fleet.gateways):
        assert (await fleet.async_call('/seats/x', number)).status == 200
        assert gateway.components.metrics.unusable_entries['config'] <= 1
