"""Answers an admitted request, from its claim to the last response byte."""

from typing import Final, NamedTuple

import structlog
from curio.errors import TaskTimeout
from result import Err, Ok, Result

from hornbeamdeck.clock import async_with_timeout
from hornbeamdeck.connection.http import HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import HEADER_OUTCOME, HEADER_REQUEST_ID
from hornbeamdeck.observability.metrics import Metrics
from hornbeamdeck.ownership.placement_policy import Policy
from hornbeamdeck.process.background import Background
from hornbeamdeck.request.admission import Admission
from hornbeamdeck.request.execution_right import Once, Recorded
from hornbeamdeck.request.idempotency import (
    IdempotencyContext,
    async_acquire_execution_right,
)
from hornbeamdeck.request.outcome import (
    Failure,
    Outcome,
    Unknown,
    to_response,
)
from hornbeamdeck.request.placement import Placement, async_acquire_upstream
from hornbeamdeck.request.relay import async_relay, deadline_passed_during_run
from hornbeamdeck.version.configuration import Configuration

__all__ = ('AnswerContext', 'async_answer_admitted_request', 'async_fail')

CLAIMED_RUN_GRACE_MS: Final = 30_000

_LOGGER = structlog.get_logger(prefix='request')


class AnswerContext(NamedTuple):
    """Dependencies for answering a request.

    :param configuration: the version that admitted the request.
    """

    configuration: Configuration
    policy: Policy
    execution_rights: IdempotencyContext
    metrics: Metrics
    background: Background


async def async_answer_admitted_request(
    context: AnswerContext,
    admission: Admission,
    caller: ServerConnection,
) -> None:
    """Answer a request.

    However it ends, the caller gets exactly one final response, or its
    connection is broken.
    """
    if admission.is_repeatable:
        await _async_run(context, admission, None, caller)
        return
    claimed = await async_acquire_execution_right(
        context.execution_rights, admission
    )
    if isinstance(claimed, Err):
        await async_fail(context.metrics, admission, claimed.err_value, caller)
        return
    match claimed.ok_value:
        case Once() as execution_right:
            await _async_run(context, admission, execution_right, caller)
        case Recorded() as recorded:
            await _async_replay(context, admission, recorded, caller)
        case HttpResponse() as forwarded:
            context.metrics.count(*_metric_labels(admission), 'forwarded')
            await caller.async_respond(forwarded)


def _metric_labels(admission: Admission) -> tuple[str, str]:
    return admission.service.name, admission.tier.name


async def _async_run(
    context: AnswerContext,
    admission: Admission,
    execution_right: Once | None,
    caller: ServerConnection,
) -> None:
    placed = None
    try:
        placed = await async_acquire_upstream(
            admission,
            context.configuration,
            context.policy,
        )
    finally:
        # This also runs if the request is refused, or if its caller
        # disconnects while it is queued.
        if execution_right is not None and not isinstance(placed, Ok):
            await execution_right.release()
    if isinstance(placed, Err):
        await async_fail(context.metrics, admission, placed.err_value, caller)
        return
    if execution_right is None:
        relayed = await async_relay(
            admission,
            placed.ok_value,
            context.policy,
            caller,
            limit_ms=admission.left_ms,
        )
    else:
        relayed = await _async_run_claimed(
            context,
            admission,
            placed.ok_value,
            execution_right,
        )
    if isinstance(relayed, Err):
        await async_fail(context.metrics, admission, relayed.err_value, caller)
        return
    context.metrics.count(*_metric_labels(admission), 'ran')
    if not caller.has_response_started:
        await caller.async_respond(relayed.ok_value)


async def _async_run_claimed(
    context: AnswerContext,
    admission: Admission,
    placement: Placement,
    execution_right: Once,
) -> Result[HttpResponse, Unknown]:
    """Run a non-idempotent call to its end, even if its caller disconnects.

    A customer whose connection drops while a booking runs, or who gets no
    response in time, sends the booking again. If the run were cancelled with
    the connection or at the deadline, its outcome would stay unknown: no
    response could say whether the booking was made.
    """

    async def _async_run_and_record() -> Result[HttpResponse, Unknown]:
        relayed = await async_relay(
            admission,
            placement,
            context.policy,
            None,
            limit_ms=admission.left_ms + CLAIMED_RUN_GRACE_MS,
        )
        if not isinstance(relayed, Err):
            await execution_right.record(relayed.ok_value)
        return relayed

    work = await context.background.async_spawn(_async_run_and_record())
    try:
        relayed: Result[HttpResponse, Unknown] = await async_with_timeout(
            admission.left_ms,
            work.join(),
        )
    except TaskTimeout:
        return Err(deadline_passed_during_run())
    return relayed


async def async_fail(
    metrics: Metrics,
    admission: Admission,
    failure: Failure,
    caller: ServerConnection,
) -> None:
    """Report a failure to the caller, by a response if none has started."""
    metrics.count(*_metric_labels(admission), failure.outcome.value)
    _LOGGER.info(
        'request failed',
        request_id=admission.request_id,
        code=failure.code,
        outcome=failure.outcome.value,
    )
    if caller.has_response_started:
        # Part of a response has been sent, so only a broken connection can
        # still signal the failure.
        caller.reset_on_close()
        return
    await caller.async_respond(to_response(failure, admission.request_id))


async def _async_replay(
    context: AnswerContext,
    admission: Admission,
    recorded: Recorded,
    caller: ServerConnection,
) -> None:
    context.metrics.count(*_metric_labels(admission), 'replay')
    response = recorded.response
    headers = {
        **response.headers,
        HEADER_OUTCOME: Outcome.RAN.value,
        HEADER_REQUEST_ID: admission.request_id,
    }
    await caller.async_respond(response._replace(headers=headers))
