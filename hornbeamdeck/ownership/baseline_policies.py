"""Two simple placement policies that serve as baselines for grants.

With both, each instance sends requests immediately and without coordination.
Engines accept whatever they are sent, so requests queue there without regard
to tiers.
"""

import itertools
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, TypeAlias

from curio import sleep
from result import Err, Ok, Result

from hornbeamdeck.connection.client import async_fetch_on_new_connection
from hornbeamdeck.connection.http import HttpRequest
from hornbeamdeck.const import MILLIS_PER_SECOND
from hornbeamdeck.ownership.placement_policy import Acquire, Policy
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import refusal_from_owner
from hornbeamdeck.version.configuration import Configuration
from hornbeamdeck.version.entities import Upstream
from hornbeamdeck.wire import Enqueue, RefusalReason, Refuse, RunEnd

__all__ = ('LoadReports', 'least_reported_load', 'round_robin')

REPORT_PERIOD_MS: Final = 500
REPORT_TIMEOUT_MS: Final = 500
RETRY_MS: Final = 1000

CurrentConfiguration: TypeAlias = Callable[[], Configuration]


class LoadReports:
    """The last load report of each model engine."""

    def __init__(self, configuration: CurrentConfiguration) -> None:
        """Start without reports."""
        self._configuration = configuration
        self._reports: dict[str, float] = {}

    def load_of(self, upstream: Upstream) -> float:
        """Return the last reported load; 0 if there is no report."""
        return self._reports.get(upstream.name, 0)

    async def async_poll(self) -> None:
        """Poll every engine for its load, forever."""
        while True:
            for upstream in tuple(self._configuration().upstreams.values()):
                await self._async_fetch_report(upstream)
            await sleep(REPORT_PERIOD_MS / MILLIS_PER_SECOND)

    async def _async_fetch_report(self, upstream: Upstream) -> None:
        response = await async_fetch_on_new_connection(
            upstream.address,
            HttpRequest('GET', '/load', '', {}, b''),
            timeout_ms=REPORT_TIMEOUT_MS,
        )
        if (
            isinstance(response, Err)
            or response.ok_value.status != HTTPStatus.OK
        ):
            return
        report = json.loads(response.ok_value.body)
        self._reports[upstream.name] = report.get('running', 0)


async def _async_ignore_first_token(request_id: str, after_ms: float) -> None:
    """Ignore the time to first token."""


async def _async_ignore_end(
    request_id: str, end: RunEnd, total_ms: float
) -> None:
    """Ignore the end of a run."""


def _policy(choose: Callable[[Enqueue], Upstream | None]) -> Policy:
    async def _async_acquire(request: Enqueue) -> Result[str, NotRun]:
        chosen = choose(request)
        if chosen is None:
            refusal = Refuse(
                request_id=request.request_id,
                reason=RefusalReason.NO_UPSTREAM,
                retry_after_ms=RETRY_MS,
            )
            return Err(refusal_from_owner(refusal))
        return Ok(chosen.name)

    acquire: Acquire = _async_acquire
    return Policy(acquire, _async_ignore_first_token, _async_ignore_end)


def _candidates(
    configuration: Configuration,
    request: Enqueue,
) -> list[Upstream]:
    excluded = request.excluded or ()
    return [
        upstream
        for upstream in configuration.upstreams_of(request.cell)
        if upstream.name not in excluded
    ]


def round_robin(configuration: CurrentConfiguration) -> Policy:
    """Select upstreams in round-robin order."""
    turns = itertools.count()

    def _choose(request: Enqueue) -> Upstream | None:
        candidates = _candidates(configuration(), request)
        if not candidates:
            return None
        return candidates[next(turns) % len(candidates)]

    return _policy(_choose)


def least_reported_load(
    configuration: CurrentConfiguration,
    reports: LoadReports,
) -> Policy:
    """Select the upstream with the lowest reported load.

    Ties are broken in round-robin order.
    """
    turns = itertools.count()

    def _choose(request: Enqueue) -> Upstream | None:
        candidates = _candidates(configuration(), request)
        if not candidates:
            return None
        start = next(turns) % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        return min(rotated, key=reports.load_of)

    return _policy(_choose)
