"""Rank of a request by urgency, and the value of its response.

Load pattern: each team has one priority for all its requests, and all kinds of
them compete at once. If that priority alone decided the order, short chat
responses would take the slots of urgent work. So the priority of the route
orders requests whose teams have equal priority.
"""

from typing import Final, TypeAlias

from hornbeamdeck.wire import Enqueue

__all__ = (
    'RETRY_RANK',
    'Rank',
    'pick_by_route_rank',
    'rank_of',
    'route_rank_of',
    'value_of',
)

# Lower ranks start first; requests of equal rank start by urgency.
Rank: TypeAlias = tuple[float, float]

# Ranks of late requests by priority, between the ranks of requests that can be
# on time. A late request of the first priority is still worth more than a new
# one of the second. A late one of the second is worth less than a new one of
# the third.
LATE_RANKS: Final = (0.5, 2.5, 3.5)
# Value of a request relative to one of the next higher priority and the same
# size. Priorities define only an order. With a quarter, four small responses of
# a priority are not refused in favour of one of the next higher priority.
LOWER_RANK_VALUE_SHARE: Final = 0.25
# Generating a token takes an engine step, prefilling one takes a tenth of that
# or less. Callers value responses in about this ratio.
OUTPUT_TOKEN_WEIGHT: Final = 10
# Retries go before all other requests.
RETRY_RANK: Final = (-1.0, 0.0)


def route_rank_of(request: Enqueue) -> int:
    """Return the priority of a request's route; 0 is the highest."""
    if request.route_rank is None:
        return int(request.tier_rank)
    return int(request.route_rank)


def pick_by_route_rank(by_rank: tuple[float, ...], request: Enqueue) -> float:
    """Return the value for the priority of a request's route."""
    return by_rank[min(route_rank_of(request), len(by_rank) - 1)]


def rank_of(request: Enqueue, *, is_late: bool) -> Rank:
    """Return a request's rank in the wait queue.

    :param is_late: whether it can't be on time any more.
    """
    rank = float(route_rank_of(request))
    if is_late:
        rank = pick_by_route_rank(LATE_RANKS, request)
    if request.route_rank is None:
        return (rank, 0.0)
    return (float(request.tier_rank), rank)


def value_of(request: Enqueue) -> float:
    """Return the value of a response on time, compared with other requests."""
    tokens = request.prompt_tokens + OUTPUT_TOKEN_WEIGHT * request.output_tokens
    return float(tokens * LOWER_RANK_VALUE_SHARE ** route_rank_of(request))
