"""Which parts of prompts were answered lately, and how common they are.

Load pattern: a part of prompts crashes engines, and sound requests share the
other parts of those prompts. What was answered lately crashes nothing. Of parts
that always come together, the rarest is the one that sound requests lack.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = ('PromptPartHistory',)

# A part that was answered within this time is sound. Sound requests share it
# with those that crash engines, which may keep it from being answered again.
SOUND_MS: Final = 60_000.0
MAX_PARTS: Final = 2000


class _Part(NamedTuple):
    """What is known of a part.

    :param requests: number of requests that had it.
    """

    requests: int = 0
    answered_ms: float = -math.inf


class PromptPartHistory:
    """The parts of the latest requests, by id."""

    def __init__(self) -> None:
        """Start without parts."""
        self._parts: dict[str, _Part] = {}

    def record_request(self, part_ids: Iterable[str]) -> None:
        """Record a request with these parts."""
        for part_id in part_ids:
            part = self._take(part_id)
            self._put(part_id, part._replace(requests=part.requests + 1))

    def record_answer(self, part_ids: Iterable[str], now: float) -> None:
        """Record that an engine has answered a request with these parts."""
        for part_id in part_ids:
            self._put(part_id, self._take(part_id)._replace(answered_ms=now))

    def is_sound(self, part_id: str, now: float) -> bool:
        """Return whether a part was answered lately."""
        part = self._parts.get(part_id)
        return part is not None and part.answered_ms > now - SOUND_MS

    def requests(self, part_id: str) -> int:
        """Return the number of known requests that had a part."""
        return self._parts.get(part_id, _Part()).requests

    def _take(self, part_id: str) -> _Part:
        return self._parts.pop(part_id, _Part())

    def _put(self, part_id: str, part: _Part) -> None:
        """Keep a part as the latest one; forget the oldest beyond the limit."""
        self._parts[part_id] = part
        if len(self._parts) > MAX_PARTS:
            self._parts.pop(next(iter(self._parts)))
