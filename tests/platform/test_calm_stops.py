"""Planned stops without any other fault, under calls of every kind."""

from collections import Counter
from functools import partial
from typing import NamedTuple

import pytest
from curio import TaskGroup, sleep, spawn
from result import Ok

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import (
    ClientConnection,
    async_fetch_on_new_connection,
)
from tests.platform.endless_calls import async_allow_time
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)

# Longer than the stop, which ends 2.3 s after its request.
ADDRESS_TTL_MS = 2000
# Calls take this long, and streams three times as long.
CALL_S = 0.12
# At each instance.
CALLERS = 6
# Less than a stop takes.
STOP_GAP_S = 0.5
PAUSE_S = 0.05
# How long a request may be underway that crosses the end of its connection.
CROSSING_MS = 150
PATHS = ('/note/x', '/guide/x', '/seats/x', '/seats/pay/x', '/open/x')
DEADLINES_MS = (600, 1500, 9000)
# Of the two engines together.
SLOTS = 8
QUEUED_CALLS = 12
# Longer than they wait here.
OBJECTIVE_MS = 3000


class _End(NamedTuple):
    """How one call ended; status 0: its connection ended without a response."""

    request_id: str
    path: str
    status: int
    took_ms: float


class _Caller:
    """Calls an instance on kept connections until it is gone."""

    def __init__(self, fleet: PlatformFleet, gateway: int, number: int) -> None:
        self.ends: list[_End] = []
        self._fleet = fleet
        self._gateway = gateway
        self._number = number
        self._connection: ClientConnection | None = None

    async def async_run(self) -> None:
        """Make calls until no connection can be opened."""
        made = 0
        while await self._async_connect():
            await self._async_call(made)
            made += 1
            await sleep(PAUSE_S)

    async def _async_connect(self) -> bool:
        if self._connection is not None:
            return True
        opened = await ClientConnection.async_open(
            self._fleet.address(self._gateway), timeout_ms=1000
        )
        self._connection = opened.ok()
        return isinstance(opened, Ok)

    async def _async_call(self, made: int) -> None:
        assert self._connection is not None
        path = PATHS[(made + self._number) % len(PATHS)]
        request = make_request(
            path,
            tokens=TOKEN_COUNTS if path in PATHS[:2] else '',
            hornbeamdeck_request_id=f'call-{self._number}-{made}',
            hornbeamdeck_deadline_ms=str(
                DEADLINES_MS[made % len(DEADLINES_MS)]
            ),
        )
        sent_ms = now_ms()
        got = await self._connection.async_fetch(request)
        request_id = request.headers['hornbeamdeck-request-id']
        status = got.ok_value.status if isinstance(got, Ok) else 0
        took_ms = now_ms() - sent_ms
        self.ends.append(_End(request_id, path, status, took_ms))
        if not isinstance(got, Ok) or 'connection' in got.ok_value.headers:
            await self._connection.async_close()
            self._connection = None


def _executed(fleet: PlatformFleet) -> Counter[str]:
    return Counter(
        request.headers['hornbeamdeck-request-id']
        for engine in fleet.model_engines + fleet.booking_engines
        for request in engine.executed
    )


def _broken_promises(ends: list[_End], executed: Counter[str]) -> list[_End]:
    """Return calls that were cut off, or refused although they have run."""
    broken = []
    for end in ends:
        has_run = end.request_id in executed
        is_cut = not end.status and (has_run or end.took_ms > CROSSING_MS)
        if is_cut or (end.status == 503 and has_run):
            broken.append(end)
    return broken


