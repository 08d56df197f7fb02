"""Load of all engines of one service, as seen by the owner of its cell."""

from collections.abc import Iterable, Sequence
from itertools import repeat

from hornbeamdeck.scheduling.engine_load import EngineLoad, base_first_token_ms
from hornbeamdeck.scheduling.forecast import Forecast

__all__ = (
    'count_held_by_limit',
    'fastest_first_token_ms',
    'forecast_slots',
)


def fastest_first_token_ms(
    loads: Iterable[EngineLoad],
    prompt_tokens: int,
    now: float,
) -> float:
    """Estimate the shortest time to first token of a request sent now.

    :returns: 0 if all engines leave.
    """
    work_ms = base_first_token_ms(prompt_tokens)
    return min(
        (
            load.first_token_ms(work_ms, now)
            for load in loads
            if not load.is_leaving
        ),
        default=0.0,
    )


def count_held_by_limit(loads: Iterable[EngineLoad], now: float) -> int:
    """Count the engines that have slots but may get no request now."""
    return sum(
        load.idle_slots() > 0 and not load.rate.may_start(now) for load in loads
    )


def forecast_slots(
    loads: Sequence[EngineLoad],
    instance: str | None,
    waiting: int,
    interval_ms: float,
    now: float,
) -> Forecast:
    """Forecast when slots become free.

    :param loads: engines that do not leave.
    :param instance: an engine that rests for it has no free slots until then;
        `None`: rests do not count.
    :param waiting: number of waiting requests; later starts are estimated only
        if there are not more free slots than this.
    :param interval_ms: mean time between grants.
    """
    resting: list[EngineLoad] = []
    if instance is not None:
        resting = [
            load for load in loads if load.condition.is_resting(instance, now)
        ]
    free_slots = sum(load.free_slots(now) for load in loads)
    free_slots -= sum(load.free_slots(now) for load in resting)
    starts_ms: list[float] = []
    if free_slots <= waiting:
        starts_ms = [
            start_ms
            for load in loads
            if load not in resting
            for start_ms in _next_starts_ms(load, now)
        ]
        starts_ms += [
            start_ms
            for load in resting
            for start_ms in _starts_after_rest_ms(load, instance or '', now)
        ]
    return Forecast.from_ends(free_slots, starts_ms, interval_ms, now)


def _starts_after_rest_ms(
    load: EngineLoad, instance: str, now: float
) -> list[float]:
    """Estimate when requests can start at an engine that rests."""
    starts_ms = _next_starts_ms(load, now)
    open_ms = load.condition.open_ms((instance,))
    rested_ms = [max(start_ms, open_ms) for start_ms in starts_ms]
    return [open_ms for _ in range(load.free_slots(now))] + rested_ms


def _next_starts_ms(load: EngineLoad, now: float) -> list[float]:
    """Estimate when requests can start beyond those that may start now.

    Runs granted by another owner have no expected end before their first token
    and are left out. If they counted as overdue, every request would be
    refused.
    """
    ends_ms = [
        run.expected_end_ms for run in load.runs.values() if run.expected_end_ms
    ]
    if load.rate.limit_per_s is None:
        return ends_ms
    slots_ms = [*repeat(now, load.idle_slots()), *sorted(ends_ms)]
    later_slots_ms = slots_ms[load.free_slots(now) :]
    starts_ms = load.rate.later_starts_ms(len(later_slots_ms), now)
    return list(map(max, later_slots_ms, starts_ms))
