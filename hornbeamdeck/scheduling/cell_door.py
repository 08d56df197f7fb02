"""Who is let in to wait before the engines of one service, and who is not.

A request is refused at once where it could not be served in time, where its
team is over its limit, or where the budget of second tries is spent; each with
the time after which it is worth coming back.
"""

from typing import Final, NamedTuple

from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.request_rank import kind_rank
from hornbeamdeck.scheduling.retry_budget import RetryBudget
from hornbeamdeck.scheduling.return_times import ReturnTimes
from hornbeamdeck.scheduling.token_quota import SMALL_SHARE, Need, TokenQuotas
from hornbeamdeck.scheduling.waiting_room import WaitingRoom
from hornbeamdeck.version.routed import RoutedTeam
from hornbeamdeck.wire import Enqueue, RefusalReason

__all__ = ('CellDoor', 'Shared')

# Tries beyond the first that one request may cost its service.
MAX_TRIES: Final = 4


class Shared(NamedTuple):
    """What the cells of one owner share.

    :param teams: the teams of the configuration in force, by name.
    """

    quotas: TokenQuotas
    teams: dict[str, RoutedTeam]


class CellDoor:
    """Decides on admission alone."""

    def __init__(
        self,
        shared: Shared,
        budget: RetryBudget,
        waiting: WaitingRoom,
    ) -> None:
        """Take what admission depends on."""
        self._shared = shared
        self._budget = budget
        self._waiting = waiting
        self._returns = ReturnTimes()
        self._needs: dict[str, tuple[str, Need]] = {}

    def reason_to_refuse(
        self,
        request: Enqueue,
        forecast: Forecast,
        fastest_ms: float,
        now: float,
    ) -> RefusalReason | None:
        """Say why a request may not wait; `None` where it may.

        :param forecast: when places come free.
        :param fastest_ms: least time to its first token, once started.
        """
        if request.excluded:
            return self._reason_against_another(request, now)
        self._budget.note_request(now)
        # What was refused before is counted from there: to its caller the time
        # until the first answer began with the first try.
        waited_ms = self._returns.since_refused_ms(request.fingerprint, now)
        if waited_ms and request.objective_ms is not None:
            request.objective_ms -= int(waited_ms)
        if not self._waiting.is_worth(request, fastest_ms, forecast, now):
            return RefusalReason.OVERLOADED
        team = self._limited(request)
        if team is not None:
            patience_ms = self._waiting.allowed_ms(request, fastest_ms)
            need = _need_of(request, patience_ms)
            if not self._shared.quotas.may_wait(team, need, now):
                return RefusalReason.TEAM_LIMIT
            self._shared.quotas.wait(team.name, need)
            self._needs[request.request_id] = (team.name, need)
        return None

    def may_start(
        self,
        request: Enqueue,
        blocked: dict[str, int],
        now: float,
    ) -> bool:
        """Whether a team's limit lets a request start.

        :param blocked: by team the tokens of the first request that lacks
            some; what comes after it must not take them one by one, unless it
            needs next to nothing.
        """
        team = self._limited(request)
        if team is None:
            return True
        tokens = int(request.quota_tokens)
        before = blocked.get(team.name)
        if before is not None and tokens > before * SMALL_SHARE:
            return False
        if self._shared.quotas.has(team, tokens, now):
            return True
        blocked.setdefault(team.name, tokens)
        return False

    def start(self, request: Enqueue, now: float) -> None:
        """Count a request that starts against its team's limit."""
        team = self._limited(request)
        if team is not None:
            self._shared.quotas.take(team, int(request.quota_tokens), now)
        self.stop_waiting(request)

    def stop_waiting(self, request: Enqueue) -> None:
        """Count a request no more among those that wait for tokens.

        Its team may have been taken out of the configuration meanwhile.
        """
        counted = self._needs.pop(request.request_id, None)
        if counted is not None:
            self._shared.quotas.stop_waiting(*counted)

    def wait_ms(
        self,
        request: Enqueue,
        reason: RefusalReason,
        now: float,
    ) -> int:
        """Tell after which time it is worth coming back."""
        team = self._shared.teams.get(request.team)
        if reason == RefusalReason.TEAM_LIMIT and team is not None:
            need = _need_of(request)
            return self._shared.quotas.retry_after_ms(team, need)
        return self._returns.take(
            request.fingerprint,
            self._waiting.drain_ms(),
            self._waiting.interval_ms,
            now,
        )

    def describe_quota(self, team: str) -> str:
        """Tell the state of a team's limit, for the log."""
        return self._shared.quotas.describe(team)

    def _reason_against_another(
        self,
        request: Enqueue,
        now: float,
    ) -> RefusalReason | None:
        # A try that never reached its engine adds load to none.
        tries = request.dispatches or 0
        if tries > MAX_TRIES or len(request.excluded) > MAX_TRIES:
            return RefusalReason.TOO_MANY_TRIES
        if tries and not self._budget.take(now):
            return RefusalReason.TOO_MANY_TRIES
        return None

    def _limited(self, request: Enqueue) -> RoutedTeam | None:
        """Find the team whose limit counts; a second try counted before."""
        if request.excluded or not request.quota_tokens:
            return None
        return self._shared.teams.get(request.team)


def _need_of(request: Enqueue, patience_ms: float = 0) -> Need:
    return Need(int(request.quota_tokens), kind_rank(request), patience_ms)
