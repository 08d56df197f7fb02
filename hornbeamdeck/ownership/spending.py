"""Tokens that teams have spent recently, as recorded by ingress instances."""

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

    An owner stores the spending of teams only in memory. If it were lost with
    the owner, the next owner would grant each team a full burst again.
    """

    def __init__(self, window_ms: float) -> None:
        """Record spending within a window in milliseconds."""
        self._window_ms = window_ms
        self._log: deque[_Spent] = deque()
        self._totals: dict[str, int] = {}

    def add(self, team: str, tokens: int, now: float) -> None:
        """Record the tokens that a granted request counts."""
        if not tokens:
            return
        self._log.append(_Spent(now, team, tokens))
        self._totals[team] = self._totals.get(team, 0) + tokens

    def report(self, now: float) -> list[Spending]:
        """Return each team's spending within the window."""
        while self._log and self._log[0].at_ms < now - self._window_ms:
            expired = self._log.popleft()
            remaining = self._totals[expired.team] - expired.tokens
            if remaining:
                self._totals[expired.team] = remaining
            else:
                self._totals.pop(expired.team)
        return [
            Spending(team=team, tokens=tokens)
            for team, tokens in self._totals.items()
        ]


class _Report(NamedTuple):
    """Spending of one process in the window before its report.

    :param memory_ms: how long it had recorded its spending.
    """

    tokens: dict[str, int]
    memory_ms: float
    received_ms: float


class SpendingReports:
    """Spending reports of all ingress instances, for an owner or successor."""

    def __init__(self, window_ms: float) -> None:
        """Start without reports."""
        self._window_ms = window_ms
        self._reports: dict[str, _Report] = {}
        # Last reports of processes whose successors have reported since.
        self._ended: list[_Report] = []

    def record(
        self,
        peer_id: str,
        spent: Iterable[Spending],
        memory_ms: float,
        now: float,
    ) -> None:
        """Record the report of one instance.

        :param memory_ms: how long the instance has recorded its spending.
        """
        last = self._reports.get(peer_id)
        if last is not None and memory_ms < last.memory_ms:
            self._ended = [
                each for each in (*self._ended, last) if self._counts(each, now)
            ]
        tokens = {each.team: each.tokens for each in spent}
        self._reports[peer_id] = _Report(tokens, memory_ms, now)

    def drop(self, peer_id: str) -> None:
        """Drop the report of a removed instance."""
        self._reports.pop(peer_id, None)

    def tokens_spent(self, team: str, now: float) -> int:
        """Return a team's spending summed over all reports."""
        return sum(
            report.tokens.get(team, 0)
            for report in (*self._reports.values(), *self._ended)
            if self._counts(report, now)
        )

    def is_complete(self) -> bool:
        """Return whether enough reports cover a whole window.

        At least half of the reporting instances must, and at least one.
        """
        covering = sum(
            report.memory_ms >= self._window_ms
            for report in self._reports.values()
        )
        needed = math.ceil(len(self._reports) / 2)
        return covering >= max(needed, 1)

    def _counts(self, report: _Report, now: float) -> bool:
        return now - report.received_ms < self._window_ms
