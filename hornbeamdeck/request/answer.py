"""A request's way from admission to its last byte."""

from typing import Final, NamedTuple

import structlog
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_within
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import HEADER_OUTCOME, HEADER_REQUEST_ID
from hornbeamdeck.process.background import Background
from hornbeamdeck.process.metrics import Metrics
from hornbeamdeck.process.policy import Policy
from hornbeamdeck.request.admission import Admission
from hornbeamdeck.request.once import Once, Recorded
from hornbeamdeck.request.once_sources import OnceSources, async_take_once
from hornbeamdeck.request.outcome import (
    Failure,
    Outcome,
    Unknown,
    to_response,
)
from hornbeamdeck.request.placement import Placement, async_place
from hornbeamdeck.request.relay import async_relay, too_late
from hornbeamdeck.version.configuration import Configuration

__all__ = ('Answering', 'async_answer_admitted', 'async_fail')

CLAIMED_GRACE_MS: Final = 30_000

_LOGGER = structlog.get_logger(prefix='request')


class Answering(NamedTuple):
    """What answering a request needs of the process.

    :param configuration: the version that admitted the request.
    """

    configuration: Configuration
    policy: Policy
    once: OnceSources
    metrics: Metrics
    background: Background


async def async_answer_admitted(
    parts: Answering,
    admission: Admission,
    caller: ServerConnection,
) -> None:
    """Answer a request; every way out gives the caller one final word."""
    if admission.may_repeat:
        await _async_run(parts, admission, None, caller)
        return
    taken = await async_take_once(parts.once, admission)
    if isinstance(taken, Err):
        await async_fail(parts.metrics, admission, taken.err_value, caller)
        return
    match taken.ok_value:
        case Once() as once:
            await _async_run(parts, admission, once, caller)
        case Recorded() as recorded:
            await _async_replay(parts, admission, recorded, caller)
        case HttpResponse() as forwarded:
            parts.metrics.count(*_labels(admission), 'forwarded')
            await caller.async_respond(forwarded)


def _labels(admission: Admission) -> tuple[str, str]:
    return admission.service.name, admission.tier.name


async def _async_run(
    parts: Answering,
    admission: Admission,
    once: Once | None,
    caller: ServerConnection,
) -> None:
    placed = None
    try:
        placed = await async_place(
            admission,
            parts.configuration,
            parts.policy,
        )
    finally:
        # Reached by refusals and by callers that leave while they wait.
        if once is not None and not isinstance(placed, Ok):
            await once.release()
    if isinstance(placed, Err):
        await async_fail(parts.metrics, admission, placed.err_value, caller)
        return
    if once is None:
        relayed = await async_relay(
            admission,
            placed.ok_value,
            parts.policy,
            caller,
            limit_ms=admission.left_ms,
        )
    else:
        relayed = await _async_run_claimed(
            parts,
            admission,
            placed.ok_value,
            once,
        )
    if isinstance(relayed, Err):
        await async_fail(parts.metrics, admission, relayed.err_value, caller)
        return
    parts.metrics.count(*_labels(admission), 'ran')
    if not caller.has_started:
        await caller.async_respond(relayed.ok_value)


async def _async_run_claimed(
    parts: Answering,
    admission: Admission,
    placement: Placement,
    once: Once,
) -> Result[HttpResponse, Unknown]:
    """Run a call that must not repeat to its end, with or without its caller.

    A customer whose connection drops while a booking runs, or who waits in
    vain, sends it again. Were the run cut off with its caller or at its
    deadline, nobody could tell that customer whether the booking was made.
    """

    async def _async_work() -> Result[HttpResponse, Unknown]:
        relayed = await async_relay(
            admission,
            placement,
            parts.policy,
            None,
            limit_ms=admission.left_ms + CLAIMED_GRACE_MS,
        )
        if not isinstance(relayed, Err):
            await once.record(relayed.ok_value)
        return relayed

    work = await parts.background.async_spawn(_async_work())
    try:
        relayed: Result[HttpResponse, Unknown] = await async_within(
            admission.left_ms,
            work.join(),
        )
    except TaskTimeout:
        return Err(too_late())
    return relayed


async def async_fail(
    metrics: Metrics,
    admission: Admission,
    failure: Failure,
    caller: ServerConnection,
) -> None:
    """Tell the caller of a failure, on its connection or by breaking it."""
    metrics.count(*_labels(admission), failure.outcome.value)
    _LOGGER.info(
        'request failed',
        request_id=admission.request_id,
        code=failure.code,
        outcome=failure.outcome.value,
    )
    if caller.has_started:
        # Half an answer is on the wire; only a broken connection says so.
        caller.abort()
        return
    await caller.async_respond(to_response(failure, admission.request_id))


async def _async_replay(
    parts: Answering,
    admission: Admission,
    recorded: Recorded,
    caller: ServerConnection,
) -> None:
    parts.metrics.count(*_labels(admission), 'replay')
    response = recorded.response
    headers = {
        **response.headers,
        HEADER_OUTCOME: Outcome.RAN.value,
        HEADER_REQUEST_ID: admission.request_id,
    }
    await caller.async_respond(response._replace(headers=headers))
