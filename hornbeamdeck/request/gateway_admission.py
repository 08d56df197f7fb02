"""Finds the route and the team of a gateway request before it is queued."""

import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.request.gateway_request import GatewayRequest
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import spread_retry_ms, unauthorized
from hornbeamdeck.store.freshness_guard import FreshnessGuard
from hornbeamdeck.version.gateway import (
    GatewayConfiguration,
    GatewayTeam,
    Route,
)

__all__ = (
    'CLIENT_TIMEOUT_GAPS',
    'GatewayAdmission',
    'async_admit',
    'recheck_key',
)

# Callers disconnect from a stream that has not begun after the longest of these
# times: a minimum, a multiple of the objective and a multiple of the gap.
MIN_CLIENT_TIMEOUT_MS: Final = 2000
CLIENT_TIMEOUT_OBJECTIVES: Final = 4
CLIENT_TIMEOUT_GAPS: Final = 8
# If a request may be sent to another engine, a silent engine is abandoned after
# this many times the objective. For a stream that may be resumed, it is this
# many times the allowed gap if that is longer.
MAX_SILENT_OBJECTIVES: Final = 3
MAX_SILENT_GAPS: Final = 3
# How much of its objective a request may take to be sent if another engine may
# get it afterwards, and how much of the time left if none may.
SENDING_OBJECTIVE_SHARE: Final = 0.25
SENDING_LEFT_SHARE: Final = 0.5
MIN_SENDING_MS: Final = 100
# A longer text names no request.
MAX_ID_CHARS: Final = 256
# Part of the client timeout reserved for the transfer back to the caller.
RESPONSE_TRANSFER_MS: Final = 150


class GatewayAdmission(NamedTuple):
    """A request that may be queued for an engine.

    :param arrived_ms: when it had been read, on this process's clock.
    :param deadline_ms: when its final response is due, on the same clock.
    """

    request: GatewayRequest
    route: Route
    service: str
    team: GatewayTeam | None
    arrived_ms: float
    deadline_ms: float

    @property
    def team_name(self) -> str:
        """Name of the team that holds its key; empty for a public route."""
        return self.team.name if self.team else ''

    @property
    def left_ms(self) -> int:
        """Time left until its deadline, at least 0, milliseconds."""
        return max(int(self.deadline_ms - now_ms()), 0)

    @property
    def objective_left_ms(self) -> int:
        """Time left until a response would be late; below 0 if it is."""
        return int(self.arrived_ms + self.route.objective_ms - now_ms())

    @property
    def client_timeout_left_ms(self) -> int:
        """Time left until the client timeout for the first byte."""
        if not self.route.is_stream:
            return self.left_ms
        timeout_ms = max(
            MIN_CLIENT_TIMEOUT_MS,
            CLIENT_TIMEOUT_OBJECTIVES * self.route.objective_ms,
            CLIENT_TIMEOUT_GAPS * self.route.gap_ms,
        )
        end_ms = self.arrived_ms + timeout_ms - RESPONSE_TRANSFER_MS
        left_ms = min(
            self.left_ms - RESPONSE_TRANSFER_MS, int(end_ms - now_ms())
        )
        return max(left_ms, 0)

    @property
    def resumes(self) -> str | None:
        """Which request began the stream that this one goes on with.

        `None`: it goes on with none; empty: the caller doesn't name one.
        """
        if not self.route.is_stream or not self.request.last_event_id:
            return None
        named = self.request.resumed_request_id
        is_single_id = ',' not in named and len(named) <= MAX_ID_CHARS
        return named if is_single_id else ''

    @property
    def resumable_ms(self) -> int | None:
        """How long its caller may go on with its stream; `None`: it can't."""
        if not self.route.is_resumable:
            return None
        elapsed_ms = int(now_ms() - self.arrived_ms)
        return max(self.request.client_timeout_ms - elapsed_ms, 0)

    @property
    def silence_limit_ms(self) -> int:
        """How long an engine may be silent; 0: until the deadline."""
        route = self.route
        if not route.is_repeatable:
            return 0
        if route.is_stream:
            gap_limit_ms = MAX_SILENT_GAPS * route.gap_ms
            return max(gap_limit_ms, MAX_SILENT_OBJECTIVES * route.objective_ms)
        return MAX_SILENT_OBJECTIVES * route.objective_ms

    def sending_limit_ms(self, sent_count: int) -> float:
        """Return how long an engine may take to read the request.

        :param sent_count: which attempt this is, 1 for the first.
        """
        route = self.route
        if route.is_repeatable and sent_count < route.max_attempts:
            share_ms = route.objective_ms * SENDING_OBJECTIVE_SHARE
            return max(share_ms, MIN_SENDING_MS)
        return self.left_ms * SENDING_LEFT_SHARE

    @property
    def rank(self) -> int:
        """Its priority, 0 first; the team's overrides the route's."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def route_rank(self) -> int | None:
        """The route's priority if the team's overrides it, else `None`."""
        if self.team is None or self.team.priority is None:
            return None
        return self.route.priority

    @property
    def quota_tokens(self) -> int:
        """Number of tokens that it counts against its team's limit."""
        if self.team is None:
            return 0
        return self.request.stated_tokens or self.team.default_request_tokens


