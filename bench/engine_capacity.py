"""Measures what one message costs the owner of an engine cell.

python -m bench.engine_capacity --json

All slots are in use and some hundred requests of several teams wait. Each round
ends a run, enqueues a request, checks for expired ones and places what waits.
"""

import json as json_codec
import time
from typing import Any, Final

import fire

from hornbeamdeck.scheduling.admission_control import SharedState
from hornbeamdeck.scheduling.engine import Engine
from hornbeamdeck.scheduling.engine_cell import EngineCell
from hornbeamdeck.scheduling.retry_budget import RetryBudget, RetryRules
from hornbeamdeck.scheduling.token_quota import (
    QuotaRules,
    QuotaView,
    TokenQuotas,
)
from hornbeamdeck.version.gateway import EngineProperties
from hornbeamdeck.wire import Enqueue, Message, Release, RunEnd

__all__ = ('measure',)

ENGINE_COUNTS: Final = (45, 112)
SLOTS: Final = 8
WAITING: Final = 120
ROUNDS: Final = 1500
ROUND_MS: Final = 3.0
CELL: Final = 'desk'
TEAMS: Final = 12
# One team sends as many requests as the others together.
HEAVY_SHARE: Final = 2


async def _async_discard(_message: Message) -> None:
    """Discard a message."""


def _make_cell(engines: int) -> EngineCell:
    quotas = TokenQuotas(
        QuotaView(lambda _team, _now: (), lambda: True, lambda: 1.0),
        QuotaRules(window_ms=8000, slack=0),
        is_first_start=True,
    )
    cell = EngineCell(
        SharedState(quotas=quotas, teams={}, is_certain=lambda *_asked: True),
        RetryBudget(RetryRules(0.2, 100, 10_000), lambda _now: 1.0),
    )
    listed = [
        Engine(
            f'e{each}',
            CELL,
            f'127.0.0.1:{each + 1}',
            'z1',
            SLOTS,
            is_draining=False,
            born_ms=1,
        )
        for each in range(engines)
    ]
    cell.update_engines(listed, EngineProperties(SLOTS, 5, 660_000), {})
    return cell


def _make_request(number: int) -> Enqueue:
    is_heavy = number % HEAVY_SHARE == 0
    return Enqueue(
        request_id=f'r{number}',
        cell=CELL,
        team='team-0' if is_heavy else f'team-{number % TEAMS}',
        tier_rank=1,
        route_rank=number % 3,
        deadline_ms=60_000,
        prompt_tokens=300 + number % 7 * 200,
        output_tokens=100 + number % 11 * 40,
        excluded=[],
        fingerprint=f'f{number}',
        objective_ms=20_000,
        patience_ms=60_000,
        gap_ms=500,
        quota_tokens=700,
        dispatches=0,
        zone='z1',
    )


class _Rounds:
    """A cell at full load, and the runs that it has granted."""

    def __init__(self, engines: int) -> None:
        self.cell = _make_cell(engines)
        self.now = 0.0
        self.count = 0
        self.running: list[str] = []
        for _ in range(engines * SLOTS + WAITING):
            self._enqueue()
        self._place()

    def run_one(self) -> None:
        """End a run and enqueue a request, with the checks of each message."""
        self.now += ROUND_MS
        ended = self.running.pop(0)
        release = Release(
            request_id=ended, cell=CELL, end=RunEnd.ANSWERED, total_ms=500
        )
        self.cell.release(release, self.now)
        self._place()
        self._enqueue()
        self._place()

    def _enqueue(self) -> None:
        self.count += 1
        self.cell.enqueue(
            _make_request(self.count),
            sender='s',
            deliver=_async_discard,
            now=self.now,
        )

    def _place(self) -> None:
        list(self.cell.refuse_expired(self.now))
        self.running += [
            granted.queued.request.request_id
            for granted in self.cell.place_waiting(self.now)
        ]


def measure(engines: int) -> dict[str, Any]:
    """Return the time that one round takes."""
    rounds = _Rounds(engines)
    begin_s = time.process_time()
    for _ in range(ROUNDS):
        rounds.run_one()
    spent_s = time.process_time() - begin_s
    return {
        'engines': engines,
        'waiting': len(rounds.cell),
        'round_us': round(spent_s * 1_000_000 / ROUNDS, 1),
    }


def main(*, json: bool = False) -> None:
    """Measure each number of engines and print the figures."""
    rows = list(map(measure, ENGINE_COUNTS))
    print(json_codec.dumps(rows) if json else rows)


if __name__ == '__main__':
    fire.Fire(main)
