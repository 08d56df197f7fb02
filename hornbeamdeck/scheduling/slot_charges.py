"""Slot time that teams are charged for their runs on engines."""

from collections.abc import Mapping

from hornbeamdeck.scheduling.engine_load import EngineLoad
from hornbeamdeck.scheduling.engine_run import EngineRun
from hornbeamdeck.scheduling.fair_shares import FairShares, weights_of_teams
from hornbeamdeck.version.gateway import GatewayTeam
from hornbeamdeck.wire import Enqueue

__all__ = ('SlotCharges',)


class SlotCharges:
    """Charges teams for runs when these start and when they end."""

    def __init__(self, teams: Mapping[str, GatewayTeam]) -> None:
        """Start with nothing charged.

        :param teams: the teams of the configuration in force, by name.
        """
        self.shares = FairShares()
        self._teams = teams

    def update_weights(self) -> None:
        """Apply the limits of the teams as their weights."""
        self.shares.apply_weights(weights_of_teams(self._teams))

    def charge_start(
        self, load: EngineLoad, request: Enqueue, now: float
    ) -> None:
        """Charge a team for the time that a run is expected to take there."""
        run = load.runs[request.request_id]
        cost_ms = max(run.expected_end_ms - now, 0.0)
        load.runs[request.request_id] = run._replace(
            team=request.team, cost_ms=cost_ms
        )
        self.shares.charge(request.team, cost_ms, now)

    def correct_end(self, run: EngineRun, now: float) -> None:
        """Charge a team for the time that a run took beyond the expected one.

        Runs that another owner has granted were not charged here.
        """
        if run.cost_ms:
            difference_ms = now - run.started_ms - run.cost_ms
            self.shares.correct(run.team, difference_ms, now)
