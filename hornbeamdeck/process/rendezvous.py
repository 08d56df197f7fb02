"""Rendezvous hashing: every process with one view picks the same member."""

import hashlib
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Final

from hornbeamdeck.const import ENCODING

__all__ = ('owner_of', 'ranking')

_DIGEST_BYTES: Final = 8
# Scores of members are asked for with each beat and look at the store.
CACHED_SCORES: Final = 8192


def _equal(_member: str) -> float:
    return 0


@lru_cache(maxsize=CACHED_SCORES)
def _score(key: str, member: str) -> bytes:
    hashed = hashlib.blake2b(
        f'{key}\x00{member}'.encode(ENCODING),
        digest_size=_DIGEST_BYTES,
    )
    return hashed.digest()


def ranking(
    key: str,
    members: Iterable[str],
    capacity: Callable[[str], float] = _equal,
) -> list[str]:
    """Order members for a key, the owner first.

    A member that goes moves only the keys it owned, each to its second.

    :param capacity: what a member can carry; who can carry more goes before
        all that can carry less.
    """
    return sorted(
        members,
        key=lambda member: (capacity(member), _score(key, member), member),
        reverse=True,
    )


def owner_of(
    key: str,
    members: Iterable[str],
    capacity: Callable[[str], float] = _equal,
) -> str | None:
    """Pick the owner of a key; `None` without members."""
    return next(iter(ranking(key, members, capacity)), None)