async def _async_stop_under_calls(
    fleet: PlatformFleet, stopping: list[int]
) -> list[_End]:
    """Stop instances in turn while callers use them until they are gone."""
    callers = [
        _Caller(fleet, gateway, number)
        for number, gateway in enumerate(stopping * CALLERS)
    ]
    async with TaskGroup() as running:
        for caller in callers:
            await running.spawn(caller.async_run)
        for number in stopping:
            gateway = fleet.gateways[number]
            bounds = gateway.settings.bounds._replace(
                entries_ttl_ms=ADDRESS_TTL_MS
            )
            gateway.reload(gateway.settings._replace(bounds=bounds))
            await sleep(STOP_GAP_S)
            await running.spawn(gateway.async_stop)
    return [end for caller in callers for end in caller.ends]


@pytest.mark.parametrize('is_owner', [True, False])
def test_calm_stop_answers_or_refuses_every_call(is_owner: bool) -> None:
    """Guards against calls that a planned stop cuts off."""

    @on_platform(3)
    async def _run(fleet: PlatformFleet) -> None:
        await async_allow_time(fleet, 500)
        for engine in fleet.model_engines + fleet.booking_engines:
            engine.event_gap_s = CALL_S
        ranked = fleet.ranked_gateways()
        ends = await _async_stop_under_calls(
            fleet, [ranked[0 if is_owner else 2]]
        )
        executed = _executed(fleet)
        assert not _broken_promises(ends, executed)
        assert {end.status for end in ends} <= {0, 200, 503}
        assert max(executed.values()) == 1
        assert sum(end.status == 200 for end in ends) > CALLERS * len(PATHS)

    _run()


@on_platform(5)
async def test_instances_that_stop_in_turn_cut_off_no_call(
    fleet: PlatformFleet,
) -> None:
    """Guards against calls that are lost while owners follow one another."""
    await async_allow_time(fleet, 500)
    for engine in fleet.model_engines + fleet.booking_engines:
        engine.event_gap_s = CALL_S / 3
    ends = await _async_stop_under_calls(fleet, fleet.ranked_gateways()[:4])
    executed = _executed(fleet)
    assert not _broken_promises(ends, executed)
    assert {end.status for end in ends} <= {0, 200, 503}
    assert max(executed.values()) == 1


async def _async_stop_with_queue(
    fleet: PlatformFleet, path: str, call_s: float
) -> Counter[int]:
    """Stop an instance at which many more calls wait than can run.

    :returns: how often calls ended with a status.
    """
    await async_allow_time(fleet, OBJECTIVE_MS)
    for engine in fleet.model_engines + fleet.booking_engines:
        engine.event_gap_s = call_s
    gateway = fleet.gateways[0]
    caller = partial(_async_call_once, fleet, path)
    async with TaskGroup() as calls:
        for number in range(QUEUED_CALLS):
            await calls.spawn(caller, number)
        await fleet.async_until(lambda: gateway.in_flight == QUEUED_CALLS)
        stop = await spawn(gateway.async_stop)
    await stop.join()
    return Counter(calls.results)


async def _async_call_once(fleet: PlatformFleet, path: str, number: int) -> int:
    request = make_request(
        path,
        tokens=TOKEN_COUNTS if path in PATHS[:2] else '',
        hornbeamdeck_request_id=f'call-{number}',
        hornbeamdeck_deadline_ms='9000',
    )
    got = await async_fetch_on_new_connection(
        fleet.address(0), request, timeout_ms=9000
    )
    return got.ok_value.status if isinstance(got, Ok) else 0


@pytest.mark.parametrize(
    ('path', 'call_s'),
    [('/seats/x', 1.4), ('/note/x', 0.47), ('/guide/x', 0.47)],
)
def test_calls_are_not_sent_when_the_stop_leaves_no_time(
    path: str, call_s: float
) -> None:
    """Guards against calls that are sent to be cut off a moment later."""

    @on_platform()
    async def _run(fleet: PlatformFleet) -> None:
        statuses = await _async_stop_with_queue(fleet, path, call_s)
        engines = fleet.model_engines + fleet.booking_engines
        assert set(statuses) == {200, 503}
        assert statuses[200] >= SLOTS
        assert not sum(engine.cancelled_runs for engine in engines)

    _run()
