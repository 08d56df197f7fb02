"""Which part answers a request that has been read."""

import json
from collections.abc import Callable
from contextlib import AbstractContextManager
from http import HTTPStatus
from typing import Final, NamedTuple

from result import Err, Result

from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.exchange import Answer
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.const import ENCODING
from hornbeamdeck.process.membership import Membership
from hornbeamdeck.request.admission import (
    PLAIN_PREFIX,
    Admission,
    admit_model,
    admit_plain,
    identify,
    new_id,
)
from hornbeamdeck.request.answer import Answering, async_answer_admitted
from hornbeamdeck.request.once_sources import issue_for
from hornbeamdeck.request.outcome import NotRun, to_response
from hornbeamdeck.request.refusal import bad_request

__all__ = ('Routing', 'make_answer', 'refuse_unreadable')

COMPLETION_PATHS: Final = ('/v1/chat/completions', '/v1/completions')
ENTRIES_COUNT: Final = 3
METRICS_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'


class Routing(NamedTuple):
    """What the router needs of the process.

    :param answering: gives the parts, with the configuration in force now.
    :param is_leaving: whether a planned stop has begun.
    :param in_flight: counts a request while it is being answered.
    """

    answering: Callable[[], Answering]
    membership: Membership
    entries_ttl_ms: int
    is_leaving: Callable[[], bool]
    in_flight: Callable[[], AbstractContextManager[None]]


def make_answer(routing: Routing) -> Answer:
    """Make the function that answers one request."""

    async def _async_answer(
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        if routing.is_leaving():
            caller.close_after_response()
        parts = routing.answering()
        with routing.in_flight():
            await _async_route(routing, parts, request, caller)

    return _async_answer


async def _async_route(
    routing: Routing,
    parts: Answering,
    request: HttpRequest,
    caller: ServerConnection,
) -> None:
    request_id = new_id()
    if request.path in COMPLETION_PATHS:
        admitted = _admit_completion(parts, request, request_id)
    elif request.path.startswith(PLAIN_PREFIX):
        admitted = admit_plain(parts.configuration, request, request_id)
    else:
        response = _own_page(routing, parts, request, request_id)
        await caller.async_respond(response)
        return
    if isinstance(admitted, Err):
        parts.metrics.refused_input.labels(admitted.err_value.code).inc()
        response = to_response(admitted.err_value, request_id)
        await caller.async_respond(response)
        return
    await async_answer_admitted(parts, admitted.ok_value, caller)


def _admit_completion(
    parts: Answering,
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
    return admit_model(parts.configuration, request, request_id)


def _own_page(
    routing: Routing,
    parts: Answering,
    request: HttpRequest,
    request_id: str,
) -> HttpResponse:
    match request.path:
        case '/healthz':
            return _health(routing, parts)
        case '/metrics':
            headers = {'content-type': METRICS_TYPE}
            return HttpResponse(HTTPStatus.OK, headers, parts.metrics.render())
        case '/v1/entries':
            return _entries(routing, parts, request, request_id)
        case '/v1/idempotency-keys':
            return _issue(routing, parts, request, request_id)
        case '/v1/models':
            return _models(parts, request, request_id)
    refusal = NotRun(HTTPStatus.NOT_FOUND, 'no_such_path', 'no such path')
    return to_response(refusal, request_id)


def _health(routing: Routing, parts: Answering) -> HttpResponse:
    version = parts.configuration.version
    if routing.is_leaving():
        return _json(HTTPStatus.SERVICE_UNAVAILABLE, {'state': 'leaving'})
    state = 'ready' if version else 'no configuration'
    status = HTTPStatus.OK if version else HTTPStatus.SERVICE_UNAVAILABLE
    return _json(status, {'state': state, 'configuration_version': version})


def _entries(
    routing: Routing,
    parts: Answering,
    request: HttpRequest,
    request_id: str,
) -> HttpResponse:
    team = identify(parts.configuration, request.headers)
    if isinstance(team, Err):
        return to_response(team.err_value, request_id)
    chosen = routing.membership.entries(request_id, ENTRIES_COUNT)
    entries = [
        {
            'address': str(status.address),
            'availability_zone': status.availability_zone,
        }
        for status in chosen
    ]
    return _json(
        HTTPStatus.OK,
        {'entries': entries, 'ttl_ms': routing.entries_ttl_ms},
    )


def _issue(
    routing: Routing,
    parts: Answering,
    request: HttpRequest,
    request_id: str,
) -> HttpResponse:
    team = identify(parts.configuration, request.headers)
    if isinstance(team, Err):
        return to_response(team.err_value, request_id)
    if routing.is_leaving():
        # What this process remembers goes with it.
        refusal = NotRun(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'leaving',
            'this instance is leaving; ask another',
        )
        return to_response(refusal, request_id)
    key = issue_for(parts.once, team.ok_value.name)
    return _json(HTTPStatus.CREATED, {'idempotency_key': key})


def _models(
    parts: Answering,
    request: HttpRequest,
    request_id: str,
) -> HttpResponse:
    team = identify(parts.configuration, request.headers)
    if isinstance(team, Err):
        return to_response(team.err_value, request_id)
    models = [
        {
            'id': name,
            'object': 'model',
            'created': 0,
            'owned_by': 'hornbeamdeck',
        }
        for name in team.ok_value.services
        if parts.configuration.services[name].is_model
    ]
    return _json(HTTPStatus.OK, {'object': 'list', 'data': models})


def _json(status: HTTPStatus, body: object) -> HttpResponse:
    headers = {'content-type': 'application/json'}
    return HttpResponse(status, headers, json.dumps(body).encode(ENCODING))


def refuse_unreadable(bad: BadRequest) -> HttpResponse:
    """Make the response to a request that can't be read."""
    refusal = bad_request(bad.detail, 'unreadable')._replace(status=bad.status)
    return to_response(refusal, new_id())
