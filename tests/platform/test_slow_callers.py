"""Tests of callers that read their responses slowly or not at all."""

from collections.abc import Callable
from typing import Final

from curio import TaskGroup
from result import Err

from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.const import MEBIBYTE
from hornbeamdeck.memory.budget import MemoryBudget, Purpose
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    load_at,
    make_request,
    on_platform,
)
from tests.platform.standins import EngineStandin, document, route
from tests.support import async_fetch

STREAM_PATH: Final = '/note/x'
# The two engines of the fleet have four slots each.
SLOTS: Final = 8
EVENT_BYTES: Final = 65_536
EVENTS: Final = 80
# More than there is always room for.
LONG_BODY: Final = bytes(20_000)


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
        # The engine ends at this event of a stream.
        self.cut_at = 0
        self._padding = b'x' * EVENT_BYTES

    def shorten(self) -> None:
        """Run requests that start from now on with few events."""
        self.events = 3

    def _event(self, number: int) -> bytes:
        if number == self.cut_at:
            raise ConnectionError
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


def _are_slots_free(fleet: PlatformFleet) -> bool:
    """Return whether all slots have been released."""
    return not any(
        load_at(fleet.gateways[0], engine).runs
        for engine in fleet.model_engines
    )


async def _async_fill_slots(
    fleet: PlatformFleet, on_wait: Callable[[], None] | None = None
) -> list[ClientConnection]:
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

    def _have_ended() -> bool:
        if on_wait is not None:
            on_wait()
        return _are_slots_free(fleet)

    await fleet.async_until(_have_ended)
    return callers


def _held_bytes(fleet: PlatformFleet) -> int:
    budget = fleet.gateways[0].spools.budget
    return budget.held_bytes(Purpose.UNREAD_RESPONSES)


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


async def _async_expect_answers(fleet: PlatformFleet) -> None:
    async with TaskGroup() as calls:
        for number in range(SLOTS):
            await calls.spawn(_async_call, fleet, number)
    assert calls.results == [200] * SLOTS


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
    await _async_expect_answers(fleet)
    for caller in callers:
        assert await _async_read_all(caller) > EVENTS * EVENT_BYTES
        await caller.async_close()


@on_platform()
async def test_stalled_callers_are_disconnected_when_memory_is_short(
    fleet: PlatformFleet,
) -> None:
    """Guards against slots and memory that callers hold without reading.

    All that eight callers don't read does not fit. Without an end of some of
    them, the engines of the others could not be read for as long as they wait.
    """
    spools = fleet.gateways[0].spools
    # Its share holds one of the responses.
    spools.budget = MemoryBudget(12 * MEBIBYTE)
    share_bytes = spools.budget.share_bytes(Purpose.UNREAD_RESPONSES)
    highest = [0]

    def _watch() -> None:
        highest.append(_held_bytes(fleet))

    callers = await _async_fill_slots(fleet, _watch)
    assert 0 < spools.disconnected_callers < SLOTS
    assert max(highest) < share_bytes + SLOTS * 2 * EVENT_BYTES
    await _async_expect_answers(fleet)
    for caller in callers:
        await caller.async_close()
    await fleet.async_until(lambda: not fleet.gateways[0].in_flight)
    assert not _held_bytes(fleet)


@on_platform()
async def test_broken_stream_is_delivered_up_to_its_break(
    fleet: PlatformFleet,
) -> None:
    """Guards against a late caller that loses what was received for it."""
    await _async_allow_long_streams(fleet)
    engine = LargeEngine('desk-l1')
    engine.cut_at = EVENTS
    await fleet.async_replace_model_engines([engine])
    caller = await _async_request_stream(fleet, 'cut')
    await fleet.async_until(lambda: bool(engine.executed))
    await fleet.async_until(lambda: _are_slots_free(fleet))
    assert _held_bytes(fleet) > 0
    (await caller.async_read_head()).unwrap()
    received = 0
    chunk = await caller.async_read_chunk()
    while chunk.ok():
        received += len(chunk.unwrap())
        chunk = await caller.async_read_chunk()
    assert isinstance(chunk, Err)
    assert received > (EVENTS - 1) * EVENT_BYTES


@on_platform()
async def test_planned_stop_waits_for_unread_responses(
    fleet: PlatformFleet,
) -> None:
    """Guards against complete responses that a planned stop cuts off."""
    callers = await _async_fill_slots(fleet)
    async with TaskGroup() as tasks:
        stop = await tasks.spawn(fleet.gateways[0].async_stop)
        reads = [
            await tasks.spawn(_async_read_all, caller) for caller in callers
        ]
    assert stop.result == 0
    assert all(read.result > EVENTS * EVENT_BYTES for read in reads)


@on_platform()
async def test_nothing_is_held_for_a_caller_that_has_left(
    fleet: PlatformFleet,
) -> None:
    """Guards against bytes and tasks that outlive their caller."""
    callers = await _async_fill_slots(fleet)
    assert _held_bytes(fleet) > 0
    for caller in callers:
        await caller.async_close()
    await fleet.async_until(lambda: not fleet.gateways[0].in_flight)
    assert not _held_bytes(fleet)


@on_platform()
async def test_connection_is_reused_after_a_response_read_late(
    fleet: PlatformFleet,
) -> None:
    """Guards against the rest of one response in the next one."""
    callers = await _async_fill_slots(fleet)
    caller = callers[0]
    assert await _async_read_all(caller) > EVENTS * EVENT_BYTES
    await fleet.async_until(lambda: fleet.gateways[0].in_flight < SLOTS)
    request = make_request(
        STREAM_PATH, tokens=TOKEN_COUNTS, hornbeamdeck_request_id='next'
    )
    response = (await caller.async_fetch(request)).unwrap()
    assert response.status == 200
    assert response.body.startswith(b'id: 1\n')


async def _async_send_body(fleet: PlatformFleet) -> HttpResponse:
    request = make_request('/seats/x')._replace(body=LONG_BODY)
    return await async_fetch(fleet.address(0), request)


@on_platform()
async def test_request_without_room_for_its_body_is_refused(
    fleet: PlatformFleet,
) -> None:
    """Guards against bodies that use up the memory of an instance."""
    budget = fleet.gateways[0].spools.budget
    room_bytes = budget.share_bytes(Purpose.REQUEST_BODIES)
    budget.hold(Purpose.REQUEST_BODIES, room_bytes)
    refused = await _async_send_body(fleet)
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
    assert not any(engine.executed for engine in fleet.booking_engines)
    assert (await fleet.async_call('/seats/x')).status == 200
    budget.drop(Purpose.REQUEST_BODIES, room_bytes)
    served = await _async_send_body(fleet)
    assert served.status == 200
    await fleet.async_until(
        lambda: not budget.held_bytes(Purpose.REQUEST_BODIES)
    )
