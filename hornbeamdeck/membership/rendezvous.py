"""Rendezvous hashing.

All processes with the same view of the members choose the same owner.
"""

import hashlib
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Final

from hornbeamdeck.const import ENCODING

__all__ = ('owner_of', 'ranking')

_DIGEST_BYTES: Final = 8
# Scores are needed for each heartbeat and for each check whether a read of the
# store is due.
SCORE_CACHE_SIZE: Final = 8192


def _equal_capacity(_member: str) -> float:
    return 0


@lru_cache(maxsize=SCORE_CACHE_SIZE)
def _score(key: str, member: str) -> bytes:
    hashed = hashlib.blake2b(
        f'{key}\x00{member}'.encode(ENCODING),
        digest_size=_DIGEST_BYTES,
    )
    return hashed.digest()


def ranking(
    key: str,
    members: Iterable[str],
    capacity: Callable[[str], float] = _equal_capacity,
) -> list[str]:
    """Rank members for a key, the owner first.

    When a member is removed, only the keys that it owned move, each to its
    second-ranked member.

    :param capacity: returns a member's capacity; members with more capacity
        rank before all members with less.
    """
    return sorted(
        members,
        key=lambda member: (capacity(member), _score(key, member), member),
        reverse=True,
    )


def owner_of(
    key: str,
    members: Iterable[str],
    capacity: Callable[[str], float] = _equal_capacity,
) -> str | None:
    """Return the owner of a key; `None` without members."""
    return next(iter(ranking(key, members, capacity)), None)
