"""Counts the bytes of a stream since the end of its last event."""

from typing import Final

from hornbeamdeck.connection.response_limits import (
    LimitExceeded,
    ResponseLimit,
    ResponseLimits,
)

__all__ = ('EventProgress',)

# A blank line ends an event, in any of the three line endings.
EVENT_ENDS: Final = (b'\n\r\n', b'\n\n', b'\r\r')
# Bytes of an event's end that the previous chunk may hold.
MAX_SPLIT_BYTES: Final = 3


class EventProgress:
    """Checks the size of each event of a stream, also while it arrives."""

    def __init__(self) -> None:
        """Start before the first event."""
        self.unfinished_bytes = 0
        self._has_content = False
        self._tail = b''

    def record(self, chunk: bytes, limits: ResponseLimits) -> bool:
        """Count a chunk and return whether it has completed an event.

        Blank lines alone are no event.

        :raises LimitExceeded: if an event is too large.
        """
        window = self._tail + chunk
        known = self.unfinished_bytes - len(self._tail)
        first_end = _first_end(window)
        if known + first_end > limits.max_event_bytes:
            raise LimitExceeded(ResponseLimit.EVENT, limits.max_event_bytes)
        has_event = self._record_ends(chunk, window, _last_end(window))
        if self.unfinished_bytes > limits.max_unfinished_bytes:
            raise LimitExceeded(
                ResponseLimit.UNFINISHED, limits.max_unfinished_bytes
            )
        return has_event

    def _record_ends(self, chunk: bytes, window: bytes, last_end: int) -> bool:
        rest = window[last_end:]
        has_event = bool(
            last_end and (self._has_content or window[:last_end].strip())
        )
        self.unfinished_bytes += len(chunk)
        if has_event:
            self.unfinished_bytes = len(rest)
        self._has_content = bool(rest.strip()) or (
            self._has_content and not last_end
        )
        self._tail = rest[-MAX_SPLIT_BYTES:]
        return has_event


def _first_end(window: bytes) -> int:
    """Return the end of the first event, or 0."""
    ends = [
        found + len(end)
        for end in EVENT_ENDS
        if (found := window.find(end)) >= 0
    ]
    return min(ends, default=0)


def _last_end(window: bytes) -> int:
    """Return the end of the last event, or 0."""
    ends = [
        found + len(end)
        for end in EVENT_ENDS
        if (found := window.rfind(end)) >= 0
    ]
    return max(ends, default=0)
