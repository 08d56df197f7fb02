"""Which requests or parts of prompts were answered lately, and how common.

Load pattern: a request or a part of prompts crashes engines, and sound requests
run beside it or share the other parts of its prompt. What was answered lately
crashes nothing. Of parts that always come together, the rarest is the one that
sound requests lack.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = ('AnswerHistory',)

# What was answered within this time is sound. While engines crash, sound
# requests may not be answered for a while.
SOUND_MS: Final = 60_000.0
MAX_ENTRIES: Final = 2000


class _Entry(NamedTuple):
    requests: int = 0
    answered_ms: float = -math.inf


class AnswerHistory:
    """The latest requests and answers, by what they have in common."""

    def __init__(self) -> None:
        """Start without entries."""
        self._entries: dict[str, _Entry] = {}

    def record_request(self, names: Iterable[str]) -> None:
        """Record a request that has all of these."""
        for name in names:
            entry = self._take(name)
            self._put(name, entry._replace(requests=entry.requests + 1))

    def record_answer(self, names: Iterable[str], now: float) -> None:
        """Record that an engine has answered a request with all of these."""
        for name in names:
            self._put(name, self._take(name)._replace(answered_ms=now))

    def is_sound(self, name: str, now: float) -> bool:
        """Return whether a request with this was answered lately."""
        entry = self._entries.get(name)
        return entry is not None and entry.answered_ms > now - SOUND_MS

    def requests(self, name: str) -> int:
        """Return the number of requests with this that are remembered."""
        return self._entries.get(name, _Entry()).requests

    def _take(self, name: str) -> _Entry:
        return self._entries.pop(name, _Entry())

    def _put(self, name: str, entry: _Entry) -> None:
        """Keep an entry as the latest; forget the oldest beyond the limit."""
        self._entries[name] = entry
        if len(self._entries) > MAX_ENTRIES:
            self._entries.pop(next(iter(self._entries)))
