"""Which engine with a free place a waiting request goes to.

Load pattern: prompts of ten times the usual length among many streams, on
engines that differ several times in speed. On a slow engine such a prompt is
late, on a busy one it makes the streams beside it pause. So it may wait for a
better place, but only as long as it can still be on time there; then the harm
to the streams is weighed against its own lateness.
"""

from heapq import nsmallest
from typing import Final, NamedTuple

from hornbeamdeck.scheduling.engine_load import EngineLoad, unit_ms
from hornbeamdeck.scheduling.request_rank import stake_of
from hornbeamdeck.scheduling.ticket import Ticket

__all__ = ('Chances', 'Choice', 'choose_engine')

# A stream's pause is expected from a model; beyond this part of what its
# route allows it is taken for broken.
GAP_SHARE: Final = 0.8
# What a full engine adds to the expected time of a request, milliseconds: the
# more runs share its steps, the slower each goes.
FULL_MS: Final = 60.0
# Engines that are looked at closely for one request. To do so with each of a
# hundred takes an owner a millisecond a request.
LOOKED_AT: Final = 16
# What certain failure counts, milliseconds.
FAILING_MS: Final = 4000.0
# What a step into another zone counts, milliseconds.
ZONE_MS: Final = 2.0
# A request that waits for a better place starts so long before it would be
# late: places are looked at every 25 ms, and expected times are off by some.
MARGIN_MS: Final = 40.0


class Chances(NamedTuple):
    """How much time a waiting request has.

    :param left_ms: until its answer would be late; less than 0: it is.
    :param slack_ms: until it would be late even at the fastest engine.
    """

    left_ms: float
    slack_ms: float


class Choice(NamedTuple):
    """Where a request goes, or why it waits on though engines have places."""

    load: EngineLoad | None
    held_for: str = ''


def choose_engine(
    free: list[EngineLoad],
    ticket: Ticket,
    now: float,
    chances: Chances,
) -> Choice:
    """Pick the engine that answers first without breaking others' streams.

    Replayed without overload (long prompts among streams, six engines), the
    longest tenth of the first priority earns 0.93 of its worth, 0.73 where a
    prompt keeps off all streams until it is late and takes any idle engine.

    :param free: engines with a free place.
    """
    if len(free) > LOOKED_AT:
        choice = _choose(_likeliest(free, ticket, now), ticket, now, chances)
        if choice.load is not None:
            return choice
    return _choose(free, ticket, now, chances)


def _likeliest(
    free: list[EngineLoad],
    ticket: Ticket,
    now: float,
) -> list[EngineLoad]:
    """List the engines that look best at first sight."""
    work_ms = unit_ms(ticket.request.prompt_tokens)
    return nsmallest(
        LOOKED_AT,
        free,
        key=lambda load: load.first_token_ms(work_ms, now) + _full_ms(load),
    )


def _choose(
    free: list[EngineLoad],
    ticket: Ticket,
    now: float,
    chances: Chances,
) -> Choice:
    fitting = [load for load in free if _may_go_to(load, ticket, now)]
    if not fitting:
        return Choice(None, 'tried before or resting')
    if chances.left_ms < 0:
        return Choice(_cheapest(fitting, ticket, now))
    on_time = [
        load
        for load in fitting
        if _first_ms(load, ticket, now) <= chances.left_ms
    ]
    best = _cheapest(_unharmed(on_time, ticket, now), ticket, now)
    if best is None and chances.slack_ms <= MARGIN_MS:
        best = _at_the_last_chance(fitting, on_time, ticket, now)
    if best is not None:
        return Choice(best)
    if on_time:
        return Choice(None, 'it would break streams')
    return Choice(None, 'it would be late there')


def _at_the_last_chance(
    fitting: list[EngineLoad],
    on_time: list[EngineLoad],
    ticket: Ticket,
    now: float,
) -> EngineLoad | None:
    """Break streams that are worth less, or else be late and break none."""
    stake = stake_of(ticket.request)
    worth_it = [load for load in on_time if _harm(load, ticket, now) <= stake]
    best = _cheapest(worth_it, ticket, now)
    if best is not None:
        return best
    return _cheapest(_unharmed(fitting, ticket, now), ticket, now)


def _may_go_to(load: EngineLoad, ticket: Ticket, now: float) -> bool:
    request = ticket.request
    if load.engine.name in (request.excluded or ()):
        return False
    return not load.health.is_resting(request.zone or '', now)


def _first_ms(load: EngineLoad, ticket: Ticket, now: float) -> float:
    return load.first_token_ms(unit_ms(ticket.request.prompt_tokens), now)


def _full_ms(load: EngineLoad) -> float:
    return FULL_MS * load.slowness * len(load.runs) / load.slots


def _harm(load: EngineLoad, ticket: Ticket, now: float) -> float:
    """Tell what the streams at an engine are worth that a request breaks."""
    pause_ms = load.pause_ms(ticket.request.prompt_tokens, now)
    return load.broken_stake(pause_ms / GAP_SHARE)


def _unharmed(
    loads: list[EngineLoad],
    ticket: Ticket,
    now: float,
) -> list[EngineLoad]:
    """List the engines where a request would break no stream."""
    return [load for load in loads if not _harm(load, ticket, now)]


def _cheapest(
    loads: list[EngineLoad],
    ticket: Ticket,
    now: float,
) -> EngineLoad | None:
    return min(
        loads,
        key=lambda load: _cost_ms(load, ticket, now),
        default=None,
    )


def _cost_ms(load: EngineLoad, ticket: Ticket, now: float) -> float:
    zone = ticket.request.zone or ''
    cost_ms = _first_ms(load, ticket, now)
    cost_ms += _full_ms(load)
    cost_ms += FAILING_MS * load.health.failing(zone, now)
    if load.engine.availability_zone != zone:
        cost_ms += ZONE_MS
    return cost_ms
