"""Cuts a stream of server-sent events into whole ones."""

import re
from typing import Final, NamedTuple

__all__ = ('Event', 'EventFeed')

# A blank line ends an event, in any of the three line endings.
_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID: Final = re.compile(rb'^id:[ ]?(.*?)\r?$', re.MULTILINE)


class Event(NamedTuple):
    """One event with the blank line that ends it.

    :param name: its id; empty where it has none.
    """

    name: str
    encoded: bytes


class EventFeed:
    """Takes pieces of a body and gives whole events.

    An engine that breaks may leave half an event. Passed on, the first event
    of the engine that goes on would be joined to it.
    """

    def __init__(self) -> None:
        """Start with nothing received."""
        self._pending = b''

    @property
    def has_half(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._pending.strip())

    def feed(self, piece: bytes) -> list[Event]:
        """Take in a piece; give the events that are whole now."""
        pending = self._pending + piece
        events = []
        start = 0
        for end in _END.finditer(pending):
            encoded = pending[start : end.end()]
            start = end.end()
            events.append(Event(_name_of(encoded), encoded))
        self._pending = pending[start:]
        return events


def _name_of(encoded: bytes) -> str:
    found = _ID.search(encoded)
    return found.group(1).decode('latin-1') if found else ''
