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
from hornbeamdeck.request.claim import Claim, Claims, Recorded
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
    claims: Claims
    metrics: Metrics
    background: Background


async def async_answer_admitted(
    parts: Answering,
    admission: Admission,
    caller: ServerConnection,
) -> None:
    """Answer a request; every way out gives the caller one final word."""
    claim: Claim | None = None
    if not admission.may_repeat:
        claimed = await parts.claims.async_claim(admission)
        if isinstance(claimed, Err):
            await async_fail(
                parts.metrics, admission, claimed.err_value, caller
            )
            return
        if isinstance(claimed.ok_value, Recorded):
            await _async_replay(parts, admission, claimed.ok_value, caller)
            return
        claim = claimed.ok_value
    await _async_run(parts, admission, claim, caller)


async def _async_run(
    parts: Answering,
    admission: Admission,
    claim: Claim | None,
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
        if claim is not None and not isinstance(placed, Ok):
            await parts.claims.async_release(claim)
    if isinstance(placed, Err):
        await async_fail(parts.metrics, admission, placed.err_value, caller)
        return
    if claim is None:
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
            claim,
        )
    if isinstance(relayed, Err):
        await async_fail(parts.metrics, admission, relayed.err_value, caller)
        return
    parts.metrics.count(admission.service.name, admission.tier.name, 'ran')
    if not caller.has_started:
        await caller.async_respond(relayed.ok_value)


async def _async_run_claimed(
    parts: Answering,
    admission: Admission,
    placement: Placement,
    claim: Claim,
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
            await parts.claims.async_record(claim, relayed.ok_value)
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
    metrics.count(
        admission.service.name,
        admission.tier.name,
        failure.outcome.value,
    )
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
    parts.metrics.count(admission.service.name, admission.tier.name, 'replay')
    response = recorded.response
    headers = {
        **response.headers,
        HEADER_OUTCOME: Outcome.RAN.value,
        HEADER_REQUEST_ID: admission.request_id,
    }
    await caller.async_respond(response._replace(headers=headers))
