"""What the teams of one service are charged, and how their requests stand."""

from collections import Counter
from collections.abc import Mapping

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.engine_run import EngineRun
from hornbeamdeck.scheduling.fair_shares import weights_of_teams
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.standing import Standing, StandingCounts
from hornbeamdeck.scheduling.wait_queue import WaitQueue
from hornbeamdeck.version.gateway import GatewayTeam
from hornbeamdeck.wire import Enqueue

__all__ = ('TeamStandings',)


class TeamStandings:
    """Charges teams for the slot time of their runs; counts by standing."""

    def __init__(
        self, teams: Mapping[str, GatewayTeam], wait_queue: WaitQueue
    ) -> None:
        """Start with nothing charged.

        :param teams: the teams of the configuration in force, by name.
        """
        self._teams = teams
        self._wait_queue = wait_queue
        self._shares = wait_queue.shares
        self._refused: Counter[Standing] = Counter()

    def update_weights(self) -> None:
        """Apply the limits of the teams as their weights."""
        self._shares.apply_weights(weights_of_teams(self._teams))

    def charge_start(
        self, load: EngineLoad, request: Enqueue, now: float
    ) -> None:
        """Charge a team for the time that a run is expected to take there."""
        run = load.runs[request.request_id]
        cost_ms = max(run.expected_end_ms - now, 0.0)
        load.runs[request.request_id] = run._replace(
            team=request.team, cost_ms=cost_ms
        )
        self._shares.charge(request.team, cost_ms, now)

    def correct_end(self, run: EngineRun, now: float) -> None:
        """Charge a team for the time that a run took beyond the expected one.

        Runs that another owner has granted were not charged here.
        """
        if run.cost_ms:
            difference_ms = now - run.started_ms - run.cost_ms
            self._shares.correct(run.team, difference_ms, now)

    def record_refusal(self, queued: QueuedRequest, now: float) -> str:
        """Count a refusal; return the standing of the request, for the log."""
        standing = self._standing_of(queued, now)
        self._refused[standing] += 1
        return standing.name.lower()

    def counts(self, now: float) -> StandingCounts:
        """Return how many requests wait and were refused, by standing."""
        return StandingCounts(
            self._wait_queue.count_by_standing(now),
            self._refused,
            tuple(sorted(self._shares.beyond(now))),
        )

    def _standing_of(self, queued: QueuedRequest, now: float) -> Standing:
        request = queued.request
        if request.excluded or request.resumes is not None:
            return Standing.RETURNING
        is_beyond = request.team in self._shares.beyond(now, request.team)
        if is_beyond and queued.standing != Standing.RETURNING:
            return Standing.BEYOND_SHARE
        return queued.standing
