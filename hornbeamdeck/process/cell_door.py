"""Who is let in to wait before the engines of one service, and who is not.

A request is refused at once where it could not be served in time, where its
team is over its limit, or where the budget of second tries is spent; each with
the time after which it is worth coming back.
"""

from typing import Final, NamedTuple

from hornbeamdeck.process.retry_budget import RetryBudget
from hornbeamdeck.process.return_times import ReturnTimes
from hornbeamdeck.process.token_quota import TokenQuotas
from hornbeamdeck.process.waiting_room import WaitingRoom
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


class Admission(NamedTuple):
    """Whether a request may wait, and from when on it may start.

    :param reason: why it is refused; `None`: it is not.
    :param hold_ms: until its team's limit lets it start.
    """

    reason: RefusalReason | None
    hold_ms: float = 0.0


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

    def admit(
        self,
        request: Enqueue,
        places: int,
        fastest_ms: float,
        now: float,
    ) -> Admission:
        """Say whether a request may wait, or why not.

        :param places: engines with a free place.
        :param fastest_ms: least time to its first token, once started.
        """
        if request.excluded:
            return Admission(self._reason_against_another(request, now))
        self._budget.note_request(now)
        # What was refused before is counted from there: to its caller the time
        # until the first answer began with the first try.
        waited_ms = self._returns.since_refused_ms(request.fingerprint, now)
        if waited_ms and request.objective_ms is not None:
            request.objective_ms -= int(waited_ms)
        if not places and not self._waiting.is_worth(request, fastest_ms, now):
            return Admission(RefusalReason.OVERLOADED)
        patience_ms = self._waiting.allowed_ms(request, fastest_ms)
        hold_ms = self._reserve(request, patience_ms, now)
        if hold_ms is None:
            return Admission(RefusalReason.TEAM_LIMIT)
        return Admission(None, hold_ms)

    def give_back(self, request: Enqueue) -> None:
        """Return what a request took from its team's limit."""
        if request.quota_tokens and not request.excluded:
            self._shared.quotas.give_back(request.team, request.quota_tokens)

    def wait_ms(
        self,
        request: Enqueue,
        reason: RefusalReason,
        now: float,
    ) -> int:
        """Tell after which time it is worth coming back."""
        team = self._shared.teams.get(request.team)
        if reason == RefusalReason.TEAM_LIMIT and team is not None:
            return self._shared.quotas.retry_after_ms(
                team,
                request.quota_tokens or 0,
            )
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

    def _reserve(
        self,
        request: Enqueue,
        patience_ms: float,
        now: float,
    ) -> float | None:
        team = self._shared.teams.get(request.team)
        if team is None:
            return 0.0
        tokens = request.quota_tokens or 0
        quotas = self._shared.quotas
        return quotas.reserve(team, tokens, now, patience_ms)
