"""Tokens that teams have spent recently, as recorded by ingress instances."""

import math
from collections.abc import Callable, Iterable
from itertools import count
from typing import Final, NamedTuple, TypeAlias

from hornbeamdeck.wire import Spending

__all__ = ('SLICES_PER_WINDOW', 'ReturnTokens', 'SpendingLog')

# A new owner derives from the slices when a team spent its tokens. It counts
# the tokens of a slice as spent at its end, so its error is one slice's refill.
SLICES_PER_WINDOW: Final = 8

# Takes back tokens that were recorded, if they still count.
ReturnTokens: TypeAlias = Callable[[], object]


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
        # In the order of time.
        self._log: dict[int, _Spent] = {}
        self._keys = count()

    def add(self, team: str, tokens: int, now: float) -> ReturnTokens:
        """Record the tokens that a granted request counts.

        :returns: takes them back, for a request that was never sent.
        """
        key = next(self._keys)
        if tokens:
            self._log[key] = _Spent(now, team, tokens)
        return lambda: self._log.pop(key, None)

    def report(self, now: float) -> list[Spending]:
        """Return each team's spending in the slices of the window."""
        since_ms = now - self._window_ms
        self._log = {
            key: spent
            for key, spent in self._log.items()
            if spent.at_ms > since_ms
        }
        slice_ms = self._window_ms / SLICES_PER_WINDOW
        by_team: dict[str, list[int]] = {}
        # The latest comes last, so the first of a team is its oldest slice.
        for spent in self._log.values():
            age = int((now - spent.at_ms) / slice_ms)
            slices = by_team.setdefault(spent.team, [0 for _ in range(age + 1)])
            slices[age] += spent.tokens
        return [
            Spending(team=team, by_age=slices)
            for team, slices in by_team.items()
        ]


class _Report(NamedTuple):
    """Spending of one process in the window before its report.

    :param memory_ms: how long it had recorded its spending.
    """

    by_age: dict[str, list[int]]
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
        by_age = {each.team: each.by_age for each in spent}
        self._reports[peer_id] = _Report(by_age, memory_ms, now)

    def drop(self, peer_id: str) -> None:
        """Drop the report of a removed instance."""
        self._reports.pop(peer_id, None)

    def spent_by_age(self, team: str, now: float) -> list[int]:
        """Return a team's spending in the slices of the window.

        It is summed over all reports. A report ages with the time since it
        was received.
        """
        slice_ms = self._window_ms / SLICES_PER_WINDOW
        spent = [0 for _ in range(SLICES_PER_WINDOW)]
        for report in (*self._reports.values(), *self._ended):
            report_age = int((now - report.received_ms) / slice_ms)
            for age, tokens in enumerate(report.by_age.get(team, ())):
                if report_age + age < SLICES_PER_WINDOW:
                    spent[report_age + age] += tokens
        return spent

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
