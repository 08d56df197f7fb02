"""Endpoints that an instance serves itself, without an upstream."""

import json
from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias

from result import Err

from hornbeamdeck.connection.connection_limit import ConnectionLimit
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.const import ENCODING
from hornbeamdeck.membership.membership import Membership
from hornbeamdeck.request.admission import authenticate_team
from hornbeamdeck.request.admitted_request import AnswerContext
from hornbeamdeck.request.idempotency import issue_key_for_team
from hornbeamdeck.request.outcome import NotRun, to_response
from hornbeamdeck.scheduling.shutdown import Shutdown
from hornbeamdeck.version.entities import Team

__all__ = ('RouterContext', 'answer_own_endpoint')

MAX_ENTRIES: Final = 3
MODEL_FIELDS: Final[Mapping[str, object]] = MappingProxyType(
    {'object': 'model', 'created': 0, 'owned_by': 'hornbeamdeck'},
)
METRICS_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'


class RouterContext(NamedTuple):
    """Dependencies of the router.

    :param make_answer_context: returns the dependencies for answering a
        request, with the configuration in force now.
    :param shutdown: the graceful shutdown of this process, if it has begun.
    :param caller_connections: the connections that callers have open.
    :param track_in_flight: counts a request while it is being answered.
    """

    make_answer_context: Callable[[], AnswerContext]
    membership: Membership
    entries_ttl_ms: int
    shutdown: Shutdown
    caller_connections: ConnectionLimit
    track_in_flight: Callable[[], AbstractContextManager[None]]


TeamEndpoint: TypeAlias = Callable[
    [RouterContext, AnswerContext, Team, str], HttpResponse
]


def answer_own_endpoint(
    routing: RouterContext,
    context: AnswerContext,
    request: HttpRequest,
    request_id: str,
) -> HttpResponse:
    """Answer a request whose path is not forwarded to an upstream."""
    match request.path:
        case '/healthz':
            return _health(routing, context)
        case '/metrics':
            headers = {'content-type': METRICS_TYPE}
            return HttpResponse(
                HTTPStatus.OK, headers, context.metrics.render()
            )
    endpoint = _TEAM_ENDPOINTS.get(request.path)
    if endpoint is None:
        refusal = NotRun(HTTPStatus.NOT_FOUND, 'no_such_path', 'no such path')
        return to_response(refusal, request_id)
    team = authenticate_team(context.configuration, request.headers)
    if isinstance(team, Err):
        return to_response(team.err_value, request_id)
    return endpoint(routing, context, team.ok_value, request_id)


def _health(routing: RouterContext, context: AnswerContext) -> HttpResponse:
    version = context.configuration.version
    if routing.shutdown.is_requested:
        return _json_response(
            HTTPStatus.SERVICE_UNAVAILABLE, {'state': 'leaving'}
        )
    state = 'ready' if version else 'no configuration'
    status = HTTPStatus.OK if version else HTTPStatus.SERVICE_UNAVAILABLE
    return _json_response(
        status, {'state': state, 'configuration_version': version}
    )


def _entries(
    routing: RouterContext,
    _context: AnswerContext,
    _team: Team,
    request_id: str,
) -> HttpResponse:
    chosen = routing.membership.entries_for(request_id, MAX_ENTRIES)
    entries = [
        {
            'address': str(status.address),
            'availability_zone': status.availability_zone,
        }
        for status in chosen
    ]
    return _json_response(
        HTTPStatus.OK,
        {'entries': entries, 'ttl_ms': routing.entries_ttl_ms},
    )


def _issue_idempotency_key(
    routing: RouterContext,
    context: AnswerContext,
    team: Team,
    request_id: str,
) -> HttpResponse:
    if routing.shutdown.is_requested:
        # The records of issued keys are in this process's memory and are lost
        # when it stops.
        refusal = NotRun(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'leaving',
            'this instance is leaving; ask another',
        )
        return to_response(refusal, request_id)
    key = issue_key_for_team(context.execution_rights, team.name)
    return _json_response(HTTPStatus.CREATED, {'idempotency_key': key})


def _models(
    _routing: RouterContext,
    context: AnswerContext,
    team: Team,
    _request_id: str,
) -> HttpResponse:
    models = [
        {**MODEL_FIELDS, 'id': name}
        for name in team.services
        if context.configuration.services[name].is_model
    ]
    return _json_response(HTTPStatus.OK, {'object': 'list', 'data': models})


def _json_response(status: HTTPStatus, body: object) -> HttpResponse:
    headers = {'content-type': 'application/json'}
    return HttpResponse(status, headers, json.dumps(body).encode(ENCODING))


_TEAM_ENDPOINTS: Final[Mapping[str, TeamEndpoint]] = MappingProxyType(
    {
        '/v1/entries': _entries,
        '/v1/idempotency-keys': _issue_idempotency_key,
        '/v1/models': _models,
    },
)
