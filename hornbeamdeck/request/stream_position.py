"""Selects the events of a stream that its caller has not received yet.

Failure: an engine leaves events out, sends some twice, or sends those of
another response after its own. A caller can't tell them from the events of its
stream.
"""

import enum
from typing import Final, NamedTuple

from hornbeamdeck.request.event_parser import (
    BYTE_ORDER_MARK,
    Event,
    EventParser,
)

__all__ = ('Selection', 'StreamPosition')

# Python raises ValueError when it converts numbers of thousands of digits.
MAX_DIGITS: Final = 18
# A longer id is not sent to another engine.
MAX_ID_CHARS: Final = 256


class Selection(NamedTuple):
    """The events that come next, up to the first one that does not.

    :param is_in_order: whether there is no such event.
    """

    unsent: list[Event]
    is_in_order: bool


class _Place(enum.Enum):
    """Where an event belongs in a stream."""

    NEXT = enum.auto()
    RECEIVED = enum.auto()
    ELSEWHERE = enum.auto()


class StreamPosition:
    """The last event that the caller of a stream has received.

    Events have whole numbers as ids, each one more than the last. Where the
    ids of a stream are others, or it has none, its order is not checked.
    """

    def __init__(self, last_event_id: str) -> None:
        """Start after the event that the caller has named; empty: none."""
        self.last_event_id = last_event_id
        # Whether another engine can be told after which event to go on.
        self.is_resumable = True
        self._parser = EventParser()
        # Number of the last event of the current attempt.
        self._previous: int | None = None
        self._has_sent = False

    @property
    def has_partial_event(self) -> bool:
        """Whether the current attempt has ended within an event."""
        return self._parser.has_partial_event

    @property
    def is_behind(self) -> bool:
        """Whether the current attempt has ended before the last event."""
        received = _number(self.last_event_id)
        if self._previous is None or received is None:
            return False
        return self._previous < received

    def start_attempt(self) -> None:
        """Expect the stream of another engine, which may begin earlier."""
        self._parser = EventParser()
        self._previous = None

    def add_chunk(self, chunk: bytes) -> Selection:
        """Add a chunk; select the events that come next and advance."""
        unsent: list[Event] = []
        for event in self._parser.add_chunk(chunk):
            place = self._place_of(event)
            if place is _Place.ELSEWHERE:
                return Selection(unsent, is_in_order=False)
            if place is _Place.NEXT:
                unsent.append(self._without_mark(event))
        return Selection(unsent, is_in_order=True)

    def _place_of(self, event: Event) -> _Place:
        if not event.is_valid:
            return _Place.ELSEWHERE
        # A block with neither an id nor data is no event.
        if not (event.event_id or event.has_data):
            return _Place.NEXT
        number = _number(event.event_id)
        received = _number(self.last_event_id)
        if not self._may_follow(number, received):
            return _Place.ELSEWHERE
        self._previous = number
        if number is not None and received is not None and number <= received:
            return _Place.RECEIVED
        self._advance(event)
        return _Place.NEXT

    def _may_follow(self, number: int | None, received: int | None) -> bool:
        if self._previous is not None:
            return number == self._previous + 1
        if received is None:
            return True
        return number is not None and number <= received + 1

    def _advance(self, event: Event) -> None:
        event_id = event.event_id
        is_header_text = event_id.isascii() and event_id.isprintable()
        if not is_header_text or not 0 < len(event_id) <= MAX_ID_CHARS:
            self.is_resumable = False
        self.last_event_id = event_id or self.last_event_id

    def _without_mark(self, event: Event) -> Event:
        """Remove a mark that may only stand at the start of a stream."""
        if not self._has_sent:
            self._has_sent = True
            return event
        encoded = event.encoded.removeprefix(BYTE_ORDER_MARK)
        return event._replace(encoded=encoded)


def _number(event_id: str) -> int | None:
    """Read an id that is a whole number; `None`: it is none."""
    is_number = event_id.isascii() and event_id.isdigit()
    return int(event_id) if is_number and len(event_id) <= MAX_DIGITS else None
