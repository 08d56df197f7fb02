"""Admits or refuses the gateway requests of a caller's connection."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TypeAlias

import structlog
from result import Err

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.request_loop import RequestHandler
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.request.gateway_admission import GatewayAdmission, async_admit
from hornbeamdeck.request.gateway_context import GatewayContext
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import (
    id_in_use,
    instance_stops,
    too_many_connections,
)

__all__ = (
    'RunAdmitted',
    'make_gateway_handler',
    'refuse_unreadable',
)

_LOGGER = structlog.get_logger(prefix='edge')

RunAdmitted: TypeAlias = Callable[
    [GatewayAdmission, ServerConnection],
    Awaitable[None],
]


def make_gateway_handler(
    context: GatewayContext, run: RunAdmitted
) -> RequestHandler:
    """Make the handler that answers one request.

    :param run: runs a request that was admitted.
    """
    running_ids: set[str] = set()

    async def _async_run(
        admission: GatewayAdmission, caller: ServerConnection
    ) -> None:
        # Owners and engines tell requests apart by their ids only.
        request_id = admission.request.request_id
        if request_id in running_ids:
            await _async_refuse(
                context, request_id, id_in_use(request_id), caller
            )
            return
        running_ids.add(request_id)
        try:
            await run(admission, caller)
        finally:
            running_ids.discard(request_id)

    async def _async_answer(
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        connections = context.caller_connections
        if context.shutdown.is_requested or connections.is_crowded:
            caller.close_after_response()
        with context.track_in_flight():
            await _async_admit(context, _async_run, request, caller)

    return _async_answer


async def _async_admit(
    context: GatewayContext,
    run: RunAdmitted,
    request: HttpRequest,
    caller: ServerConnection,
) -> None:
    decoded = context.dialect.read_request(request)
    if isinstance(decoded, Err):
        # Further bytes on this connection may belong to the bad request.
        caller.close_after_response()
        await _async_refuse(context, '', decoded.err_value, caller)
        return
    gateway_request = decoded.ok_value
    if context.caller_connections.is_exhausted:
        request_id = gateway_request.request_id
        refusal = too_many_connections(request_id)
        await _async_refuse(context, request_id, refusal, caller)
        return
    admitted = await async_admit(
        context.configuration, context.freshness_guard, gateway_request
    )
    if isinstance(admitted, Err):
        await _async_refuse(
            context, gateway_request.request_id, admitted.err_value, caller
        )
        return
    if not context.shutdown.may_begin(now_ms(), admitted.ok_value.deadline_ms):
        await _async_refuse(
            context, gateway_request.request_id, instance_stops(), caller
        )
        return
    await run(admitted.ok_value, caller)


async def _async_refuse(
    context: GatewayContext,
    request_id: str,
    refusal: NotRun,
    caller: ServerConnection,
) -> None:
    context.metrics.count_refusal(refusal.code)
    _LOGGER.info(
        'request refused at the edge',
        request_id=request_id,
        code=refusal.code,
        status=int(refusal.status),
        configuration_version=context.configuration().version,
        newest_version=context.freshness_guard.newest_confirmed_version,
        proof_age_ms=_span_for_log(
            context.freshness_guard.configuration_age_ms()
        ),
        shutdown_left_ms=_span_for_log(context.shutdown.left_ms(now_ms())),
    )
    await caller.async_respond(
        context.dialect.failure_response(refusal, request_id)
    )


def refuse_unreadable(context: GatewayContext, bad: BadRequest) -> HttpResponse:
    """Make the response to a request that can't be parsed."""
    refusal = NotRun(
        HTTPStatus(bad.status), bad.code, bad.detail, bad.retry_after_ms
    )
    context.metrics.count_refusal(refusal.code)
    return context.dialect.failure_response(refusal, '')


def _span_for_log(span_ms: float) -> int | None:
    return int(span_ms) if span_ms < float('inf') else None
