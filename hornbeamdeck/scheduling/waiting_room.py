"""The order in which requests wait, and how long that will take.

Load pattern: bursts of twice what the engines carry, for seconds. A request
whose wait would pass its objective is better refused at its arrival than after
it has waited in vain, and one that returns late must not make a fresh one late.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple, Self, TypeAlias

from hornbeamdeck.scheduling.engine_choice import Chances
from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.request_rank import FIRST, Rank, of_kind, rank_of
from hornbeamdeck.scheduling.ticket import Ticket
from hornbeamdeck.wire import Enqueue

__all__ = ('WaitingRoom',)

# Time between grants is averaged over about so many of them.
GRANTS_AVERAGED: Final = 20
FIRST_INTERVAL_MS: Final = 15.0
# A pause between grants longer than this says that nothing waited.
MAX_INTERVAL_MS: Final = 300.0
# Part of its objective that a request may be expected to wait, by priority:
# what is left over covers the error of the expectation.
WAIT_SHARES: Final = (0.6, 0.4, 0.35)
# How long a request may wait that is late anyway, by priority; after this it
# hears that it won't be served, with time left for its caller's own ways.
LATE_WAITS_MS: Final = (1500.0, 500.0, 300.0)
# Each so many grants one goes to who must start first, whatever its priority,
# so that a flood of urgent requests starves no one.
EVEN_TURN: Final = 6


_OrderKey: TypeAlias = tuple[Rank, float]


class _Place(NamedTuple):
    """A waiting request.

    :param start_ms: when it must start to be on time.
    :param objective_ms: when its answer is late.
    :param key_on_time: sort key up to `start_ms`.
    :param key_late: sort key after `start_ms`.
    """

    ticket: Ticket
    start_ms: float
    objective_ms: float
    key_on_time: _OrderKey
    key_late: _OrderKey

    @classmethod
    def from_ticket(
        cls,
        ticket: Ticket,
        start_ms: float,
        objective_ms: float,
    ) -> Self:
        """Compute the sort keys: second tries, then rank, then urgency."""
        request = ticket.request
        if request.excluded:
            key = (FIRST, start_ms)
            return cls(ticket, start_ms, objective_ms, key, key)
        on_time = (rank_of(request, is_late=False), start_ms)
        late = (rank_of(request, is_late=True), start_ms)
        return cls(ticket, start_ms, objective_ms, on_time, late)

    def order(self, now: float) -> _OrderKey:
        """Return the sort key; the lowest starts first."""
        return self.key_late if self.start_ms < now else self.key_on_time


class WaitingRoom:
    """Waiting requests by the moment at which each must start."""

    def __init__(self) -> None:
        """Start empty."""
        self.interval_ms = FIRST_INTERVAL_MS
        self._places: dict[str, _Place] = {}
        self._granted_ms = 0.0
        self._grants = 0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._places)

    def push(self, ticket: Ticket, now: float, fastest_ms: float) -> None:
        """Add a request.

        :param fastest_ms: least time to its first token, once started.
        """
        request = ticket.request
        objective_ms = now + _objective_ms(request)
        start_ms = objective_ms - fastest_ms
        if not request.excluded:
            end_ms = max(objective_ms, now) + of_kind(LATE_WAITS_MS, request)
            end_ms = min(ticket.deadline_ms, end_ms)
            ticket = ticket._replace(deadline_ms=end_ms)
        place = _Place.from_ticket(ticket, start_ms, objective_ms)
        self._places[request.request_id] = place

    def remove(self, request_id: str) -> Ticket | None:
        """Take out a request, if it waits here."""
        place = self._places.pop(request_id, None)
        return place.ticket if place else None

    def sent_by(self, sender: str) -> list[str]:
        """Name the requests that came by one connection."""
        return [
            request_id
            for request_id, place in self._places.items()
            if place.ticket.sender == sender
        ]

    def in_order(self, now: float) -> Iterator[Ticket]:
        """Walk over what waits, in the order in which it is to start."""
        if self._grants % EVEN_TURN:
            ordered = self._ordered(now)
        else:
            ordered = sorted(
                self._places.values(),
                key=lambda place: (place.start_ms < now, place.start_ms),
            )
        return (place.ticket for place in ordered)

    def chances(self, request_id: str, now: float) -> Chances:
        """Tell how much time a waiting request has."""
        place = self._places[request_id]
        return Chances(place.objective_ms - now, place.start_ms - now)

    def expired(self, now: float, forecast: Forecast) -> list[Ticket]:
        """Take out what nobody waits for any more, or in vain."""
        over = [
            place
            for place in self._places.values()
            if place.ticket.deadline_ms < now
        ]
        in_vain = self._in_vain(now, forecast)
        return self._remove_all([place.ticket for place in over + in_vain])

    def start(self, request_id: str, now: float) -> None:
        """Take out a request that starts; learn how fast places come free."""
        self._places.pop(request_id)
        passed_ms = now - self._granted_ms
        self._granted_ms = now
        self._grants += 1
        if passed_ms < MAX_INTERVAL_MS:
            change_ms = (passed_ms - self.interval_ms) / GRANTS_AVERAGED
            self.interval_ms += change_ms

    def drain_ms(self) -> float:
        """Expect how long it takes until all that waits has started."""
        return len(self._places) * self.interval_ms

    def is_worth(
        self,
        request: Enqueue,
        fastest_ms: float,
        forecast: Forecast,
        now: float,
    ) -> bool:
        """Whether a request that must wait can start in time."""
        start_ms = now + _objective_ms(request) - fastest_ms
        rank = rank_of(request, is_late=start_ms < now)
        own = (rank, start_ms)
        allowed_ms = self.allowed_ms(request, fastest_ms)
        ahead = sum(place.order(now) <= own for place in self._places.values())
        return forecast.start_in_ms(ahead) <= allowed_ms

    def allowed_ms(self, request: Enqueue, fastest_ms: float) -> float:
        """Tell how long a request that comes now may be expected to wait."""
        slack_ms = _objective_ms(request) - fastest_ms
        if slack_ms < 0:
            return of_kind(LATE_WAITS_MS, request)
        return slack_ms * of_kind(WAIT_SHARES, request)

    def _ordered(self, now: float) -> list[_Place]:
        return sorted(
            self._places.values(),
            key=lambda place: place.order(now),
        )

    def _in_vain(self, now: float, forecast: Forecast) -> list[_Place]:
        """Find what won't start before its wait ends.

        More urgent requests that came later have overtaken it. Its caller
        hears so at once and has the more time left to come back; and what
        waits behind it moves up.
        """
        ahead = 0
        in_vain = []
        for place in self._ordered(now):
            if place.ticket.deadline_ms < now or place.ticket.request.excluded:
                continue
            if now + forecast.start_in_ms(ahead) > place.ticket.deadline_ms:
                in_vain.append(place)
            else:
                ahead += 1
        return in_vain

    def _remove_all(self, tickets: list[Ticket]) -> list[Ticket]:
        for ticket in tickets:
            self._places.pop(ticket.request.request_id)
        return tickets


def _objective_ms(request: Enqueue) -> int:
    if request.objective_ms is None:
        return int(request.deadline_ms)
    return int(request.objective_ms)
