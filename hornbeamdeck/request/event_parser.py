"""Splits a stream of server-sent events into complete events."""

import re
from typing import Final, NamedTuple

__all__ = ('Event', 'EventParser')

# A blank line ends an event, in any of the three line endings.
_EVENT_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
# Bytes of an event's end that the previous chunk may hold.
MAX_SPLIT_BYTES: Final = 3
_ID_FIELD: Final = re.compile(rb'^id:[ ]?(.*?)\r?$', re.MULTILINE)


class Event(NamedTuple):
    """One event with the blank line that ends it.

    :param event_id: its id; empty if it has none.
    """

    event_id: str
    encoded: bytes


class EventParser:
    """Assembles complete events from chunks of a response body.

    An engine that fails may leave a partial event. If that were relayed, the
    first event of the engine that continues the stream would be joined to it.
    """

    def __init__(self) -> None:
        """Initialize with nothing received."""
        self._pending = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream so far ends within an event."""
        return bool(self._pending.strip())

    def add_chunk(self, chunk: bytes) -> list[Event]:
        """Add a chunk and return the events that are complete now.

        Blank lines alone are no event.
        """
        # Pending bytes are searched once only. An engine that sends a long
        # event in small pieces would otherwise occupy the process.
        searched = max(len(self._pending) - MAX_SPLIT_BYTES, 0)
        self._pending += chunk
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._pending, searched):
            encoded = bytes(self._pending[start : end.end()])
            start = end.end()
            if encoded.strip():
                events.append(Event(_event_id(encoded), encoded))
        self._pending = self._pending[start:] if start else self._pending
        return events


def _event_id(encoded: bytes) -> str:
    found = _ID_FIELD.search(encoded)
    return found.group(1).decode('latin-1') if found else ''
