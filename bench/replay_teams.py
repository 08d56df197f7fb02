"""What each team gets in a replay."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

__all__ = ('summarize_teams',)


def summarize_teams(outcomes: Iterable[Any]) -> dict[str, Any]:
    """Return requests, answers and earned share of value by team, if any."""
    counts: dict[str, list[float]] = defaultdict(lambda: [0, 0, 0.0, 0.0])
    for outcome in outcomes:
        if outcome.result == 'held' or not outcome.arrival.team:
            continue
        count = counts[outcome.arrival.team]
        count[0] += 1
        count[1] += outcome.result in {'on_time', 'late'}
        count[2] += outcome.earned_value
        count[3] += outcome.arrival.value
    if not counts:
        return {}
    return {
        'teams': {
            team: {
                'requests': requests,
                'answers': answers,
                'share': round(earned / offered, 3),
            }
            for team, (requests, answers, earned, offered) in sorted(
                counts.items()
            )
        }
    }
