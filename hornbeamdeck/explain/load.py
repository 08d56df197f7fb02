"""Summarizes who was served and which slots were in use, from log lines."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple, Self

from hornbeamdeck.explain.log_lines import LogLine, unix_seconds
from hornbeamdeck.explain.outcomes import Explained

__all__ = ('SlotUse', 'TeamOutcomes', 'slots_in_use', 'teams_by_requests')

# Engines that take longer than this multiple of the modelled time count as
# slow.
SLOW_FROM: Final = 1.5


class TeamOutcomes(NamedTuple):
    """How the requests of one team ended.

    :param outcomes: requests by outcome, the most frequent first.
    """

    team: str
    requests: int
    outcomes: dict[str, int]

    def to_text(self) -> str:
        """Return a line of the text report."""
        shares = ', '.join(
            f'{outcome} {count / self.requests:.0%}'
            for outcome, count in self.outcomes.items()
        )
        return f'{self.requests:6} {self.team or "no team"}: {shares}'


class SlotUse(NamedTuple):
    """Slots of one service that were in use at one time.

    :param second: seconds from the first line of the log.
    """

    second: int
    service: str
    waiting: int
    fast_used: int
    fast_slots: int
    slow_used: int
    slow_slots: int

    @classmethod
    def from_line(cls, line: LogLine, first_s: float) -> Self:
        """Read the line in which an owner logs the load of a service."""
        used: Counter[bool] = Counter()
        slots: Counter[bool] = Counter()
        for runs, engine_slots, slowness in line['engines'].values():
            is_slow = slowness > SLOW_FROM
            used[is_slow] += runs
            slots[is_slow] += engine_slots
        return cls(
            second=int(max(unix_seconds(line) - first_s, 0)),
            service=str(line['cell']),
            waiting=int(line['waiting']),
            fast_used=used[False],
            fast_slots=slots[False],
            slow_used=used[True],
            slow_slots=slots[True],
        )

    def to_text(self) -> str:
        """Return a line of the text report."""
        return (
            f'{self.second:6} s {self.service}: {self.waiting} waiting, '
            f'fast {self.fast_used} of {self.fast_slots}, '
            f'slow {self.slow_used} of {self.slow_slots}'
        )


def teams_by_requests(explained: Iterable[Explained]) -> list[TeamOutcomes]:
    """Count the outcomes of each team; the team with most requests is first."""
    by_team: dict[str, Counter[str]] = defaultdict(Counter)
    for each in explained:
        by_team[each.team][str(each.outcome)] += 1
    counted = [
        TeamOutcomes(team, outcomes.total(), dict(outcomes.most_common()))
        for team, outcomes in by_team.items()
    ]
    return sorted(counted, key=lambda team: -team.requests)


def slots_in_use(lines: Iterable[LogLine], first_s: float) -> Iterator[SlotUse]:
    """Return the slots in use while something waited.

    :param lines: in which owners log the load of services.
    """
    for line in lines:
        if line.get('waiting') and isinstance(line.get('engines'), dict):
            yield SlotUse.from_line(line, first_s)
