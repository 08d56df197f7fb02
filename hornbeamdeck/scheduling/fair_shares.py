"""Fair shares of teams, by start-time fair queueing.

Load pattern: one team sends six times its usual load for seconds while the
others send theirs. If only urgency decided the order, every team would have the
same part of its requests refused, however little it asks for.

Each team has a tag, which what it is charged increases by the cost divided by
its weight. The virtual time increases by the cost divided by the weight of all
teams that use their shares then. So the tag of a team that uses exactly its
share keeps up with the virtual time, and that of a team that uses more is ahead
of it. What light teams leave unused is shared by the others.

The cost is slot time, not tokens: the engines of a service differ by a factor
of four in speed, so that the same tokens keep a slot of a slow engine four
times as long from the other teams.
"""

import heapq
import math
from collections.abc import Mapping
from typing import Final

from hornbeamdeck.scheduling.standing import Standing
from hornbeamdeck.version.gateway import GatewayTeam

__all__ = ('FairShares', 'weights_of_teams')

# A team is beyond its share once it has used, or waits for, this many mean
# requests more than it. With a smaller lead, a light team is kept back for one
# long response; with a larger one, the heavy teams take more before the others
# are protected.
MAX_LEAD_REQUESTS: Final = 12.0
# A team whose requests wait may be this many mean requests behind its share.
# Without a limit, a team that is kept back by its token limit would save up
# slots for later.
MAX_LAG_REQUESTS: Final = 2.0
# An unused lead shrinks to a third in this time. A burst that fills all slots
# lasts for seconds, and a team that has ended its own must not be kept back for
# much longer than that.
LEAD_MEMORY_MS: Final = 4000.0
# Number of requests over which the mean cost is averaged.
COSTS_AVERAGED: Final = 50
# Until this many requests have started, an owner does not know what the teams
# use. It takes a team with more requests waiting than its share of all waiting
# requests for one beyond its share.
STARTS_UNTIL_KNOWN: Final = 50
DEFAULT_WEIGHT: Final = 1.0


def weights_of_teams(teams: Mapping[str, GatewayTeam]) -> dict[str, float]:
    """Return the weights of the teams that have a limit; their mean is 1.

    Teams without a limit have the default weight: as much as the mean of these.
    """
    rates = {
        name: team.rate_per_s
        for name, team in teams.items()
        if team.rate_per_s > 0
    }
    mean = sum(rates.values()) / max(len(rates), 1)
    return {name: rate / mean for name, rate in rates.items()}


class _TeamShare:
    """What a team has used, as a tag, and how many of its requests wait."""

    def __init__(self, tag: float, weight: float, now: float) -> None:
        self.tag = tag
        self.weight = weight
        self.changed_ms = now
        self.waiting = 0


