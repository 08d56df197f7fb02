"""What teams have spent lately, as one ingress remembers it."""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from hornbeamdeck.wire import Spending

__all__ = ('SpendingLog',)


class _Spent(NamedTuple):
    at_ms: float
    team: str
    tokens: int


class SpendingLog:
    """Tokens granted to requests of this ingress within a window.

    An owner keeps its teams' limits in memory. Were its knowledge gone with
    it, the next one would grant each team a whole burst anew.
    """

    def __init__(self, window_ms: float) -> None:
        """Remember so long, milliseconds."""
        self._window_ms = window_ms
        self._log: deque[_Spent] = deque()
        self._totals: dict[str, int] = {}

    def add(self, team: str, tokens: int, now: float) -> None:
        """Note what a request that was granted counts."""
        if not tokens:
            return
        self._log.append(_Spent(now, team, tokens))
        self._totals[team] = self._totals.get(team, 0) + tokens

    def report(self, now: float) -> list[Spending]:
        """Tell each team's spending within the window."""
        while self._log and self._log[0].at_ms < now - self._window_ms:
            gone = self._log.popleft()
            left = self._totals[gone.team] - gone.tokens
            if left:
                self._totals[gone.team] = left
            else:
                self._totals.pop(gone.team)
        return [
            Spending(team=team, tokens=tokens)
            for team, tokens in self._totals.items()
        ]


class SpendingReports:
    """What all ingress instances report, as an owner or its next sees it."""

    def __init__(self, window_ms: float) -> None:
        """Start without reports."""
        self._window_ms = window_ms
        self._reports: dict[str, dict[str, int]] = {}
        self._memory_until: dict[str, float] = {}

    def note(
        self,
        peer_id: str,
        spent: Iterable[Spending],
        memory_ms: float,
    ) -> None:
        """Take in one report.

        :param memory_ms: how long the reporter has been running.
        """
        self._reports[peer_id] = {each.team: each.tokens for each in spent}
        self._memory_until[peer_id] = memory_ms

    def forget(self, peer_id: str) -> None:
        """Drop the report of an instance that has gone."""
        self._reports.pop(peer_id, None)
        self._memory_until.pop(peer_id, None)

    def spent(self, team: str) -> int:
        """Sum what is reported of a team."""
        return sum(report.get(team, 0) for report in self._reports.values())

    def is_complete(self) -> bool:
        """Whether most reporters remember a whole window."""
        remembering = sum(
            memory_ms >= self._window_ms
            for memory_ms in self._memory_until.values()
        )
        needed = math.ceil(len(self._memory_until) / 2)
        return remembering >= max(needed, 1)
