"""Which engine with a free place a waiting request goes to."""

from collections.abc import Callable, Iterable
from typing import Final

from hornbeamdeck.process.engine_load import EngineLoad
from hornbeamdeck.process.ticket import Ticket

__all__ = ('choose_engine',)

# A stream's pause is expected from a model; beyond this part of what its
# route allows it is taken for broken.
GAP_SHARE: Final = 0.8
# What a full engine adds to the expected time of a request, milliseconds: the
# more runs share its steps, the slower each goes.
FULL_MS: Final = 60.0
# What certain failure counts, milliseconds.
FAILING_MS: Final = 4000.0
# What a step into another zone counts, milliseconds.
ZONE_MS: Final = 2.0


def choose_engine(
    free: Iterable[EngineLoad],
    ticket: Ticket,
    now: float,
    is_late: Callable[[str, float], bool],
) -> EngineLoad | None:
    """Pick the engine that answers first without breaking others' streams.

    :param free: engines with a free place.
    :param is_late: whether a request has missed its objective already.
    :returns: `None` where waiting is better than any of them.
    """
    request = ticket.request
    excluded = request.excluded or ()
    fitting = [
        load
        for load in free
        if load.engine.name not in excluded
        and not load.is_resting(request.zone or '', now)
    ]
    if not is_late(request.request_id, now):
        fitting = [
            load
            for load in fitting
            if not _breaks_streams(load, request.prompt_tokens, now)
        ]
    return min(
        fitting,
        key=lambda load: _cost_ms(load, ticket, now),
        default=None,
    )


def _breaks_streams(load: EngineLoad, prompt_tokens: int, now: float) -> bool:
    gap_ms = load.tightest_gap_ms()
    if not gap_ms:
        return False
    return load.pause_ms(prompt_tokens, now) > gap_ms * GAP_SHARE


def _cost_ms(load: EngineLoad, ticket: Ticket, now: float) -> float:
    request = ticket.request
    zone = request.zone or ''
    cost_ms = load.first_token_ms(request.prompt_tokens, now)
    cost_ms += FULL_MS * load.slowness * len(load.runs) / load.slots
    cost_ms += FAILING_MS * load.failing(zone, now)
    if load.engine.availability_zone != zone:
        cost_ms += ZONE_MS
    return cost_ms
