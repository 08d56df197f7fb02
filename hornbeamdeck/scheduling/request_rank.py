"""The order of requests by what is urgent and what a place is worth.

Load pattern: every team's requests have one priority, given to the team, and
all kinds of them press at once. Ordered by that priority alone, short answers
to chat take the places of urgent work; so the route's priority orders whatever
the team's leaves equal.
"""

from typing import Final, TypeAlias

from hornbeamdeck.wire import Enqueue

__all__ = ('FIRST', 'Rank', 'kind_rank', 'of_kind', 'rank_of', 'stake_of')

# Lower goes first; equal ranks go by urgency.
Rank: TypeAlias = tuple[float, float]

# Ranks between what is late and what can be on time: a late request of the
# first priority is still worth more than a fresh one of the next, a late one
# of the second less than a fresh one of the third.
LATE_RANKS: Final = (0.5, 2.5, 3.5)
# What a request is worth against one of the next priority and the same size.
# Priorities say no more than an order; a quarter keeps four small answers of a
# priority from being given up for one of the next.
LOWER_SHARE: Final = 0.25
# A token that is made takes an engine's step, one that is read a tenth of that
# or less; callers value answers about so.
MADE_WEIGHT: Final = 10
# Second tries: before all others.
FIRST: Final = (-1.0, 0.0)


def kind_rank(request: Enqueue) -> int:
    """Tell the priority of a request's route, 0 first."""
    if request.route_rank is None:
        return int(request.tier_rank)
    return int(request.route_rank)


def of_kind(by_rank: tuple[float, ...], request: Enqueue) -> float:
    """Pick the value for the priority of a request's route."""
    return by_rank[min(kind_rank(request), len(by_rank) - 1)]


def rank_of(request: Enqueue, *, is_late: bool) -> Rank:
    """Tell a request's place in the order.

    :param is_late: whether it can't be on time any more.
    """
    rank = float(kind_rank(request))
    if is_late:
        rank = of_kind(LATE_RANKS, request)
    if request.route_rank is None:
        return (rank, 0.0)
    return (float(request.tier_rank), rank)


def stake_of(request: Enqueue) -> float:
    """Tell what an answer on time is worth, against other requests."""
    tokens = request.prompt_tokens + MADE_WEIGHT * request.output_tokens
    return float(tokens * LOWER_SHARE ** kind_rank(request))
