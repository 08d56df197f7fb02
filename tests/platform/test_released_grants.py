"""Tests that nothing stays counted for requests that have ended."""

from curio import sleep

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.client import ClientConnection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.memory.budget import Purpose
from hornbeamdeck.process.gateway import Gateway
from hornbeamdeck.store.freshness_guard import SEND_MARGIN_MS
from tests.platform.fleet import (
    TOKEN_COUNTS,
    PlatformFleet,
    make_request,
    on_platform,
)

# When callers leave, milliseconds after they were granted an engine.
MOMENTS_MS = (0, 1, 2, 3, 5, 8, 13, 21, 34, 55)


def _granted(fleet: PlatformFleet) -> int:
    """Count the slots that the owner counts as taken."""
    cells = fleet.owner.components.cells.cells.values()
    return sum(len(load.runs) for cell in cells for load in cell.loads.values())


def _held_bytes(gateway: Gateway) -> int:
    return sum(map(gateway.spools.budget.held_bytes, Purpose))


async def _async_expect_idle(fleet: PlatformFleet) -> None:
    await fleet.async_until(
        lambda: not any(gateway.in_flight for gateway in fleet.gateways)
    )
    await fleet.async_until(lambda: not _granted(fleet))
    await fleet.async_until(lambda: not any(map(_held_bytes, fleet.gateways)))
    assert not any(each.tunnels.open_tunnels for each in fleet.gateways)


def _counted_tokens(fleet: PlatformFleet) -> int:
    """Return the tokens that any team has spent, as the ingresses report."""
    reports = (
        gateway.components.spending.report(now_ms())
        for gateway in fleet.gateways
    )
    return sum(sum(spent.by_age) for report in reports for spent in report)


def _let_requests_wait_for_engines(fleet: PlatformFleet) -> None:
    """Have the list of engines read for each request, without an answer."""
    fleet.store.is_silent = True
    for gateway in fleet.gateways:
        bounds = gateway.settings.bounds._replace(drain_ms=SEND_MARGIN_MS)
        gateway.settings = gateway.settings._replace(bounds=bounds)


async def _async_send(
    fleet: PlatformFleet, request: HttpRequest, gateway: int = 0
) -> ClientConnection:
    """Send a request and wait until it has been granted an engine."""
    connection = await fleet.async_open(gateway)
    assert (await connection.async_send(request)).is_ok()
    await fleet.async_until(lambda: bool(_granted(fleet)))
    return connection


@on_platform(2)
async def test_caller_that_leaves_before_the_engine_is_checked_frees_its_slot(
    fleet: PlatformFleet,
) -> None:
    """Guards against slots that are lost whenever the store is away."""
    _let_requests_wait_for_engines(fleet)
    for gateway in range(2):
        connection = await _async_send(fleet, make_request('/seats/x'), gateway)
        await connection.async_close()
        await _async_expect_idle(fleet)
    assert not _counted_tokens(fleet)


@on_platform()
async def test_deadline_that_passes_before_the_engine_is_checked_frees_its_slot(
    fleet: PlatformFleet,
) -> None:
    """Guards against slots that are lost to short deadlines in an outage."""
    _let_requests_wait_for_engines(fleet)
    request = make_request('/seats/x', hornbeamdeck_deadline_ms='150')
    connection = await _async_send(fleet, request)
    assert (await connection.async_read_head()).unwrap().status == 503
    await _async_expect_idle(fleet)
    assert not _counted_tokens(fleet)


@on_platform(2)
async def test_caller_that_leaves_at_any_moment_frees_its_slot(
    fleet: PlatformFleet,
) -> None:
    """Guards against a step between grant and response that keeps a slot."""
    for engine in fleet.model_engines:
        engine.event_gap_s = 0.02
    for number, moment_ms in enumerate(MOMENTS_MS):
        request = make_request(
            '/note/x',
            tokens=TOKEN_COUNTS,
            hornbeamdeck_request_id=f'id-{number}',
        )
        connection = await _async_send(fleet, request, number % 2)
        await sleep(moment_ms / 1000)
        await connection.async_close()
        await _async_expect_idle(fleet)
