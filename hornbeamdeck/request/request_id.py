"""Ids of requests, as they are kept in tables and log lines.

Callers choose their ids; a head is the only limit on how long one is.
"""

from hashlib import sha256
from typing import Final

from hornbeamdeck.const import ENCODING

__all__ = ('bounded_id', 'is_digest')

MAX_ID_CHARS: Final = 256
DIGEST_PREFIX: Final = 'sha256:'


def bounded_id(request_id: str) -> str:
    """Return an id, or a digest of one that is too long."""
    if len(request_id) <= MAX_ID_CHARS:
        return request_id
    return DIGEST_PREFIX + sha256(request_id.encode(ENCODING)).hexdigest()


def is_digest(bounded: str) -> bool:
    """Return whether an id stands for a longer one, and must not be sent."""
    return bounded.startswith(DIGEST_PREFIX)
