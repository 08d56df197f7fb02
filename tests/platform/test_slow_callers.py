"""Tests of callers that read their responses slowly or not at all."""

from typing import Final

from curio import TaskGroup

from hornbeamdeck.connection.client import ClientConnection
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)
from tests.platform.standins import EngineStandin, document, route

STREAM_PATH: Final = '/note/x'
# The two engines of the fleet have four slots each.
SLOTS: Final = 8
EVENT_BYTES: Final = 65_536
EVENTS: Final = 80


async def _async_request_stream(
    fleet: PlatformFleet, request_id: str
) -> ClientConnection:
    """Request a stream without reading anything of the response."""
    connection = await fleet.async_open()
    request = make_request(
        STREAM_PATH,
        tokens=TOKEN_COUNTS,
        hornbeamdeck_request_id=request_id,
        hornbeamdeck_deadline_ms='20000',
    )
    (await connection.async_send(request)).unwrap()
    return connection


class LargeEngine(EngineStandin):
    """An engine whose events are large."""

    def __init__(self, name: str) -> None:
        super().__init__(name, events=EVENTS)
        self._padding = b'x' * EVENT_BYTES

    @property
    def is_running(self) -> bool:
        """Return whether any request runs."""
        return bool(self._room.running)

    def shorten(self) -> None:
        """Run requests that start from now on with few events."""
        self.events = 3

    def _event(self, number: int) -> bytes:
        return super()._event(number).rstrip() + self._padding + b'\n\n'


async def _async_allow_long_streams(fleet: PlatformFleet) -> None:
    routes = [
        route('/note/', kind='streaming', service='desk', timeout_ms=20_000)
    ]
    version = fleet.gateways[0].components.metrics.configuration_version
    await fleet.store.async_put('config', 'main', document(routes=routes))
    await fleet.async_until(
        lambda: all(
            each.components.metrics.configuration_version > version
            for each in fleet.gateways
        )
    )


async def _async_fill_slots(fleet: PlatformFleet) -> list[ClientConnection]:
    """Occupy all slots with streams of 5 MB whose callers don't read.

    Streams that start later are short.
    """
    await _async_allow_long_streams(fleet)
    engines = [LargeEngine('desk-l1'), LargeEngine('desk-l2')]
    await fleet.async_replace_model_engines(engines)
    callers = [
        await _async_request_stream(fleet, f'unread-{number}')
        for number in range(SLOTS)
    ]
    await fleet.async_until(
        lambda: sum(len(each.executed) for each in engines) == SLOTS
    )
    for engine in engines:
        engine.shorten()
    await fleet.async_until(
        lambda: not any(engine.is_running for engine in engines)
    )
    return callers


async def _async_read_all(connection: ClientConnection) -> int:
    """Read a response; return the length of its body."""
    (await connection.async_read_head()).unwrap()
    return len((await connection.async_read_body()).unwrap())


async def _async_call(fleet: PlatformFleet, number: int) -> int:
    response = await fleet.async_call(
        STREAM_PATH,
        tokens=TOKEN_COUNTS,
        hornbeamdeck_request_id=f'other-{number}',
    )
    return response.status


@on_platform()
async def test_callers_that_do_not_read_leave_slots_free(
    fleet: PlatformFleet,
) -> None:
    """Guards against slots that stay occupied until callers read.

    A caller that didn't read its stream stopped the relay, and the engine
    waited with its response. Eight of them held all slots, and the requests
    of all others were refused.
    """
    callers = await _async_fill_slots(fleet)
    async with TaskGroup() as calls:
        for number in range(SLOTS):
            await calls.spawn(_async_call, fleet, number)
    assert calls.results == [200] * SLOTS
    for caller in callers:
        assert await _async_read_all(caller) > EVENTS * EVENT_BYTES
        await caller.async_close()
