"""Admission of requests to the wait queue of one service.

A request is refused at once if it can't be served in time, if its team is over
its limit, or if the retry budget is spent. Each refusal carries the time after
which a retry is worthwhile.
"""

from collections.abc import Callable, Collection
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.scheduling.engine_run import EngineRun
from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.request_rank import route_rank_of
from hornbeamdeck.scheduling.request_rate import RateRules
from hornbeamdeck.scheduling.retry_budget import RetryBudget
from hornbeamdeck.scheduling.retry_schedule import RetrySchedule
from hornbeamdeck.scheduling.stream_origins import (
    IsCertain,
    OriginBook,
    always_confirmed,
)
from hornbeamdeck.scheduling.tenure import OwnedSince, never_owned
from hornbeamdeck.scheduling.token_quota import (
    SMALL_REQUEST_SHARE,
    TokenNeed,
    TokenQuotas,
)
from hornbeamdeck.scheduling.wait_queue import WaitQueue
from hornbeamdeck.version.gateway import GatewayTeam
from hornbeamdeck.wire import Enqueue, RefusalReason

__all__ = ('AdmissionControl', 'FleetView', 'ListInstances', 'SharedState')

ListInstances: TypeAlias = Callable[[], Collection[str]]

# Number of retries that one request may cost its service.
MAX_RETRIES: Final = 4
# Soon after an owner has changed, its predecessor tells it what it knew.
UNKNOWN_STREAM_RETRY_MS: Final = 500


class FleetView(NamedTuple):
    """What this process sees of the other instances and of the engines.

    :param fleet_share: returns the share of the fleet's instances whose
        requests are granted here.
    :param instances: returns the ids of all instances that serve callers.
    :param is_certain: returns whether an engine ran an incarnation at a time.
    :param engines_confirmed_ms: returns when the store was last asked for the
        list of engines that is held here.
    """

    fleet_share: Callable[[], float]
    instances: ListInstances
    is_certain: IsCertain
    engines_confirmed_ms: Callable[[], float]


class SharedState(NamedTuple):
    """State that the cells of one owner share.

    :param teams: the teams of the configuration in force, by name.
    :param is_certain: returns whether an engine ran an incarnation at a time.
    :param rate_rules: how engines expect their request limits to be kept.
    :param instances: returns the ids of all instances that serve callers.
    :param engines_confirmed_ms: as in `FleetView`.
    :param owned_since: returns since when this process has been the only owner.
    """

    quotas: TokenQuotas
    teams: dict[str, GatewayTeam]
    is_certain: IsCertain
    rate_rules: RateRules = RateRules()
    instances: ListInstances = tuple
    engines_confirmed_ms: Callable[[], float] = always_confirmed
    owned_since: OwnedSince = never_owned

    def make_origins(self) -> OriginBook:
        """Create the book for the streams of one service."""
        return OriginBook(
            self.is_certain,
            self.rate_rules.fleet_share,
            self.engines_confirmed_ms,
            self.owned_since,
        )


