"""Callers of a plain instance that send long bodies."""

from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.memory.budget import Purpose
from tests.support import GUIDES_AUTHORIZATION, async_fetch, on_fleet

HEADERS = {'host': 'x', 'authorization': GUIDES_AUTHORIZATION}
# More than there is always room for.
LONG_BODY = bytes(20_000)


@on_fleet(FleetPlan(speeds=(1,)))
async def test_instance_without_room_for_a_body_refuses_it(
    fleet: Fleet,
) -> None:
    """Guards against bodies that use up the memory of a plain instance."""
    instance = fleet.instances[0]
    memory = instance.components.memory
    room_bytes = memory.share_bytes(Purpose.REQUEST_BODIES)
    request = HttpRequest('POST', '/healthz', '', HEADERS, LONG_BODY)
    memory.hold(Purpose.REQUEST_BODIES, room_bytes)
    refused = await async_fetch(instance.own.address, request)
    memory.drop(Purpose.REQUEST_BODIES, room_bytes)
    served = await async_fetch(instance.own.address, request)
    assert refused.status == 503
    assert b'no_memory' in refused.body
    assert float(refused.headers['retry-after']) > 0
    assert served.status == 200
