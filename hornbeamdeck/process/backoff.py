"""Exponential backoff with jitter, shared by all retry loops."""

import random
from collections.abc import Iterator
from typing import Final

__all__ = ('backoff_s',)

DEFAULT_FIRST_S: Final = 0.1
DEFAULT_MAX_S: Final = 5.0


def backoff_s(
    *,
    first_s: float = DEFAULT_FIRST_S,
    max_s: float = DEFAULT_MAX_S,
) -> Iterator[float]:
    """Yield random delays in seconds; their limit doubles up to `max_s`.

    Hundreds of processes lose the connection to the store at the same time.
    Without jitter they would all retry at the same time, after every failure.
    """
    limit_s = first_s
    while limit_s > 0:
        yield random.uniform(limit_s / 2, limit_s)
        limit_s = min(limit_s * 2, max_s)