class FairShares:
    """Tags of the teams, in slot milliseconds divided by weight."""

    def __init__(self) -> None:
        """Start with equal tags and equal weights."""
        self._weights: dict[str, float] = {}
        # The teams that use their shares: those with requests waiting, and
        # those whose tags are ahead of the virtual time.
        self._teams: dict[str, _TeamShare] = {}
        self._total_weight = 0.0
        self._waiting_teams: set[str] = set()
        self._by_tag: list[tuple[float, str]] = []
        self._virtual_ms = 0.0
        self._mean_cost_ms = 0.0
        self._starts = 0

    def apply_weights(self, weights: Mapping[str, float]) -> None:
        """Apply the weights; all other teams have the default weight."""
        self._weights = dict(weights)
        for team, share in self._teams.items():
            share.weight = weights.get(team, DEFAULT_WEIGHT)
        self._total_weight = sum(each.weight for each in self._teams.values())

    def apply_weight(self, team: str, weight: float) -> None:
        """Apply the weight of one team."""
        if self._weights.get(team, DEFAULT_WEIGHT) != weight:
            self.apply_weights({**self._weights, team: weight})

    def add_waiting(self, team: str, now: float) -> None:
        """Count a request of a team that waits.

        A team that was idle continues at the virtual time, and a lead from long
        ago counts less and less.
        """
        share = self._share_of(team, now)
        if not share.waiting:
            self._set_tag(team, self._virtual_ms + self._lead_ms(share, now))
            share.changed_ms = now
            self._waiting_teams.add(team)
        share.waiting += 1

    def remove_waiting(self, team: str) -> None:
        """Stop counting a request of a team that waited."""
        share = self._teams[team]
        share.waiting -= 1
        if not share.waiting:
            self._waiting_teams.remove(team)
            self._remove_if_idle(team)

    def charge(self, team: str, cost_ms: float, now: float) -> None:
        """Charge a team for a request that starts."""
        self._starts += 1
        if self._mean_cost_ms:
            change_ms = (cost_ms - self._mean_cost_ms) / COSTS_AVERAGED
            self._mean_cost_ms += change_ms
        else:
            self._mean_cost_ms = cost_ms
        self.correct(team, cost_ms, now)

    def correct(self, team: str, difference_ms: float, now: float) -> None:
        """Charge a team for what a run took beyond its cost.

        :param difference_ms: less than 0 if it took less.
        """
        share = self._share_of(team, now)
        tag = self._virtual_ms + self._lead_ms(share, now)
        share.changed_ms = now
        self._set_tag(team, tag + difference_ms / share.weight)
        self._virtual_ms += difference_ms / self._total_weight
        while self._by_tag and self._by_tag[0][0] <= self._virtual_ms:
            _, passed = heapq.heappop(self._by_tag)
            self._remove_if_idle(passed)

    def tag(self, team: str) -> float:
        """Return the tag at which the next request of a team starts."""
        share = self._teams.get(team)
        return self._virtual_ms if share is None else share.tag

    def standing(self, team: str, now: float) -> Standing:
        """Return whether a team is within its share or beyond it."""
        share = self._teams.get(team)
        if share is None:
            return Standing.WITHIN_SHARE
        excess_ms = self._lead_ms(share, now) * share.weight
        excess_ms += share.waiting * self._mean_cost_ms
        if excess_ms > MAX_LEAD_REQUESTS * self._mean_cost_ms:
            return Standing.BEYOND_SHARE
        return Standing.WITHIN_SHARE

    def beyond(self, now: float, arriving: str | None = None) -> frozenset[str]:
        """Return the teams that are beyond their share.

        :param arriving: the team of a request that may wait, too.
        :returns: none, unless a team within its share has requests waiting: no
            team is kept from what no other team asks for.
        """
        teams = self._waiting_teams
        if arriving is not None:
            teams = teams | {arriving}
        if len(teams) < 2:
            return frozenset()
        beyond = frozenset(
            team
            for team in teams
            if self.standing(team, now) == Standing.BEYOND_SHARE
        )
        if self._starts < STARTS_UNTIL_KNOWN:
            beyond |= self._crowding()
        return frozenset() if beyond >= teams else beyond

    def _crowding(self) -> frozenset[str]:
        """Return the teams with more than their share of what waits."""
        waiting = [self._teams[team] for team in self._waiting_teams]
        total_weight = sum(share.weight for share in waiting)
        requests_per_weight = (
            sum(share.waiting for share in waiting) / total_weight
        )
        return frozenset(
            team
            for team in self._waiting_teams
            if self._teams[team].waiting - 1
            > self._teams[team].weight * requests_per_weight
        )

    def _share_of(self, team: str, now: float) -> _TeamShare:
        share = self._teams.get(team)
        if share is None:
            weight = self._weights.get(team, DEFAULT_WEIGHT)
            share = _TeamShare(self._virtual_ms, weight, now)
            self._teams[team] = share
            self._total_weight += weight
        return share

    def _set_tag(self, team: str, tag: float) -> None:
        self._teams[team].tag = tag
        if tag > self._virtual_ms:
            heapq.heappush(self._by_tag, (tag, team))

    def _remove_if_idle(self, team: str) -> None:
        share = self._teams.get(team)
        if share is None or share.waiting or share.tag > self._virtual_ms:
            return
        self._teams.pop(team)
        self._total_weight -= share.weight

    def _lead_ms(self, share: _TeamShare, now: float) -> float:
        """Return by how much a team is ahead of the virtual time.

        A team that waits may be behind it for a while.
        """
        lead_ms = share.tag - self._virtual_ms
        if lead_ms > 0:
            elapsed_ms = max(now - share.changed_ms, 0.0)
            return lead_ms * math.exp(-elapsed_ms / LEAD_MEMORY_MS)
        max_lag_ms = MAX_LAG_REQUESTS * self._mean_cost_ms / share.weight
        return max(lead_ms, -max_lag_ms)
