"""Queue of one tier: fair between teams, earliest deadline first in a team.

Teams are served by their tags (`FairShares`). Each served request increases its
team's tag by the time that it takes divided by the team's weight, and the team
with the smallest tag is next. A team that was idle continues at the virtual
time, so it can't accumulate unused turns.
"""

import heapq
import itertools
from collections.abc import Iterator

from hornbeamdeck.scheduling.fair_shares import FairShares
from hornbeamdeck.scheduling.queued_request import QueuedRequest

__all__ = ('TierQueue',)


class _TeamQueue:
    """The waiting requests of one team in one tier."""

    def __init__(self) -> None:
        self.requests: dict[str, QueuedRequest] = {}
        self.service_ms = 0.0
        self._by_deadline: list[tuple[float, int, str]] = []
        self._by_arrival: list[str] = []

    def push(self, queued: QueuedRequest, sequence: int) -> None:
        request_id = queued.request.request_id
        self.requests[request_id] = queued
        self.service_ms += queued.service_ms
        entry = (queued.deadline_ms, sequence, request_id)
        heapq.heappush(self._by_deadline, entry)
        self._by_arrival.append(request_id)

    def earliest(self) -> QueuedRequest:
        while self._by_deadline[0][2] not in self.requests:
            heapq.heappop(self._by_deadline)
        return self.requests[self._by_deadline[0][2]]

    def newest(self) -> QueuedRequest:
        while self._by_arrival[-1] not in self.requests:
            self._by_arrival.pop()
        return self.requests[self._by_arrival[-1]]

    def remove(self, request_id: str) -> QueuedRequest:
        queued = self.requests.pop(request_id)
        self.service_ms -= queued.service_ms
        self._compact()
        return queued

    def _compact(self) -> None:
        # Removed requests stay in both orders until they reach an end of them.
        # Without this cleanup, a team whose callers keep disconnecting would
        # hold memory for every one of them.
        if len(self._by_arrival) <= 2 * len(self.requests) + 8:
            return
        self._by_arrival = [
            each for each in self._by_arrival if each in self.requests
        ]
        self._by_deadline = [
            each for each in self._by_deadline if each[2] in self.requests
        ]
        heapq.heapify(self._by_deadline)


class TierQueue:
    """All waiting requests of one tier."""

    def __init__(self) -> None:
        """Start empty."""
        self.service_ms = 0.0
        self._shares = FairShares()
        self._teams: dict[str, _TeamQueue] = {}
        self._order: list[tuple[float, str]] = []
        self._team_of: dict[str, str] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._team_of)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request waits here."""
        return request_id in self._team_of

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over all waiting requests in no particular order."""
        for team in self._teams.values():
            yield from team.requests.values()

    def push(self, queued: QueuedRequest, now: float = 0) -> None:
        """Add a request."""
        name = queued.request.team
        team = self._teams.setdefault(name, _TeamQueue())
        self._shares.add_waiting(name, now)
        if not team.requests:
            heapq.heappush(self._order, (self._shares.tag(name), name))
        team.push(queued, next(self._sequence))
        self._team_of[queued.request.request_id] = name
        self.service_ms += queued.service_ms

    def next_request(self) -> QueuedRequest:
        """Return the next request to serve without removing it."""
        return self._next_team().earliest()

    def serve(
        self,
        request_id: str,
        weight: float,
        cost_ms: float | None = None,
        now: float = 0,
    ) -> QueuedRequest:
        """Remove a request that is served and charge its team for it.

        :param cost_ms: time that it is expected to take where it is served;
            `None`: as long as estimated when it was pushed.
        """
        name = self._team_of[request_id]
        if cost_ms is None:
            team = self._teams[name]
            cost_ms = team.requests[request_id].service_ms
        self._shares.apply_weight(name, weight)
        self._shares.charge(name, cost_ms, now)
        heapq.heappush(self._order, (self._shares.tag(name), name))
        return self.remove(request_id)

    def remove(self, request_id: str) -> QueuedRequest:
        """Remove a request that is not served."""
        name = self._team_of.pop(request_id)
        team = self._teams[name]
        queued = team.remove(request_id)
        if not team.requests:
            self._teams.pop(name)
        self._shares.remove_waiting(name)
        self.service_ms -= queued.service_ms
        return queued

    def newest_of_largest_team(self) -> QueuedRequest:
        """Return the request to refuse: the newest of the largest team.

        The largest team is the one whose requests take the most time.
        """
        largest = max(self._teams.values(), key=lambda team: team.service_ms)
        return largest.newest()

    def _next_team(self) -> _TeamQueue:
        while True:
            tag, name = self._order[0]
            team = self._teams.get(name)
            if team is not None and self._shares.tag(name) == tag:
                return team
            heapq.heappop(self._order)
