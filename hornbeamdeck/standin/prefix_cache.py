"""Prefix cache of the engine stand-in and the cache events it publishes.

As with real engines, events are published late and some are lost. A reader
can detect a lost event only by a gap in the sequence numbers.
"""

import hashlib
from collections import OrderedDict, deque
from typing import Final, NamedTuple

from hornbeamdeck.clock import now_ms
from hornbeamdeck.const import ENCODING

__all__ = ('CacheEvent', 'PrefixCache')

BLOCK_CHARS: Final = 256
EVENT_LAG_MS: Final = 300
LOST_EVENT_INTERVAL: Final = 11
MAX_EVENTS: Final = 1000
DIGEST_BYTES: Final = 8


class CacheEvent(NamedTuple):
    """A stored or evicted block.

    :param block: digest of the prompt up to the end of the block.
    """

    sequence: int
    kind: str
    block: str
    at_ms: float


class PrefixCache:
    """Prompt blocks with least-recently-used eviction."""

    def __init__(self, *, max_blocks: int) -> None:
        """Create an empty cache."""
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def store_prompt(self, prompt: str) -> int:
        """Store the blocks of a prompt.

        :returns: number of leading characters that were already cached.
        """
        cached_blocks = 0
        has_missed = False
        for end in range(BLOCK_CHARS, len(prompt), BLOCK_CHARS):
            block = _digest(prompt[:end])
            has_missed = has_missed or block not in self._blocks
            cached_blocks += not has_missed
            self._store(block)
        self._evict()
        return cached_blocks * BLOCK_CHARS

    def events(self, after: int) -> list[CacheEvent]:
        """List the published events after a sequence number.

        Events younger than `EVENT_LAG_MS` and every event whose number is a
        multiple of `LOST_EVENT_INTERVAL` are left out.
        """
        until_ms = now_ms() - EVENT_LAG_MS
        return [
            event
            for event in self._events
            if event.sequence > after
            and event.at_ms <= until_ms
            and event.sequence % LOST_EVENT_INTERVAL
        ]

    def _store(self, block: str) -> None:
        if block not in self._blocks:
            self._record_event('stored', block)
        self._blocks[block] = None
        self._blocks.move_to_end(block)

    def _evict(self) -> None:
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record_event('evicted', block)

    def _record_event(self, kind: str, block: str) -> None:
        self._sequence += 1
        event = CacheEvent(self._sequence, kind, block, now_ms())
        self._events.append(event)


def _digest(text: str) -> str:
    hashed = hashlib.blake2b(text.encode(ENCODING), digest_size=DIGEST_BYTES)
    return hashed.hexdigest()
