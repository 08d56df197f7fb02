"""Wait queue of one service: its order and the expected waits.

Load pattern: bursts of twice what the engines can serve, lasting seconds. A
request whose wait would exceed its objective is refused at arrival rather than
after it has waited to no purpose. A caller that comes back late must not make a
new request late.
"""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from hornbeamdeck.scheduling.engine_choice import TimeBudget
from hornbeamdeck.scheduling.fair_shares import FairShares
from hornbeamdeck.scheduling.forecast import Forecast
from hornbeamdeck.scheduling.queued_request import QueuedRequest
from hornbeamdeck.scheduling.request_rank import (
    pick_by_route_rank,
)
from hornbeamdeck.scheduling.standing import Standing
from hornbeamdeck.scheduling.wait_entry import (
    WaitEntry,
    in_order_of_start,
    order_keys,
)
from hornbeamdeck.wire import Enqueue

__all__ = ('WaitQueue',)

# Number of grants over which the time between grants is averaged.
GRANTS_AVERAGED: Final = 20
INITIAL_INTERVAL_MS: Final = 15.0
# A longer time between two grants means that no request was waiting.
MAX_INTERVAL_MS: Final = 300.0
# Share of its slack (its objective less the shortest time to its first token)
# that a request may be expected to wait, by priority.
# The remainder allows for errors of the estimate.
MAX_WAIT_SHARES: Final = (0.6, 0.4, 0.35)
# How long a request may wait past its objective, by priority, and how long one
# that is late at its arrival may be expected to wait. Then it is refused, which
# leaves the caller time for its own alternatives.
MAX_LATE_WAITS_MS: Final = (1500.0, 500.0, 300.0)
# One of this many grants goes to the request that must start first to meet its
# objective, whatever its priority, so that a flood of urgent requests starves
# no one.
FAIR_TURN_GRANTS: Final = 6


