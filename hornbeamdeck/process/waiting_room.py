"""The order in which requests wait, and how long that will take.

Load pattern: bursts of twice what the engines carry, for seconds. A request
whose wait would pass its objective is better refused at its arrival than after
it has waited in vain.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from hornbeamdeck.process.ticket import Ticket
from hornbeamdeck.wire import Enqueue

__all__ = ('WaitingRoom',)

# Time between grants is averaged over about so many of them.
GRANTS_AVERAGED: Final = 20
FIRST_INTERVAL_MS: Final = 15.0
# A pause between grants longer than this says that nothing waited.
MAX_INTERVAL_MS: Final = 300.0
# How long a request may wait that is late anyway.
LATE_WAIT_MS: Final = 600.0
# Part of its objective that a request may be expected to wait, by priority.
WAIT_SHARES: Final = (0.5, 0.4, 0.35)


class _Place(NamedTuple):
    ticket: Ticket
    order_ms: float
    objective_ms: float

    def rank(self, now: float) -> tuple[bool, float]:
        """Order: second tries, then what can be on time, then the rest."""
        if self.ticket.request.excluded:
            return (False, 0)
        return (self.order_ms < now, self.order_ms)


class WaitingRoom:
    """Waiting requests by the moment at which each must start."""

    def __init__(self) -> None:
        """Start empty."""
        self._places: dict[str, _Place] = {}
        self.interval_ms = FIRST_INTERVAL_MS
        self._granted_ms = 0.0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._places)

    def push(self, ticket: Ticket, now: float, fastest_ms: float) -> None:
        """Add a request.

        :param fastest_ms: least time to its first token, once started.
        """
        request = ticket.request
        objective_ms = now + _objective_ms(request)
        self._places[request.request_id] = _Place(
            ticket,
            objective_ms - fastest_ms,
            objective_ms,
        )

    def remove(self, request_id: str) -> Ticket | None:
        """Take out a request, if it waits here."""
        place = self._places.pop(request_id, None)
        return place.ticket if place else None

    def remove_sender(self, sender: str) -> list[Ticket]:
        """Take out all that came by one connection."""
        gone = [
            place.ticket
            for place in self._places.values()
            if place.ticket.sender == sender
        ]
        for ticket in gone:
            self._places.pop(ticket.request.request_id)
        return gone

    def in_order(self, now: float) -> Iterator[Ticket]:
        """Walk over what waits: first what can be on time, most urgent first.

        What is late already earns less; it goes behind all that is not.
        """
        ordered = sorted(
            self._places.values(),
            key=lambda place: place.rank(now),
        )
        return (place.ticket for place in ordered)

    def is_late(self, request_id: str, now: float) -> bool:
        """Whether a request has missed its objective."""
        place = self._places.get(request_id)
        return place is not None and place.objective_ms < now

    def expired(self, now: float) -> list[Ticket]:
        """Take out what nobody waits for any more."""
        gone = [
            place.ticket
            for place in self._places.values()
            if place.ticket.deadline_ms < now
        ]
        for ticket in gone:
            self._places.pop(ticket.request.request_id)
        return gone

    def note_grant(self, now: float) -> None:
        """Learn how fast places come free."""
        passed_ms = now - self._granted_ms
        self._granted_ms = now
        if passed_ms < MAX_INTERVAL_MS:
            change_ms = (passed_ms - self.interval_ms) / GRANTS_AVERAGED
            self.interval_ms += change_ms

    def drain_ms(self) -> float:
        """Expect how long it takes until all that waits has started."""
        return len(self._places) * self.interval_ms

    def is_worth(self, request: Enqueue, fastest_ms: float, now: float) -> bool:
        """Whether a request that must wait can start in time."""
        objective_ms = _objective_ms(request)
        start_ms = now + objective_ms - fastest_ms
        if start_ms < now:
            # It is late already: it may fill what the others leave.
            allowed_ms = LATE_WAIT_MS
            ahead = len(self._places)
        else:
            rank = min(request.tier_rank, len(WAIT_SHARES) - 1)
            allowed_ms = objective_ms * WAIT_SHARES[rank] - fastest_ms
            ahead = sum(
                now <= place.order_ms <= start_ms
                for place in self._places.values()
            )
        return ahead * self.interval_ms <= max(allowed_ms, 0)


def _objective_ms(request: Enqueue) -> int:
    if request.objective_ms is None:
        return int(request.deadline_ms)
    return int(request.objective_ms)
