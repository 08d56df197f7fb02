"""The engine stand-in's prefix cache, and the events it publishes of it.

Events come late, and now and then one is missing: a gap in the sequence is all
that tells.
"""

import hashlib
from collections import OrderedDict, deque
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import ENCODING

__all__ = ('CacheEvent', 'PrefixCache')

BLOCK_CHARS: Final = 256
LAG_MS: Final = 300
LOST_EVERY: Final = 11
MAX_EVENTS: Final = 1000
DIGEST_BYTES: Final = 8


class CacheEvent(NamedTuple):
    """A block that was stored or evicted.

    :param block: digest of the prompt up to the block's end.
    """

    sequence: int
    kind: str
    block: str
    at_ms: float


class PrefixCache:
    """Blocks of prompts, least recently used ones evicted."""

    def __init__(self, *, max_blocks: int) -> None:
        """Start empty."""
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def take(self, prompt: str) -> int:
        """Store a prompt's blocks.

        :returns: how many of its leading characters were stored before.
        """
        hits = 0
        missed = False
        for end in range(BLOCK_CHARS, len(prompt), BLOCK_CHARS):
            block = _digest(prompt[:end])
            missed = missed or block not in self._blocks
            hits += not missed
            self._store(block)
        self._evict()
        return hits * BLOCK_CHARS

    def events(self, after: int) -> list[CacheEvent]:
        """List the events after a sequence number that are old enough."""
        until_ms = now_ms() - LAG_MS
        return [
            event
            for event in self._events
            if event.sequence > after
            and event.at_ms <= until_ms
            and event.sequence % LOST_EVERY
        ]

    def _store(self, block: str) -> None:
        if block not in self._blocks:
            self._note('stored', block)
        self._blocks[block] = None
        self._blocks.move_to_end(block)

    def _evict(self) -> None:
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._note('evicted', block)

    def _note(self, kind: str, block: str) -> None:
        self._sequence += 1
        event = CacheEvent(self._sequence, kind, block, now_ms())
        self._events.append(event)


def _digest(text: str) -> str:
    hashed = hashlib.blake2b(text.encode(ENCODING), digest_size=DIGEST_BYTES)
    return hashed.hexdigest()
