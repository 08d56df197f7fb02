"""Objects of the store, other than engines, that others have written."""

import json

from tests.platform.fleet import PlatformFleet, on_platform


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
