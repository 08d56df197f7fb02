"""Which route and team a routed request belongs to, checked before it waits."""

import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from result import Err, Ok, Result

from hornbeamdeck.clock import now_ms
from hornbeamdeck.process.proofs import Proofs
from hornbeamdeck.request.outcome import NotRun
from hornbeamdeck.request.refusal import unauthorized
from hornbeamdeck.request.routed_ask import RoutedAsk
from hornbeamdeck.version.routed import Route, RoutedConfiguration, RoutedTeam

__all__ = (
    'PATIENCE_GAPS',
    'RoutedAdmission',
    'async_admit',
    'is_still_allowed',
)

# When a caller is to come back whose instance knows no configuration yet, or
# can't prove that its own is current.
UNCERTAIN_RETRY_MS: Final = 1000
# Callers leave a stream that has not begun after the longest of these.
LEAST_PATIENCE_MS: Final = 2000
PATIENCE_OBJECTIVES: Final = 4
PATIENCE_GAPS: Final = 8
# What of that is kept for the way back to the caller.
WAY_BACK_MS: Final = 150


class RoutedAdmission(NamedTuple):
    """A request that may wait for an engine.

    :param arrived_ms: when it had been read, on this process's clock.
    :param deadline_ms: when it must have its final answer, the same.
    """

    ask: RoutedAsk
    route: Route
    service: str
    team: RoutedTeam | None
    arrived_ms: float
    deadline_ms: float

    @property
    def team_name(self) -> str:
        """Whose key it came with; empty for a public route."""
        return self.team.name if self.team else ''

    @property
    def left_ms(self) -> int:
        """Time left until its deadline, at least 0."""
        return max(int(self.deadline_ms - now_ms()), 0)

    @property
    def objective_left_ms(self) -> int:
        """Time left until an answer would be late; less than 0 if it is."""
        return int(self.arrived_ms + self.route.objective_ms - now_ms())

    @property
    def patience_left_ms(self) -> int:
        """Time left until the caller gives up waiting for a first byte."""
        if not self.route.is_stream:
            return self.left_ms
        patience_ms = max(
            LEAST_PATIENCE_MS,
            PATIENCE_OBJECTIVES * self.route.objective_ms,
            PATIENCE_GAPS * self.route.gap_ms,
        )
        end_ms = self.arrived_ms + patience_ms - WAY_BACK_MS
        patience_ms = min(self.left_ms - WAY_BACK_MS, int(end_ms - now_ms()))
        return max(patience_ms, 0)

    @property
    def rank(self) -> int:
        """Its priority, 0 first; the team's goes before the route's."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def rank_in_team(self) -> int | None:
        """The route's priority, where the team's goes before it."""
        if self.team is None or self.team.priority is None:
            return None
        return self.route.priority

    @property
    def quota_tokens(self) -> int:
        """What it counts against its team's limit."""
        if self.team is None:
            return 0
        return self.ask.counted_tokens or self.team.plain_tokens


async def async_admit(
    configuration: Callable[[], RoutedConfiguration],
    proofs: Proofs,
    ask: RoutedAsk,
) -> Result[RoutedAdmission, NotRun]:
    """Find route and team, in a configuration that may be relied on.

    :param configuration: tells the one in force here.
    """
    arrived_ms = now_ms()
    await proofs.async_renew_configuration()
    return _admit(configuration(), proofs, ask, arrived_ms)


def _admit(
    configuration: RoutedConfiguration,
    proofs: Proofs,
    ask: RoutedAsk,
    arrived_ms: float,
) -> Result[RoutedAdmission, NotRun]:
    if not configuration.version:
        return Err(_uncertain('no_configuration', 'no configuration yet'))
    route = configuration.find_route(ask.host, ask.request.path)
    if route is None:
        return Err(_denied(proofs, _no_route()))
    team = None
    if configuration.teams and not route.is_public:
        if not proofs.has_keys():
            return Err(_stale())
        team = configuration.team_of_key(ask.key)
        if team is None:
            return Err(_denied(proofs, unauthorized()))
    return Ok(
        RoutedAdmission(
            ask=ask,
            route=route,
            service=route.pick_service(random.random()),
            team=team,
            arrived_ms=arrived_ms,
            deadline_ms=arrived_ms + min(ask.patience_ms, route.timeout_ms),
        ),
    )


def is_still_allowed(
    configuration: RoutedConfiguration,
    admission: RoutedAdmission,
    *,
    has_keys: bool,
) -> Result[None, NotRun]:
    """Check the key again, just before a request that waited is sent."""
    if admission.team is None:
        return Ok(None)
    if not has_keys:
        return Err(_stale())
    if configuration.team_of_key(admission.ask.key) is None:
        return Err(unauthorized())
    return Ok(None)


def _denied(proofs: Proofs, denial: NotRun) -> NotRun:
    """Deny only on what is in force; a denial is final for its caller."""
    return denial if proofs.is_in_force() else _stale()


def _no_route() -> NotRun:
    return NotRun(HTTPStatus.NOT_FOUND, 'no_route', 'no route leads there')


def _stale() -> NotRun:
    return _uncertain(
        'configuration_unproved',
        'this instance can not prove that its configuration is current',
    )


def _uncertain(code: str, detail: str) -> NotRun:
    return NotRun(
        HTTPStatus.SERVICE_UNAVAILABLE,
        code,
        detail,
        UNCERTAIN_RETRY_MS,
    )
