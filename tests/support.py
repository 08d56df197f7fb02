"""Helpers for tests: run curio code and send calls to a fleet."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any, Final

import curio

from hornbeamdeck.connection.address import Address
from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.demo.configuration import team_key
from hornbeamdeck.demo.fleet import Fleet, FleetPlan
from hornbeamdeck.demo.trace import TraceEntry

CONNECT_TIMEOUT_MS: Final = 2000
GUIDES_AUTHORIZATION: Final = f'Bearer {team_key("guides")}'

Scenario = Callable[[Fleet], Awaitable[None]]


def curio_test(scenario: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    """Decorate a coroutine function so that it runs as a test."""

    @functools.wraps(scenario)
    def _run() -> None:
        curio.run(scenario)

    return _run


def on_fleet(plan: FleetPlan) -> Callable[[Scenario], Callable[[], None]]:
    """Decorate a scenario so that it runs as a test on a new fleet.

    The fleet is stopped when the scenario ends.
    """

    def _decorate(scenario: Scenario) -> Callable[[], None]:
        async def _async_scenario() -> None:
            fleet = await Fleet.async_start(plan)
            try:
                await scenario(fleet)
            finally:
                await fleet.async_stop()

        def test_scenario() -> None:
            curio.run(_async_scenario)

        test_scenario.__doc__ = scenario.__doc__
        return test_scenario

    return _decorate


async def async_fetch(address: Address, request: HttpRequest) -> HttpResponse:
    """Send a request on a new connection and return the response."""
    response = await async_fetch_on_new_connection(
        address,
        request,
        timeout_ms=CONNECT_TIMEOUT_MS,
    )
    return response.unwrap()


def completion_entry(**changes: Any) -> TraceEntry:
    """Build a trace entry for the model service.

    :param changes: fields that replace the defaults.
    """
    entry = TraceEntry(
        at_ms=0,
        team='guides',
        tier='urgent',
        service='desk',
        deadline_ms=10_000,
        prompt_chars=200,
        output_tokens=8,
    )
    return entry._replace(**changes)


def booking_entry(key: str, **changes: Any) -> TraceEntry:
    """Build a trace entry for a booking with an idempotency key.

    :param changes: fields that replace the defaults.
    """
    entry = TraceEntry(
        at_ms=0,
        team='families',
        tier='urgent',
        service='counter',
        deadline_ms=10_000,
        path='/bookings',
        idempotency_key=key,
    )
    return entry._replace(**changes)