class WaitQueue:
    """Waiting requests, ordered by rank and by when each must start."""

    def __init__(self, shares: FairShares | None = None) -> None:
        """Start empty.

        :param shares: what the teams have used.
        """
        self.interval_ms = INITIAL_INTERVAL_MS
        self.shares = shares or FairShares()
        self._entries: dict[str, WaitEntry] = {}
        self._granted_ms = 0.0
        self._grants = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def push(
        self, queued: QueuedRequest, now: float, fastest_ms: float
    ) -> None:
        """Add a request.

        :param fastest_ms: shortest expected time to its first token, once
            started.
        """
        request = queued.request
        objective_ms = now + _objective_ms(request)
        start_ms = objective_ms - fastest_ms
        if not request.excluded:
            end_ms = max(objective_ms, now) + pick_by_route_rank(
                MAX_LATE_WAITS_MS, request
            )
            if queued.learnable_until_ms is not None:
                end_ms = max(end_ms, queued.learnable_until_ms)
            end_ms = min(queued.deadline_ms, end_ms)
            queued = queued._replace(deadline_ms=end_ms)
        entry = WaitEntry.from_queued(
            queued,
            start_ms,
            objective_ms,
        )
        self._entries[request.request_id] = entry
        self.shares.add_waiting(request.team, now)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request and return it, if it waits here."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        self.shares.remove_waiting(entry.queued.request.team)
        return entry.queued

    def ids_from_sender(self, sender: str) -> list[str]:
        """Return the ids of the requests that were received on a connection."""
        return [
            request_id
            for request_id, entry in self._entries.items()
            if entry.queued.sender == sender
        ]

    def in_order(self, now: float) -> Iterator[QueuedRequest]:
        """Iterate over the waiting requests in the order of their start."""
        beyond = self.teams_beyond_share(now)
        if self._grants % FAIR_TURN_GRANTS:
            ordered = in_order_of_start(self._entries.values(), now, beyond)
        else:
            ordered = sorted(
                self._entries.values(),
                key=lambda entry: (
                    entry.start_ms < now,
                    entry.team in beyond and not entry.is_first,
                    entry.start_ms,
                ),
            )
        return (entry.queued for entry in ordered)

    def learning(self) -> list[QueuedRequest]:
        """List the requests that wait for the version of their stream."""
        return [
            entry.queued
            for entry in self._entries.values()
            if entry.queued.is_learning
        ]

    def time_budget(self, request_id: str, now: float) -> TimeBudget:
        """Return how much time a waiting request has left."""
        entry = self._entries[request_id]
        return TimeBudget(entry.objective_ms - now, entry.start_ms - now)

    def expired(self, now: float, forecast: Forecast) -> list[QueuedRequest]:
        """Remove requests past their deadline or expected to start after it."""
        past_deadline = [
            entry
            for entry in self._entries.values()
            if entry.queued.expires_ms < now
        ]
        forecast_expired = self._forecast_expired(now, forecast)
        return self._remove_all(
            [entry.queued for entry in past_deadline + forecast_expired]
        )

    def start(self, request_id: str, now: float) -> None:
        """Remove a request that starts and update the time between grants."""
        self.remove(request_id)
        elapsed_ms = now - self._granted_ms
        self._granted_ms = now
        self._grants += 1
        if elapsed_ms < MAX_INTERVAL_MS:
            change_ms = (elapsed_ms - self.interval_ms) / GRANTS_AVERAGED
            self.interval_ms += change_ms

    def time_to_empty_ms(self) -> float:
        """Estimate the time until all waiting requests have started."""
        return len(self._entries) * self.interval_ms

    def can_start_in_time(
        self,
        request: Enqueue,
        fastest_ms: float,
        forecast: Forecast,
        now: float,
    ) -> bool:
        """Return whether a new request is expected to start in time."""
        start_ms = now + _objective_ms(request) - fastest_ms
        beyond = self.teams_beyond_share(now, request.team)
        is_beyond = request.team in beyond and request.resumes is None
        own_key = order_keys(
            request, Standing.WITHIN_SHARE, start_ms, is_late=start_ms < now
        )[is_beyond]
        requests_ahead = sum(
            entry.order(now, is_beyond=entry.team in beyond) <= own_key
            for entry in self._entries.values()
            if not entry.queued.is_learning
        )
        max_wait_ms = self.max_wait_ms(request, fastest_ms)
        return forecast.start_in_ms(requests_ahead) <= max_wait_ms

    def teams_beyond_share(
        self, now: float, arriving: str | None = None
    ) -> frozenset[str]:
        """Return the waiting teams that are beyond their share.

        :param arriving: the team of a request that may wait, too.
        """
        return self.shares.beyond(now, arriving)

    def max_wait_ms(self, request: Enqueue, fastest_ms: float) -> float:
        """Return the longest expected wait at which a request is admitted."""
        slack_ms = _objective_ms(request) - fastest_ms
        max_late_ms = pick_by_route_rank(MAX_LATE_WAITS_MS, request)
        if slack_ms < 0:
            return max_late_ms
        max_wait_ms = slack_ms * pick_by_route_rank(MAX_WAIT_SHARES, request)
        if request.resumes is None:
            return max_wait_ms
        return max(max_wait_ms, max_late_ms)

    def count_by_standing(self, now: float) -> Counter[Standing]:
        """Count the waiting requests."""
        beyond = self.teams_beyond_share(now)
        return Counter(
            entry.order(now, is_beyond=entry.team in beyond)[1]
            for entry in self._entries.values()
        )

    def _forecast_expired(
        self, now: float, forecast: Forecast
    ) -> list[WaitEntry]:
        """Find requests that are not expected to start before their deadline.

        More urgent requests that arrived later have overtaken them. An early
        refusal leaves the caller more time to come back, and the requests
        behind move up.
        """
        beyond = self.teams_beyond_share(now)
        requests_ahead = 0
        forecast_expired = []
        starting = [
            entry
            for entry in self._entries.values()
            if not entry.queued.is_learning
        ]
        ordered = in_order_of_start(starting, now, beyond)
        for entry in ordered:
            if entry.queued.expires_ms < now or entry.queued.request.excluded:
                continue
            if (
                now + forecast.start_in_ms(requests_ahead)
                > entry.queued.deadline_ms
            ):
                forecast_expired.append(entry)
            else:
                requests_ahead += 1
        return forecast_expired

    def _remove_all(self, requests: list[QueuedRequest]) -> list[QueuedRequest]:
        for queued in requests:
            self.remove(queued.request.request_id)
        return requests


def _objective_ms(request: Enqueue) -> int:
    if request.objective_ms is None:
        return int(request.deadline_ms)
    return int(request.objective_ms)
