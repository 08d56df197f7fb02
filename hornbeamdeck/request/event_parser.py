"""Splits a stream of server-sent events into complete events."""

import re
from typing import Final, NamedTuple

__all__ = ('BYTE_ORDER_MARK', 'Event', 'EventParser')

# A blank line ends an event, in any of the three line endings.
_EVENT_END: Final = re.compile(rb'\r?\n\r?\n|\r\r')
# Bytes of an event's end that the previous chunk may hold.
MAX_SPLIT_BYTES: Final = 3
# Most events look like this; their lines need not be split.
_PLAIN_EVENT: Final = re.compile(rb'id: ?([0-9]+)\ndata:[^\r\n]*\n\n')
BYTE_ORDER_MARK: Final = b'\xef\xbb\xbf'
ID_FIELD: Final = b'id'
DATA_FIELD: Final = b'data'
# Lines that need no colon; the empty one ends the event.
_FIELDS: Final = frozenset((ID_FIELD, DATA_FIELD, b'event', b'retry', b''))
_FIELD_NAME: Final = re.compile(rb'[A-Za-z][A-Za-z0-9_-]*')


class Event(NamedTuple):
    """One event with the blank line that ends it.

    :param event_id: its id; empty if it has none.
    :param has_data: whether it has data; a block with neither is no event.
    :param is_valid: whether all of its lines are fields or comments.
    """

    event_id: str
    encoded: bytes
    has_data: bool = True
    is_valid: bool = True


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
                events.append(_make_event(encoded))
        self._pending = self._pending[start:] if start else self._pending
        return events


def _make_event(encoded: bytes) -> Event:
    plain = _PLAIN_EVENT.fullmatch(encoded)
    if plain is not None:
        return Event(plain.group(1).decode(), encoded)
    lines = encoded.removeprefix(BYTE_ORDER_MARK).splitlines()
    fields = [line.partition(b':') for line in lines]
    ids = [text for name, _, text in fields if name == ID_FIELD]
    return Event(
        ids[-1].strip(b' ').decode('latin-1') if ids else '',
        encoded,
        has_data=any(name == DATA_FIELD for name, _, _ in fields),
        is_valid=all(_is_field(name, colon) for name, colon, _ in fields),
    )


def _is_field(name: bytes, colon: bytes) -> bool:
    # A comment has no name.
    if not colon:
        return name in _FIELDS
    return not name or _FIELD_NAME.fullmatch(name) is not None