class AdmissionControl:
    """Decides whether requests are admitted to the wait queue."""

    def __init__(
        self,
        shared: SharedState,
        retry_budget: RetryBudget,
        wait_queue: WaitQueue,
    ) -> None:
        """Set what admission depends on."""
        self._shared = shared
        self._retry_budget = retry_budget
        self._wait_queue = wait_queue
        self._retry_schedule = RetrySchedule()
        self._token_needs: dict[str, tuple[str, TokenNeed]] = {}
        self._waiting_retries: set[str] = set()

    def reason_to_refuse(
        self,
        request: Enqueue,
        forecast: Forecast,
        fastest_ms: float,
        now: float,
    ) -> RefusalReason | None:
        """Return why a request may not wait, or `None` if it may.

        :param forecast: when slots become free.
        :param fastest_ms: shortest expected time to its first token, once
            started.
        """
        if request.excluded:
            return self._reason_to_refuse_retry(request, now)
        if not request.is_moved:
            self._retry_budget.record_request(now)
        # For a request that was refused before, the objective counts from that
        # refusal: its caller has been waiting for the first token since its
        # first attempt.
        waited_ms = self._retry_schedule.time_since_refusal_ms(
            request.fingerprint, now
        )
        if waited_ms and request.objective_ms is not None:
            request.objective_ms -= int(waited_ms)
        if not self._wait_queue.can_start_in_time(
            request, fastest_ms, forecast, now
        ):
            return RefusalReason.OVERLOADED
        team = self._team_to_charge(request)
        if team is not None:
            max_wait_ms = self._wait_queue.max_wait_ms(request, fastest_ms)
            need = _need_of(request, max_wait_ms)
            if not self._shared.quotas.may_wait(team, need, now):
                return RefusalReason.TEAM_LIMIT
            self._shared.quotas.add_waiting(team.name, need)
            self._token_needs[request.request_id] = (team.name, need)
        return None

    def may_start(
        self,
        request: Enqueue,
        blocked: dict[str, int],
        now: float,
    ) -> bool:
        """Return whether its team's limit and the retry budget let it start.

        :param blocked: by team, the tokens of the first request that had to
            wait for tokens. Later requests must not use up the tokens that it
            waits for, unless they need very few.
        """
        if request.request_id in self._waiting_retries:
            return self._retry_budget.has_retry(now)
        team = self._team_to_charge(request)
        if team is None:
            return True
        tokens = int(request.quota_tokens)
        blocked_tokens = blocked.get(team.name)
        if (
            blocked_tokens is not None
            and tokens > blocked_tokens * SMALL_REQUEST_SHARE
        ):
            return False
        if self._shared.quotas.has_tokens(team, tokens, now):
            return True
        blocked.setdefault(team.name, tokens)
        return False

    def start(self, request: Enqueue, now: float) -> int:
        """Charge a request that starts to its team's limit or as a retry.

        :returns: the tokens that were counted.
        """
        if request.request_id in self._waiting_retries:
            self._retry_budget.spend(now)
        self.remove_waiting(request)
        team = self._team_to_charge(request)
        if team is None:
            return 0
        tokens = int(request.quota_tokens)
        return tokens if self._shared.quotas.spend(team, tokens, now) else 0

    def give_back(self, run: EngineRun, now: float) -> None:
        """Take back what a run that was never sent counts."""
        team = self._shared.teams.get(run.team)
        if team is not None and run.quota_tokens:
            self._shared.quotas.give_back(
                team, run.quota_tokens, run.started_ms, now
            )

    def remove_waiting(self, request: Enqueue) -> None:
        """Stop counting a request among those that wait.

        Its team may have been removed from the configuration meanwhile.
        """
        if request.request_id in self._waiting_retries:
            self._waiting_retries.remove(request.request_id)
            self._retry_budget.cancel_reserved()
        counted = self._token_needs.pop(request.request_id, None)
        if counted is not None:
            self._shared.quotas.remove_waiting(*counted)

    def retry_after_ms(
        self,
        request: Enqueue,
        reason: RefusalReason,
        open_ms: float | None,
        now: float,
    ) -> int:
        """Return the time after which a retry is worthwhile.

        :param open_ms: when an engine takes requests again, if all rest.
        """
        if reason == RefusalReason.UNKNOWN_STREAM:
            return UNKNOWN_STREAM_RETRY_MS
        team = self._shared.teams.get(request.team)
        if reason == RefusalReason.TEAM_LIMIT and team is not None:
            need = _need_of(request)
            return self._shared.quotas.retry_after_ms(team, need)
        return self._retry_schedule.assign(
            request.fingerprint,
            self._wait_queue.time_to_empty_ms(),
            self._wait_queue.interval_ms,
            open_ms,
            now,
        )

    def describe_quota(self, team: str) -> str:
        """Return the state of a team's limit, for the log."""
        return self._shared.quotas.describe(team)

    def _reason_to_refuse_retry(
        self,
        request: Enqueue,
        now: float,
    ) -> RefusalReason | None:
        # An attempt that never reached its engine adds no load to any.
        retries = request.dispatches or 0
        if retries > MAX_RETRIES or len(request.excluded) > MAX_RETRIES:
            return RefusalReason.TOO_MANY_TRIES
        if not retries:
            return None
        if not self._retry_budget.try_reserve(now):
            return RefusalReason.TOO_MANY_TRIES
        self._waiting_retries.add(request.request_id)
        return None

    def _team_to_charge(self, request: Enqueue) -> GatewayTeam | None:
        """Return the team to charge; what was sent is not charged again."""
        if request.dispatches or not request.quota_tokens:
            return None
        return self._shared.teams.get(request.team)


def _need_of(request: Enqueue, max_wait_ms: float = 0) -> TokenNeed:
    return TokenNeed(
        int(request.quota_tokens), route_rank_of(request), max_wait_ms
    )