async def async_admit(
    configuration: Callable[[], GatewayConfiguration],
    freshness_guard: FreshnessGuard,
    request: GatewayRequest,
) -> Result[GatewayAdmission, NotRun]:
    """Find the route and the team of a request.

    The configuration is read again first if it may be out of date.

    :param configuration: returns the configuration in force here.
    """
    arrived_ms = now_ms()
    await freshness_guard.async_refresh_configuration()
    return _admit(configuration(), freshness_guard, request, arrived_ms)


def _admit(
    configuration: GatewayConfiguration,
    freshness_guard: FreshnessGuard,
    request: GatewayRequest,
    arrived_ms: float,
) -> Result[GatewayAdmission, NotRun]:
    if not configuration.version:
        return Err(
            _unconfirmed(request, 'no_configuration', 'no configuration yet')
        )
    route = configuration.find_route(request.host, request.http_request.path)
    if route is None:
        return Err(_deny_if_current(freshness_guard, request, _no_route()))
    team = None
    if configuration.teams and not route.is_public:
        if not freshness_guard.may_accept_keys():
            return Err(_stale_configuration(request))
        team = configuration.team_of_key(request.bearer_key)
        if team is None:
            return Err(
                _deny_if_current(freshness_guard, request, unauthorized())
            )
    return Ok(
        GatewayAdmission(
            request=request,
            route=route,
            service=route.pick_service(random.random()),
            team=team,
            arrived_ms=arrived_ms,
            deadline_ms=arrived_ms
            + min(request.client_timeout_ms, route.timeout_ms),
        ),
    )


def recheck_key(
    configuration: GatewayConfiguration,
    admission: GatewayAdmission,
    *,
    may_accept_keys: bool,
) -> Result[None, NotRun]:
    """Check the key again, just before a queued request is sent."""
    if admission.team is None:
        return Ok(None)
    if not may_accept_keys:
        return Err(_stale_configuration(admission.request))
    if configuration.team_of_key(admission.request.bearer_key) is None:
        return Err(unauthorized())
    return Ok(None)


def _deny_if_current(
    freshness_guard: FreshnessGuard, request: GatewayRequest, denial: NotRun
) -> NotRun:
    """Return a denial only if the configuration is in force.

    A denial is final for its caller, so a stale configuration must not cause
    one.
    """
    return (
        denial
        if freshness_guard.is_configuration_current()
        else _stale_configuration(request)
    )


def _no_route() -> NotRun:
    return NotRun(HTTPStatus.NOT_FOUND, 'no_route', 'no route leads there')


def _stale_configuration(request: GatewayRequest) -> NotRun:
    return _unconfirmed(
        request,
        'configuration_unproved',
        'this instance can not prove that its configuration is current',
    )


def _unconfirmed(request: GatewayRequest, code: str, detail: str) -> NotRun:
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        code,
        detail,
        spread_retry_ms(request.request_id),
    )
