"""Choice of an engine with a free slot for a waiting request.

Load pattern: prompts of ten times the usual length arrive among many streams,
on engines that differ several times in speed. On a slow engine such a prompt is
late, and on a busy one it interrupts the other streams. So it may wait for a
better slot, but only while it can still be on time. After that, the streams
that it would interrupt are weighed against its own lateness.
"""

from heapq import nsmallest
from typing import Final, NamedTuple

from hornbeamdeck.scheduling.engine_load import EngineLoad, base_first_token_ms
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.request_rank import value_of

__all__ = ('HELD_FOR_BETTER_SLOT', 'TimeBudget', 'Choice', 'choose_engine')

# The gap in a stream is estimated by a model. A stream counts as interrupted if
# the estimate exceeds this share of the gap that its route allows.
GAP_SHARE: Final = 0.8
# Cost of an engine with all slots in use, in milliseconds of expected time: the
# more runs share its steps, the slower each of them is.
OCCUPANCY_COST_MS: Final = 60.0
# Number of engines that are evaluated in full for one request. Evaluating a
# hundred engines takes the owner a millisecond for each request.
SHORTLIST_SIZE: Final = 16
# Cost of an engine that fails all requests, in milliseconds of expected time.
FAILURE_COST_MS: Final = 4000.0
# Cost of an engine in another availability zone, in milliseconds.
CROSS_ZONE_COST_MS: Final = 2.0
# A request that waits for a better slot starts this long before it would be
# late: slots are checked every 25 ms, and the estimates have errors.
START_MARGIN_MS: Final = 40.0
_WOULD_BREAK_STREAMS: Final = 'it would break streams'
_WOULD_BE_LATE: Final = 'it would be late there'
# Reasons to hold a request that end when time passes, without any change of an
# engine.
HELD_FOR_BETTER_SLOT: Final = frozenset((_WOULD_BREAK_STREAMS, _WOULD_BE_LATE))


class TimeBudget(NamedTuple):
    """How much time a waiting request has.

    :param remaining_ms: time until its response is late; less than 0: it is
        late already.
    :param slack_ms: time until its response is late even on the fastest engine.
    """

    remaining_ms: float
    slack_ms: float


class Choice(NamedTuple):
    """The engine chosen, or why the request is held although slots are free."""

    load: EngineLoad | None
    hold_reason: str = ''


def choose_engine(
    free: list[EngineLoad],
    queued: QueuedRequest,
    now: float,
    time_budget: TimeBudget,
) -> Choice:
    """Choose the fastest engine on which no other stream is interrupted.

    Replayed without overload (long prompts among streams, six engines), the
    longest tenth of the first priority earns 0.93 of its value. It earns 0.73
    if a prompt avoids all streams until it is late and takes any idle engine.

    :param free: engines with a free slot.
    """
    if len(free) > SHORTLIST_SIZE:
        choice = _choose(
            _shortlist(free, queued, now), queued, now, time_budget
        )
        if choice.load is not None:
            return choice
    return _choose(free, queued, now, time_budget)


def _shortlist(
    free: list[EngineLoad],
    queued: QueuedRequest,
    now: float,
) -> list[EngineLoad]:
    """Return the engines with the lowest cost by a quick estimate."""
    work_ms = base_first_token_ms(queued.request.prompt_tokens)
    return nsmallest(
        SHORTLIST_SIZE,
        free,
        key=lambda load: (
            load.first_token_ms(work_ms, now) + _occupancy_cost_ms(load)
        ),
    )


def _choose(
    free: list[EngineLoad],
    queued: QueuedRequest,
    now: float,
    time_budget: TimeBudget,
) -> Choice:
    eligible = [load for load in free if _is_eligible(load, queued, now)]
    if not eligible:
        return Choice(None, 'tried before or resting')
    if time_budget.remaining_ms < 0:
        return Choice(_lowest_cost(eligible, queued, now))
    on_time = [
        load
        for load in eligible
        if _first_token_ms(load, queued, now) <= time_budget.remaining_ms
    ]
    best = _lowest_cost(
        _without_interruption(on_time, queued, now), queued, now
    )
    if best is None and time_budget.slack_ms <= START_MARGIN_MS:
        best = _choose_without_slack(eligible, on_time, queued, now)
    if best is not None:
        return Choice(best)
    if on_time:
        return Choice(None, _WOULD_BREAK_STREAMS)
    return Choice(None, _WOULD_BE_LATE)


def _choose_without_slack(
    eligible: list[EngineLoad],
    on_time: list[EngineLoad],
    queued: QueuedRequest,
    now: float,
) -> EngineLoad | None:
    """Choose an engine for a request that can't wait any longer.

    Interrupt streams only if their value is at most that of the request.
    Otherwise accept that the request is late and interrupt none.
    """
    request_value = value_of(queued.request)
    acceptable = [
        load
        for load in on_time
        if _interrupted_value(load, queued, now) <= request_value
    ]
    best = _lowest_cost(acceptable, queued, now)
    if best is not None:
        return best
    return _lowest_cost(
        _without_interruption(eligible, queued, now), queued, now
    )


def _is_eligible(load: EngineLoad, queued: QueuedRequest, now: float) -> bool:
    request = queued.request
    zone = request.zone or ''
    if load.engine.name in (request.excluded or ()):
        return False
    if load.health.is_unproved(zone) and any(
        run.zone == zone for run in load.runs.values()
    ):
        # One request shows whether it is back.
        return False
    return not load.health.is_in_backoff(zone, now)


def _first_token_ms(
    load: EngineLoad, queued: QueuedRequest, now: float
) -> float:
    return load.first_token_ms(
        base_first_token_ms(queued.request.prompt_tokens), now
    )


def _occupancy_cost_ms(load: EngineLoad) -> float:
    return OCCUPANCY_COST_MS * load.slowness * len(load.runs) / load.slots


def _interrupted_value(
    load: EngineLoad, queued: QueuedRequest, now: float
) -> float:
    """Return the value of the streams that a request would interrupt."""
    gap_ms = load.gap_ms(queued.request.prompt_tokens, now)
    return sum(
        run.stream_value
        for run in load.runs.values()
        if run.is_streaming and gap_ms / GAP_SHARE > run.max_gap_ms
    )


def _without_interruption(
    loads: list[EngineLoad],
    queued: QueuedRequest,
    now: float,
) -> list[EngineLoad]:
    """Return the engines on which a request would interrupt no stream."""
    return [load for load in loads if not _interrupted_value(load, queued, now)]


def _lowest_cost(
    loads: list[EngineLoad],
    queued: QueuedRequest,
    now: float,
) -> EngineLoad | None:
    return min(
        loads,
        key=lambda load: _cost_ms(load, queued, now),
        default=None,
    )


def _cost_ms(load: EngineLoad, queued: QueuedRequest, now: float) -> float:
    zone = queued.request.zone or ''
    cost_ms = _first_token_ms(load, queued, now)
    cost_ms += _occupancy_cost_ms(load)
    cost_ms += FAILURE_COST_MS * load.health.failure_rate(zone, now)
    if load.engine.availability_zone != zone:
        cost_ms += CROSS_ZONE_COST_MS
    return cost_ms
