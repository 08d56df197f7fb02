"""A team's limit while owners of a fleet change and overlap."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import pytest

from hornbeamdeck.ownership.spending import SpendingLog, SpendingReports
from hornbeamdeck.scheduling.token_quota import TokenQuotas
from tests.scheduling.engine_cell_factories import (
    make_reported_quotas,
    make_team,
)

INSTANCES: Final = 20
CUT: Final = frozenset(range(7))
REST: Final = frozenset(range(7, INSTANCES))
ALL: Final = frozenset(range(INSTANCES))
STEP_MS: Final = 10
HEARTBEAT_MS: Final = 250
# After this silence a process is replaced as owner by the next one.
SILENCE_MS: Final = 800
# A process that has just started takes all instances for live.
STARTUP_GRACE_MS: Final = 2000
WINDOW_MS: Final = 8000
RATE_PER_S: Final = 10_000
SLACK: Final = 4000
OVERAGE: Final = 0.1
REQUEST_TOKENS: Final = 100
# The heavy team asks for this multiple of its rate.
DEMAND: Final = 6
TEAM = make_team(rate=RATE_PER_S, burst=3 * RATE_PER_S)
ALLOWED: Final = (RATE_PER_S * WINDOW_MS / 1000 + TEAM.burst) * (
    1 + OVERAGE
) + SLACK


class _Process:
    """One instance, which may be the owner."""

    def __init__(
        self, number: int, now: Callable[[], float], *, is_first_start: bool
    ) -> None:
        self.number = number
        self.started_ms = now()
        self.log = SpendingLog(WINDOW_MS)
        self.reports = SpendingReports(WINDOW_MS)
        self.heard_ms: dict[int, float] = {}
        self.is_first_start = is_first_start
        self._now = now
        self.quotas: TokenQuotas = make_reported_quotas(
            self.reports,
            share=self._share,
            window_ms=WINDOW_MS,
            slack=SLACK,
            overage=OVERAGE,
            overlap_ms=2 * HEARTBEAT_MS,
            is_first_start=is_first_start,
        )

    def report_to(self, other: '_Process', now: float) -> None:
        """Send a heartbeat."""
        memory_ms = now - self.started_ms
        if self.is_first_start:
            memory_ms = WINDOW_MS
        other.heard_ms[self.number] = now
        other.reports.record(
            str(self.number), self.log.report(now), memory_ms, now
        )

    def _share(self) -> float:
        if self._now() - self.started_ms < STARTUP_GRACE_MS:
            return 1.0
        recent = sum(
            self._now() - heard_ms <= 2 * HEARTBEAT_MS
            for heard_ms in self.heard_ms.values()
        )
        return recent / INSTANCES


class _Fleet:
    """Instances that share a team's limit; each side of a cut has an owner."""

    def __init__(self) -> None:
        self.now = 0.0
        self.processes = [self._make(number) for number in range(INSTANCES)]
        self.sides: tuple[frozenset[int], ...] = (ALL,)
        self.owners = [0]
        self.frozen: frozenset[int] = frozenset()
        self.granted: deque[tuple[float, int]] = deque()
        self._asked = 0.0

    def run(self, for_ms: float, demand: float = DEMAND) -> None:
        """Let time pass, while all instances get the team's requests.

        :param demand: what the team asks, as a multiple of its rate.
        """
        end_ms = self.now + for_ms
        while self.now < end_ms:
            self.now += STEP_MS
            if self.now % HEARTBEAT_MS < STEP_MS:
                self._send_heartbeats()
            per_step = demand * RATE_PER_S * STEP_MS / 1000
            for side, owner in zip(self.sides, self.owners, strict=True):
                self._ask(side, owner, per_step * len(side) / INSTANCES)

    def cut(self, *sides: frozenset[int], demand: float = DEMAND) -> None:
        """Partition the fleet; each side replaces an owner that is cut off."""
        former = self.owners[0]
        self.sides = sides
        self.owners = [former if former in side else -1 for side in sides]
        self.run(SILENCE_MS, demand)
        self.owners = [
            former if former in side else min(side) for side in sides
        ]

    def heal(self, owner: int) -> None:
        """End the partition; one owner remains."""
        self.sides = (ALL,)
        self.owners = [owner]

    def replace_owner(self, successor: int) -> None:
        """Kill the owner, which starts again at once as an ingress."""
        killed = self.owners[0]
        self.processes[killed] = self._make(killed)
        self.owners = [successor]

    def freeze_owner(self, for_ms: float, successor: int) -> None:
        """Let the owner stand still, and go on once it runs again."""
        owner = self.owners[0]
        self.frozen = frozenset((owner,))
        self.owners = [-1]
        self.run(SILENCE_MS)
        self.owners = [successor]
        self.run(for_ms - SILENCE_MS)
        self.frozen = frozenset()
        self.owners = [owner]
        # It reads the heartbeats that waited in its sockets.
        self._send_heartbeats()

    def largest_window(self) -> int:
        """Return the most tokens that were granted in any window."""
        largest = 0
        total = 0
        window: deque[tuple[float, int]] = deque()
        for granted in self.granted:
            window.append(granted)
            total += granted[1]
            while window[0][0] <= granted[0] - WINDOW_MS:
                total -= window.popleft()[1]
            largest = max(largest, total)
        return largest

    def _make(self, number: int) -> _Process:
        return _Process(number, lambda: self.now, is_first_start=not self.now)

    def _send_heartbeats(self) -> None:
        for process in self.processes:
            if process.number not in {*self.owners, *self.frozen}:
                process.quotas.reset()
            if process.number not in self.frozen:
                process.quotas.record_running(self.now)
        for side in self.sides:
            for sender in side - self.frozen:
                for receiver in side - self.frozen:
                    self.processes[sender].report_to(
                        self.processes[receiver], self.now
                    )

    def _ask(self, side: Iterable[int], owner: int, tokens: float) -> None:
        numbers = tuple(side)
        if owner < 0:
            return
        quotas = self.processes[owner].quotas
        for number in range(int(tokens / REQUEST_TOKENS)):
            if not quotas.spend(TEAM, REQUEST_TOKENS, self.now):
                return
            self.granted.append((self.now, REQUEST_TOKENS))
            ingress = numbers[(int(self.now) + number) % len(numbers)]
            self.processes[ingress].log.add(TEAM.name, REQUEST_TOKENS, self.now)


