"""What answers the routed requests of one caller's connection."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from http import HTTPStatus
from typing import Final, NamedTuple, TypeAlias

import structlog
from result import Err, Result

from hornbeamdeck.connection.errors import BadRequest
from hornbeamdeck.connection.exchange import Answer
from hornbeamdeck.connection.http import HttpRequest, HttpResponse
from hornbeamdeck.connection.kept import KeptConnections
from hornbeamdeck.connection.server import ServerConnection
from hornbeamdeck.process.front_metrics import FrontMetrics
from hornbeamdeck.process.proofs import Proofs
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.routed_admission import RoutedAdmission, async_admit
from hornbeamdeck.request.routed_ask import Dialect
from hornbeamdeck.version.routed import RoutedConfiguration
from hornbeamdeck.wire import Enqueue, Grant, RunEnd

__all__ = ('Edge', 'RunRequest', 'make_routed_answer', 'refuse_unreadable')

_LOGGER = structlog.get_logger(prefix='edge')

# Streams run for seconds; one that begins in the last two thirds of a planned
# stop may still run at its end. Other answers are there in a fraction of it.
STREAM_SHARE: Final = 0.35
WHOLE_SHARE: Final = 0.8
# Another instance is there at once.
LEAVING_RETRY_MS: Final = 20

RunRequest: TypeAlias = Callable[
    [RoutedAdmission, ServerConnection],
    Awaitable[None],
]


_Granted: TypeAlias = Result[Grant, NotRun]
Acquire: TypeAlias = Callable[[Enqueue], Awaitable[_Granted]]


class Edge(NamedTuple):
    """What answering routed requests needs of the process.

    :param proofs: how current configuration and list of engines are.
    :param connections: to engines, kept from one request to the next.
    :param acquire: waits for a grant.
    :param progress: told a request's id and its time to first token, ms.
    :param release: told a request's id, how its run ended, after how long, and
        the longest pause between two events, ms.
    :param spend: told a team's name and the tokens that it was granted.
    :param zone: this instance's availability zone.
    :param is_leaving: whether a planned stop has begun.
    :param stop_share: part of a planned stop's time that is over; 0: none.
    :param in_flight: counts a request while it is being answered.
    """

    dialect: Dialect
    configuration: Callable[[], RoutedConfiguration]
    proofs: Proofs
    connections: KeptConnections
    acquire: Acquire
    progress: Callable[[str, float], Awaitable[None]]
    release: Callable[[str, RunEnd, float, float], Awaitable[None]]
    spend: Callable[[str, int], None]
    metrics: FrontMetrics
    zone: str
    is_leaving: Callable[[], bool]
    stop_share: Callable[[], float]
    in_flight: Callable[[], AbstractContextManager[None]]


def make_routed_answer(edge: Edge, run: RunRequest) -> Answer:
    """Make the function that answers one request.

    :param run: gets a request that was admitted to its answer.
    """

    async def _async_answer(
        request: HttpRequest,
        caller: ServerConnection,
    ) -> None:
        if edge.is_leaving():
            caller.close_after_response()
        with edge.in_flight():
            await _async_admit(edge, run, request, caller)

    return _async_answer


async def _async_admit(
    edge: Edge,
    run: RunRequest,
    request: HttpRequest,
    caller: ServerConnection,
) -> None:
    asked = edge.dialect.read(request)
    if isinstance(asked, Err):
        # What follows on this connection may be the rest of the bad request.
        caller.close_after_response()
        await _async_refuse(edge, '', asked.err_value, caller)
        return
    ask = asked.ok_value
    admitted = await async_admit(edge.configuration, edge.proofs, ask)
    if isinstance(admitted, Err):
        await _async_refuse(edge, ask.request_id, admitted.err_value, caller)
        return
    if _would_be_cut(edge, admitted.ok_value):
        await _async_refuse(edge, ask.request_id, _leaving(), caller)
        return
    await run(admitted.ok_value, caller)


def _would_be_cut(edge: Edge, admission: RoutedAdmission) -> bool:
    """Whether a planned stop would cut a request off that comes now.

    Some callers keep an address far longer than they are told and come in the
    last seconds of a stop. A stream begun then would break in the middle.
    """
    share = STREAM_SHARE if admission.route.is_stream else WHOLE_SHARE
    return edge.stop_share() > share


def _leaving() -> NotRun:
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'leaving',
        'this instance is about to stop; another one serves',
        LEAVING_RETRY_MS,
    )


async def _async_refuse(
    edge: Edge,
    request_id: str,
    refusal: NotRun,
    caller: ServerConnection,
) -> None:
    edge.metrics.refused(refusal.code)
    _LOGGER.info(
        'request refused at the edge',
        request_id=request_id,
        code=refusal.code,
        status=int(refusal.status),
        configuration_version=edge.configuration().version,
        newest_version=edge.proofs.newest_version,
        proof_age_ms=_shown(edge.proofs.configuration_age_ms()),
    )
    await caller.async_respond(edge.dialect.refusal(refusal, request_id))


def refuse_unreadable(edge: Edge, bad: BadRequest) -> HttpResponse:
    """Make the response to a request that can't be read."""
    refusal = NotRun(HTTPStatus(bad.status), 'unreadable', bad.detail)
    edge.metrics.refused(refusal.code)
    return edge.dialect.refusal(refusal, '')


def _shown(age_ms: float) -> int | None:
    return int(age_ms) if age_ms < float('inf') else None
