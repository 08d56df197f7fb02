"""The engine cells of this process, updated from what the store returns."""

from collections.abc import Callable, Mapping
from typing import Final

import structlog

from hornbeamdeck.clock import now_ms
from hornbeamdeck.observability.gateway_metrics import LimitCounts
from hornbeamdeck.ownership.scheduler import Scheduler
from hornbeamdeck.process.gateway_settings import Bounds
from hornbeamdeck.scheduling.admission_control import (
    FleetView,
    SharedState,
)
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.rejection_limit import REJECTION_WINDOW_MS
from hornbeamdeck.scheduling.request_rate import RateRules
from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.served_share import ServedShare
from hornbeamdeck.scheduling.service_load import count_held_by_limit
from hornbeamdeck.scheduling.token_quota import TokenQuotas
from hornbeamdeck.store.engine_directory import EngineDirectory
from hornbeamdeck.version.gateway import GatewayConfiguration
from hornbeamdeck.wire import EngineObservation

__all__ = ('EngineCells', 'FleetView')

_LOGGER = structlog.get_logger(prefix='scheduler')

# A request limit is learned from the first response that reaches an instance,
# which may be a little later than the engine's first one.
SETTLE_MARGIN_MS: Final = 500


class EngineCells:
    """Creates and updates one cell per service in this process's scheduler."""

    def __init__(
        self,
        scheduler: Scheduler,
        directory: EngineDirectory,
        bounds: Bounds,
        quotas: TokenQuotas,
        view: FleetView,
        *,
        is_first_start: bool,
    ) -> None:
        """Start without cells; `apply_configuration` creates them.

        :param is_first_start: whether no process of the fleet ran before.
        """
        self.quotas = quotas
        self._scheduler = scheduler
        self._directory = directory
        self._bounds = bounds
        settle_ms = max(bounds.stability_ms - SETTLE_MARGIN_MS, 0)
        self._shared = SharedState(
            quotas=quotas,
            teams={},
            is_certain=view.is_certain,
            rate_rules=RateRules(
                settle_ms,
                view.fleet_share,
                is_new_owner=lambda: (
                    not self._recently_served_share.lowest(now_ms())
                ),
            ),
            instances=view.instances,
            engines_confirmed_ms=view.engines_confirmed_ms,
            owned_since=lambda now: self._served_share.tenure.since_ms(now),
        )
        self._is_first_start = is_first_start
        self._fleet_share = view.fleet_share
        started_ms = now_ms()
        self._served_share = ServedShare(
            bounds.retry_window_ms, started_ms, is_first_start=is_first_start
        )
        self._recently_served_share = ServedShare(
            REJECTION_WINDOW_MS, started_ms, is_first_start=is_first_start
        )
        self._cells: dict[str, EngineCell] = {}
        self._reported_slowness: dict[str, float] = {}
        self._configuration = GatewayConfiguration.empty()
        self._on_engines_applied: Callable[[], None] | None = None

    @property
    def cells(self) -> Mapping[str, EngineCell]:
        """The cells by service."""
        return self._cells

    def record_ownership(self, *, is_owner: bool) -> None:
        """Record whether this process owns the cells now.

        Called often: the time after a long gap counts as another owner's.
        """
        share = self._fleet_share() if is_owner else 0.0
        now = now_ms()
        if self._served_share.record(share, now):
            for cell in self._cells.values():
                cell.retry_budget.drop_saved()
        self._recently_served_share.record(share, now)
        self.quotas.record_running(now)

    def set_callback(self, on_engines_applied: Callable[[], None]) -> None:
        """Set what is called when the cells have a new list of engines."""
        self._on_engines_applied = on_engines_applied

    def apply_configuration(self, configuration: GatewayConfiguration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration
        self._shared.teams.clear()
        self._shared.teams.update(configuration.teams)
        self.apply_engines()

    def apply_engines(self) -> None:
        """Apply the current list of engines to the cells."""
        now = now_ms()
        for service, properties in self._configuration.services.items():
            cell = self._cells.get(service)
            if cell is None:
                cell = EngineCell(self._shared, self._make_retry_budget())
                cell.origins.awaits_stored = not self._is_first_start
                if self._is_first_start:
                    cell.origins.history.add_earlier((), now)
                self._cells[service] = cell
                self._scheduler.cells[service] = cell
            engines = self._directory.of_service(service)
            cell.origins.update_engines(engines, now)
            cell.update_engines(engines, properties, self._reported_slowness)
        if self._on_engines_applied is not None:
            self._on_engines_applied()

    def slowness(self) -> dict[str, float]:
        """Return the slowness of each engine by name.

        Own measurements replace values that another owner reported.
        """
        return {
            **self._reported_slowness,
            **{
                name: load.slowness
                for cell in self._cells.values()
                for name, load in cell.loads.items()
            },
        }

    def engine_limits(self) -> list[EngineObservation]:
        """Return the limits that engines have stated, of all services."""
        now = now_ms()
        return [
            limit
            for service, cell in self._cells.items()
            for limit in cell.conditions.limits(service, now)
        ]

    def limit_counts(self) -> dict[str, LimitCounts]:
        """Count the engines with a request limit, by service."""
        now = now_ms()
        return {
            service: LimitCounts(
                engines=sum(
                    load.rate.limit_per_s is not None
                    for load in cell.loads.values()
                ),
                held_back=count_held_by_limit(cell.loads.values(), now),
                resting=sum(
                    load.condition.is_resting_for_any(now)
                    for load in cell.loads.values()
                ),
                waiting=len(cell),
                retries=cell.retry_budget.counts(now),
                standings=cell.standings.counts(now),
            )
            for service, cell in self._cells.items()
        }

    def log_load(self) -> None:
        """Log the load of each cell's engines, for later analysis."""
        now = now_ms()
        for service, cell in self._cells.items():
            _LOGGER.info(
                'load',
                cell=service,
                waiting=len(cell),
                beyond_share=cell.standings.counts(now).beyond,
                engines={
                    name: (len(load.runs), load.slots, round(load.slowness, 2))
                    for name, load in cell.loads.items()
                },
                granted={
                    name: load.rate.recent_grants(now)
                    for name, load in cell.loads.items()
                },
                kept_from_zones={
                    name: zones
                    for name, load in cell.loads.items()
                    if (zones := load.health.zones_in_backoff(now))
                },
            )

    def retries_in_window(self) -> dict[str, int]:
        """Return the retries that this process has allowed, by service."""
        now = now_ms()
        return {
            service: cell.retry_budget.counts(now).retries
            for service, cell in self._cells.items()
        }

    def record_slowness(self, reported: Mapping[str, float]) -> None:
        """Record the slowness values that another owner reported."""
        self._reported_slowness.update(reported)

    def _make_retry_budget(self) -> RetryBudget:
        rules = RetryRules(
            ratio=self._bounds.retry_ratio,
            slack=self._bounds.retry_slack,
            window_ms=self._bounds.retry_window_ms,
        )
        return RetryBudget(rules, self._served_share.lowest)
