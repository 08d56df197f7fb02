"""Routes a request to the code that answers it."""

from http import HTTPStatus
from typing import Final

from result import Err, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.request_loop import RequestHandler
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.request.admission import (
    PLAIN_PREFIX,
    Admission,
    admit_model,
    admit_plain,
    make_request_id,
)
from hornbeamdeck.request.admitted_request import (
    AnswerContext,
    async_answer_admitted_request,
)
from hornbeamdeck.request.endpoints import RouterContext, answer_own_endpoint
from hornbeamdeck.request.outcome import NotRun, to_response
from hornbeamdeck.request.refusal import (
    instance_stops,
    too_many_connections,
)

__all__ = ('RouterContext', 'make_request_handler', 'refuse_unreadable')

COMPLETION_PATHS: Final = ('/v1/chat/completions', '/v1/completions')


def make_request_handler(routing: RouterContext) -> RequestHandler:
    """Make the handler that answers one request."""

    async def _async_answer(
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        connections = routing.caller_connections
        if routing.shutdown.is_requested or connections.is_crowded:
            caller.close_after_response()
        context = routing.make_answer_context()
        with routing.track_in_flight():
            await _async_route(routing, context, request, caller)

    return _async_answer


async def _async_route(
    routing: RouterContext,
    context: AnswerContext,
    request: HttpRequest,
    caller: ServerConnection,
) -> None:
    request_id = make_request_id()
    if routing.caller_connections.is_exhausted:
        refusal = too_many_connections(request_id)
        await caller.async_respond(to_response(refusal, request_id))
        return
    if request.path in COMPLETION_PATHS:
        admitted = _admit_completion_call(context, request, request_id)
    elif request.path.startswith(PLAIN_PREFIX):
        admitted = admit_plain(context.configuration, request, request_id)
    else:
        response = answer_own_endpoint(routing, context, request, request_id)
        await caller.async_respond(response)
        return
    if isinstance(admitted, Err):
        context.metrics.refused_input.labels(admitted.err_value.code).inc()
        response = to_response(admitted.err_value, request_id)
        await caller.async_respond(response)
        return
    if not routing.shutdown.may_begin(now_ms(), admitted.ok_value.deadline_ms):
        response = to_response(instance_stops(), request_id)
        await caller.async_respond(response)
        return
    await async_answer_admitted_request(context, admitted.ok_value, caller)


def _admit_completion_call(
    context: AnswerContext,
    request: HttpRequest,
    request_id: str,
) -> Result[Admission, NotRun]:
    if request.method != 'POST':
        return Err(
            NotRun(
                HTTPStatus.METHOD_NOT_ALLOWED,
                'method_not_allowed',
                'completions are asked for by POST',
            ),
        )
    return admit_model(context.configuration, request, request_id)


def refuse_unreadable(bad: BadRequest) -> HttpResponse:
    """Make the response to a request that can't be parsed."""
    refusal = NotRun(bad.status, bad.code, bad.detail, bad.retry_after_ms)
    return to_response(refusal, make_request_id())
