"""Creates the owner's count of what teams spend, from what instances report."""

from collections.abc import Callable
from typing import Final

import structlog

from hornbeamdeck.ownership.spending import (
    SLICES_PER_WINDOW,
    SpendingReports,
)
from hornbeamdeck.process.gateway_settings import Bounds
from hornbeamdeck.scheduling.token_quota import (
    BucketStart,
    QuotaRules,
    QuotaView,
    TokenQuotas,
)

__all__ = ('make_team_limits',)

_LOGGER: Final = structlog.get_logger(prefix='limits')


def make_team_limits(
    reports: SpendingReports,
    bounds: Bounds,
    *,
    fleet_share: Callable[[], float],
    overlap_ms: Callable[[], float],
    is_first_start: bool,
) -> TokenQuotas:
    """Return the token limits of teams, as this process counts as owner.

    :param fleet_share: returns the share of the fleet's instances that have
        sent a heartbeat within `overlap_ms`.
    :param is_first_start: whether no process of the fleet ran before.
    """
    return TokenQuotas(
        QuotaView(
            spent=reports.spent_by_age,
            covers_window=reports.is_complete,
            share=fleet_share,
            overlap_ms=overlap_ms,
            on_start=_log_start,
        ),
        QuotaRules(
            window_ms=bounds.quota_window_ms,
            slack=bounds.quota_slack,
            overage=bounds.quota_overage,
            slice_ms=bounds.quota_window_ms / SLICES_PER_WINDOW,
        ),
        is_first_start=is_first_start,
    )


def _log_start(start: BucketStart) -> None:
    _LOGGER.info('team limit taken over', **start._asdict())
