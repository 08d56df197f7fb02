"""Tests of an owner that the store turns away while it serves the others."""

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from tests.platform.fleet import PlatformFleet, on_platform
from tests.platform.lost_fleets import (
    async_list_version,
    async_start_again,
    recorded_versions,
)
from tests.platform.standins import StoreStandin, async_listen
from tests.platform.stream_caller import StreamCaller

GATEWAYS = 3


class _StoreFront:
    """An address of the store that may turn its callers away."""

    def __init__(self, store: StoreStandin) -> None:
        self.turns_away = False
        self._store = store

    async def async_start(self) -> Address:
        return (await async_listen(self._async_handle)).address

    async def _async_handle(
        self, request: HttpRequest, caller: ServerConnection
    ) -> None:
        if self.turns_away:
            await caller.async_respond(HttpResponse(503, {}, b''))
            return
        await self._store._async_handle(request, caller)  # noqa: SLF001


async def _async_start(fleet: PlatformFleet) -> list[_StoreFront]:
    """Start gateways that each have an address of the store."""
    fronts = [_StoreFront(fleet.store) for _ in range(GATEWAYS)]
    for number, front in enumerate(fronts):
        address = await front.async_start()
        await fleet.async_add_gateway(number, store=address)
    await fleet.async_until(
        lambda: all(
            len(gateway.components.heartbeats.liveness.serving_instances())
            == GATEWAYS
            for gateway in fleet.gateways
        )
    )
    return fronts


@on_platform(0)
async def test_version_that_joins_is_recorded_before_it_begins_streams(
    fleet: PlatformFleet,
) -> None:
    """Guards against streams of two versions after the loss of all."""
    fronts = await _async_start(fleet)
    older, newer = fleet.model_engines
    older.run_version('v1')
    newer.events = 60
    newer.event_gap_s = 0.05
    await fleet.store.async_remove('servers', newer.name)
    await fleet.async_until(lambda: recorded_versions(fleet) == {'v1'})
    fronts[fleet.gateways.index(fleet.owner)].turns_away = True
    await fleet.async_until(
        lambda: not fleet.owner.components.reader.is_store_reached
    )
    await async_list_version(fleet, newer, 'v2')
    caller = StreamCaller(fleet, 'first')
    history = fleet.owner.components.cells.cells['desk'].origins.history
    await fleet.async_until(lambda: 'v2' in history.listed)
    await fleet.async_until(
        lambda: not history.unrecorded(now_ms(), is_resumable=True)
    )
    assert recorded_versions(fleet) == {'v1', 'v2'}
    assert not fleet.owner.components.reader.is_store_reached
    older.limit_room(0)
    await caller.async_begin(0)
    assert caller.versions == {'v2'}
    for front in fronts:
        front.turns_away = False
    for gateway in fleet.gateways:
        await gateway.async_kill()
    fleet.gateways.clear()
    older.limit_room(4)
    await fleet.store.async_remove('servers', newer.name)
    await async_start_again(fleet, GATEWAYS)
    await caller.async_resume(0)
    assert caller.versions == {'v2'}