def test_a_successor_does_not_grant_a_burst_that_was_just_spent() -> None:
    """Guards against a bucket that is derived from the sum of a window."""
    fleet = _Fleet()
    fleet.run(9000, demand=0.1)
    fleet.run(3000)
    fleet.replace_owner(1)
    fleet.run(9000)
    assert fleet.largest_window() <= ALLOWED


@pytest.mark.parametrize('interval_ms', [400, 1300, 2600])
def test_a_series_of_owners_keeps_the_limit(interval_ms: int) -> None:
    """Guards against a burst for each of several owners in a window."""
    fleet = _Fleet()
    fleet.run(9000, demand=0.1)
    for successor in (1, 2, 3, 4, 5, 0):
        fleet.run(interval_ms)
        fleet.replace_owner(successor)
    fleet.run(9000)
    assert fleet.largest_window() <= ALLOWED


@pytest.mark.parametrize('sides', [(CUT, REST), (REST, CUT)])
def test_both_sides_of_a_cut_keep_the_limit_together(
    sides: Sequence[frozenset[int]],
) -> None:
    """Guards against two owners that each grant more than their share."""
    fleet = _Fleet()
    fleet.replace_owner(min(sides[0]))
    fleet.run(9000, demand=0.1)
    fleet.cut(*sides)
    fleet.run(9000)
    assert fleet.largest_window() <= ALLOWED


def test_sides_that_meet_and_are_cut_again_keep_the_limit() -> None:
    """Guards against a bucket that fills up on both sides of a cut."""
    fleet = _Fleet()
    fleet.run(9000, demand=0.1)
    for _ in range(3):
        fleet.cut(CUT, REST, demand=0.1)
        fleet.run(9000, demand=0.1)
        fleet.run(2000)
        fleet.heal(0)
        fleet.run(1000)
    fleet.run(9000)
    assert fleet.largest_window() <= ALLOWED


def test_a_small_part_that_is_cut_off_adds_less_than_the_overage() -> None:
    """Guards against an owner that takes most of a fleet for all of it."""
    fleet = _Fleet()
    fleet.run(9000, demand=0.1)
    small = frozenset(range(16, INSTANCES))
    fleet.cut(ALL - small, small)
    fleet.run(20_000)
    assert fleet.largest_window() <= ALLOWED


@pytest.mark.parametrize('freeze_ms', [1500, 3000, 5000])
def test_owner_that_stood_still_keeps_the_limit(freeze_ms: int) -> None:
    """Guards against tokens for a time in which another owner granted."""
    fleet = _Fleet()
    fleet.run(9000, demand=0.1)
    fleet.run(3000)
    fleet.freeze_owner(freeze_ms, 1)
    fleet.run(9000)
    assert fleet.largest_window() <= ALLOWED


def test_most_of_the_limit_is_usable_where_nobody_is_cut() -> None:
    """Guards against a limit that is kept by granting only a part of it."""
    fleet = _Fleet()
    fleet.run(20_000)
    base = RATE_PER_S * WINDOW_MS / 1000 + TEAM.burst
    assert fleet.largest_window() >= 0.9 * base
    last = sum(
        tokens for at_ms, tokens in fleet.granted if at_ms > 20_000 - WINDOW_MS
    )
    assert last >= 0.9 * RATE_PER_S * WINDOW_MS / 1000


def test_a_limit_is_usable_soon_after_a_change_of_the_owner() -> None:
    """Guards against a successor that refuses what a team has left."""
    fleet = _Fleet()
    fleet.run(9000, demand=0.1)
    fleet.replace_owner(1)
    fleet.run(1000, demand=0.1)
    before = len(fleet.granted)
    fleet.run(1000)
    granted = (len(fleet.granted) - before) * REQUEST_TOKENS
    assert granted >= 0.9 * TEAM.burst
